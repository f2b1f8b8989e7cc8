package http1

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxForeign bounds the answers to other requests that are skipped.
const maxForeign = 4

// trip is one request on one connection.
type trip struct {
	client *Client
	cc     *clientConn
	req    *http.Request
	stop   func() bool // ends the watch on the request's context
	sent   chan error  // outcome of the body; nil if it was sent with the head
	began  bool        // the body is on its way
	watch  *silenceWatch
}

func (t *trip) run() (*http.Response, error) {
	// The deadline below is set beside the first write, not before it.
	if err := t.req.Context().Err(); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	_ = t.cc.nc.SetDeadline(time.Time{})
	nc := t.cc.nc
	t.stop = context.AfterFunc(t.req.Context(), func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	if n, err := t.writeHead(); err != nil {
		if n == 0 {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, t.explain(err)
	}
	return t.readAnswer()
}

// explain names the end of the request's context as the cause, if it is.
func (t *trip) explain(err error) error {
	if cause := t.req.Context().Err(); cause != nil {
		return errors.Wrap(cause, err.Error())
	}
	if t.watch.silent() {
		return errors.Wrap(errPeerSilent, err.Error())
	}
	return err
}

// inlineBody is the longest body that is sent together with the head.
const inlineBody = 8 << 10

func (t *trip) writeHead() (int, error) {
	bw := writers.Get().(*bufio.Writer)
	counted := &countingWriter{w: t.cc.nc}
	bw.Reset(counted)
	defer func() { bw.Reset(nil); writers.Put(bw) }()
	t.head(bw)
	body := t.hasBody()
	switch {
	case !body:
	case t.expects():
	case t.length() > 0 && t.length() <= inlineBody:
		if _, err := io.CopyN(bw, t.req.Body, t.length()); err != nil {
			return max(counted.n, 1), err
		}
	}
	if err := bw.Flush(); err != nil {
		return counted.n, err
	}
	if body && !t.expects() && (t.length() < 0 || t.length() > inlineBody) {
		t.startBody()
	}
	return counted.n, nil
}

// length is the length of the body; negative if it is not known. As in
// net/http, a length of 0 beside a body means that.
func (t *trip) length() int64 {
	switch {
	case t.req.Body == nil || t.req.Body == http.NoBody:
		return 0
	case t.req.ContentLength == 0:
		return -1
	}
	return t.req.ContentLength
}

func (t *trip) hasBody() bool { return t.length() != 0 }

func (t *trip) expects() bool {
	limit := t.client.cfg.ExpectContinueAbove
	return t.hasBody() && limit >= 0 && (t.length() < 0 || t.length() > limit)
}

func (t *trip) head(bw *bufio.Writer) {
	target := t.req.RequestURI
	if target == "" {
		target = t.req.URL.RequestURI()
	}
	host := t.req.Host
	if host == "" {
		host = t.req.URL.Host
	}
	_, _ = bw.WriteString(t.req.Method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = t.req.Header.WriteSubset(bw, framing)
	switch {
	case t.hasBody() && t.length() < 0:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
	case t.length() > 0 || t.req.Method != http.MethodGet && t.req.Method != http.MethodHead:
		_, _ = bw.WriteString("Content-Length: " + strconv.FormatInt(max(t.length(), 0), 10) + "\r\n")
	}
	if t.expects() {
		_, _ = bw.WriteString("Expect: 100-continue\r\n")
	}
	_, _ = bw.WriteString("\r\n")
}

// framing names the headers that head writes itself.
var framing = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Expect": true, "Connection": true}

// startBody sends the body while the answer is awaited.
func (t *trip) startBody() {
	t.sent = make(chan error, 1)
	t.began = true
	t.watch = watchSilence(t.cc.nc, t.client.cfg.UnackedTimeout)
	go func() { t.sent <- t.writeBody() }()
}

func (t *trip) writeBody() error {
	if t.length() > 0 {
		_, err := io.CopyN(onlyWriter{t.cc.nc}, t.req.Body, t.length())
		return err
	}
	return writeChunks(t.cc.nc, t.req.Body)
}

// readAnswer reads the answer, past informational ones and those to other
// requests.
func (t *trip) readAnswer() (*http.Response, error) {
	for foreign := 0; foreign <= maxForeign; {
		resp, err := http.ReadResponse(t.cc.br, t.req)
		if err != nil {
			return nil, t.explain(err)
		}
		switch {
		case resp.StatusCode < http.StatusOK:
			t.informational(resp.StatusCode)
		case t.client.cfg.MatchesRequest != nil && !t.client.cfg.MatchesRequest(t.req, resp):
			foreign++
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, t.explain(err)
			}
		default:
			t.cc.noteKeepAlive(resp.Header)
			resp.Body = &clientBody{ReadCloser: resp.Body, t: t, keep: !resp.Close && framed(resp)}
			return resp, nil
		}
	}
	return nil, ErrForeignResponse
}

func (t *trip) informational(status int) {
	trace := httptrace.ContextClientTrace(t.req.Context())
	if trace != nil && trace.Got1xxResponse != nil {
		_ = trace.Got1xxResponse(status, textproto.MIMEHeader{})
	}
	if status == http.StatusContinue && t.expects() && t.sent == nil {
		t.startBody()
	}
}

// framed reports whether the answer's end is told by its framing.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// drop closes the connection and waits for the body's writer to stop.
func (t *trip) drop() {
	if t.stop != nil {
		t.stop()
	}
	t.watch.stop()
	_ = t.cc.nc.Close()
}

// bodySent reports whether the whole request was sent.
func (t *trip) bodySent() bool {
	if t.sent == nil {
		return !t.expects() || t.began
	}
	select {
	case err := <-t.sent:
		t.sent <- err
		return err == nil
	default:
		return false
	}
}

// clientBody is the body of an answer; its end decides about the connection.
type clientBody struct {
	io.ReadCloser
	t    *trip
	keep bool
	once sync.Once
}

func (b *clientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	if err != nil && err != io.EOF {
		err = b.t.explain(err)
	}
	return n, err
}

// Close ends the body; a connection with an unread rest is not kept.
func (b *clientBody) Close() error {
	b.end(false)
	return nil
}

func (b *clientBody) end(whole bool) {
	b.once.Do(func() {
		t := b.t
		// A stop that comes too late leaves a deadline on the connection.
		if whole && b.keep && t.cc.br.Buffered() == 0 && t.bodySent() && t.stop() {
			t.watch.stop()
			t.client.put(t.cc)
			return
		}
		t.drop()
	})
}
