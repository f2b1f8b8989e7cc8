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

// Bounds of what is skipped before the response to a request.
const (
	// maxForeignResponses is the number of responses to other requests.
	maxForeignResponses = 4
	// maxForeignBytes is the length of their bodies together, in bytes.
	maxForeignBytes = 4 << 20
	// maxInformational is the number of informational responses.
	maxInformational = 16
)

// clientExchange is one request on one connection.
type clientExchange struct {
	client           *Client
	cc               *clientConn
	req              *http.Request
	stopContextWatch func() bool // stops interrupting reads and writes when the request's context ends
	bodyResult       chan error  // result of sending the body; nil if it was sent with the head
	bodyStarted      bool        // the body is being sent separately
	bodyWatch        *peerWatch
}

func (ex *clientExchange) roundTrip() (*http.Response, error) {
	_ = ex.cc.nc.SetDeadline(time.Time{})
	nc := ex.cc.nc
	ex.stopContextWatch = context.AfterFunc(ex.req.Context(), func() { _ = nc.SetDeadline(longPast) })
	if n, err := ex.sendRequest(); err != nil {
		if n == 0 {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, ex.withCause(err)
	}
	if trace := httptrace.ContextClientTrace(ex.req.Context()); trace != nil && trace.WroteRequest != nil {
		trace.WroteRequest(httptrace.WroteRequestInfo{})
	}
	return ex.readResponse()
}

// withCause names the end of the request's context or an unresponsive peer as the cause
// of an error, if it is.
func (ex *clientExchange) withCause(err error) error {
	if cause := ex.req.Context().Err(); cause != nil {
		return errors.Wrap(cause, err.Error())
	}
	if ex.bodyWatch.unresponsive() {
		return errors.Wrap(errPeerUnresponsive, err.Error())
	}
	return err
}

// maxInlineBody is the size in bytes up to which a body is sent together with the head.
const maxInlineBody = 8 << 10

func (ex *clientExchange) sendRequest() (int, error) {
	bw := writerPool.Get().(*bufio.Writer)
	counted := &countingWriter{w: ex.cc.nc}
	bw.Reset(counted)
	defer func() { bw.Reset(nil); writerPool.Put(bw) }()
	ex.writeHead(bw)
	body := ex.hasBody()
	switch {
	case !body:
	case ex.expectsContinue():
	case ex.bodyLength() > 0 && ex.bodyLength() <= maxInlineBody:
		if _, err := io.CopyN(bw, ex.req.Body, ex.bodyLength()); err != nil {
			return max(counted.n, 1), err
		}
	}
	if err := bw.Flush(); err != nil {
		return counted.n, err
	}
	if body && !ex.expectsContinue() && (ex.bodyLength() < 0 || ex.bodyLength() > maxInlineBody) {
		ex.startBody()
	}
	return counted.n, nil
}

// bodyLength returns the length of the body; negative if unknown. As in net/http, a
// ContentLength of 0 with a body means unknown.
func (ex *clientExchange) bodyLength() int64 {
	switch {
	case ex.req.Body == nil || ex.req.Body == http.NoBody:
		return 0
	case ex.req.ContentLength == 0:
		return -1
	}
	return ex.req.ContentLength
}

func (ex *clientExchange) hasBody() bool { return ex.bodyLength() != 0 }

func (ex *clientExchange) expectsContinue() bool {
	limit := ex.client.cfg.ExpectContinueAbove
	return ex.hasBody() && limit >= 0 && (ex.bodyLength() < 0 || ex.bodyLength() > limit)
}

func (ex *clientExchange) writeHead(bw *bufio.Writer) {
	target := ex.req.RequestURI
	if target == "" {
		target = ex.req.URL.RequestURI()
	}
	host := ex.req.Host
	if host == "" {
		host = ex.req.URL.Host
	}
	_, _ = bw.WriteString(ex.req.Method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = ex.req.Header.WriteSubset(bw, framingHeaders)
	switch {
	case ex.hasBody() && ex.bodyLength() < 0:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
	case ex.bodyLength() > 0 || ex.req.Method != http.MethodGet && ex.req.Method != http.MethodHead:
		_, _ = bw.WriteString("Content-Length: " + strconv.FormatInt(max(ex.bodyLength(), 0), 10) + "\r\n")
	}
	if ex.expectsContinue() {
		_, _ = bw.WriteString("Expect: 100-continue\r\n")
	}
	_, _ = bw.WriteString("\r\n")
}

// framingHeaders are the headers that writeHead writes itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Expect": true, "Connection": true}

// startBody sends the body while the response is awaited.
func (ex *clientExchange) startBody() {
	ex.bodyResult = make(chan error, 1)
	ex.bodyStarted = true
	ex.bodyWatch = watchPeer(ex.cc.nc, ex.client.cfg.UnackedTimeout)
	go func() {
		source := &failingReader{Reader: ex.req.Body}
		err := ex.writeBody(source)
		if err != nil && source.failed {
			// The request can't be completed any more, so the server may never answer it. A
			// response that has arrived is still read.
			_ = ex.cc.nc.SetReadDeadline(longPast)
		}
		ex.bodyResult <- err
	}()
}

func (ex *clientExchange) writeBody(body io.Reader) error {
	if ex.bodyLength() > 0 {
		_, err := io.CopyN(onlyWriter{ex.cc.nc}, body, ex.bodyLength())
		return err
	}
	return writeChunks(ex.cc.nc, body)
}

// failingReader records whether a reader failed or ended.
type failingReader struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (f *failingReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	f.failed = f.failed || err != nil
	return n, err
}

// longPast is a deadline that ends reads and writes at once.
var longPast = time.Unix(1, 0)

// readResponse reads the response, skipping informational ones and those to other
// requests.
func (ex *clientExchange) readResponse() (*http.Response, error) {
	foreignBytes := int64(0)
	for foreign, informational := 0, 0; foreign <= maxForeignResponses; {
		resp, err := ex.cc.readHead(ex.req, ex.client.cfg.HeadBytes)
		if err != nil {
			return nil, ex.withCause(err)
		}
		switch {
		case resp.StatusCode < http.StatusOK:
			informational++
			if informational > maxInformational {
				return nil, errors.Wrap(ErrUnboundedResponse, "informational responses")
			}
			ex.handleInformational(resp.StatusCode)
		case ex.client.cfg.MatchesRequest != nil && !ex.client.cfg.MatchesRequest(ex.req, resp):
			foreign++
			n, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes-foreignBytes+1)
			if foreignBytes += n; foreignBytes > maxForeignBytes {
				return nil, errors.Wrap(ErrUnboundedResponse, "responses to other requests")
			}
			if err != io.EOF {
				return nil, ex.withCause(err)
			}
		default:
			ex.cc.applyKeepAlive(resp.Header)
			resp.Body = &responseBody{ReadCloser: resp.Body, ex: ex, reusable: !resp.Close && hasFraming(resp)}
			return resp, nil
		}
	}
	return nil, ErrForeignResponse
}

func (ex *clientExchange) handleInformational(status int) {
	trace := httptrace.ContextClientTrace(ex.req.Context())
	if trace != nil && trace.Got1xxResponse != nil {
		_ = trace.Got1xxResponse(status, textproto.MIMEHeader{})
	}
	if status == http.StatusContinue && ex.expectsContinue() && ex.bodyResult == nil {
		ex.startBody()
	}
}

// hasFraming reports whether the response's end is marked by its framing and not by the
// close of the connection.
func hasFraming(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// close ends the watches and closes the connection, which stops the goroutine that sends
// the body.
func (ex *clientExchange) close() {
	if ex.stopContextWatch != nil {
		ex.stopContextWatch()
	}
	ex.bodyWatch.stop()
	_ = ex.cc.nc.Close()
}

// abandon is close for a request without a complete response. It resets the connection: an
// ordinary close would still deliver what of the request waits in the socket.
func (ex *clientExchange) abandon() {
	_ = ex.cc.nc.SetLinger(0)
	ex.close()
}

// bodySent reports whether the complete request was sent.
func (ex *clientExchange) bodySent() bool {
	if ex.bodyResult == nil {
		return !ex.expectsContinue() || ex.bodyStarted
	}
	select {
	case err := <-ex.bodyResult:
		ex.bodyResult <- err
		return err == nil
	default:
		return false
	}
}

// responseBody is the body of a response. Its end decides whether the connection is
// reused.
type responseBody struct {
	io.ReadCloser
	ex       *clientExchange
	reusable bool
	once     sync.Once
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	if err != nil && err != io.EOF {
		err = b.ex.withCause(err)
	}
	return n, err
}

// Close ends the body; a connection with unread bytes is not reused.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(complete bool) {
	b.once.Do(func() {
		ex := b.ex
		// If the context has already ended, its deadline stays on the connection, which
		// is then not reused.
		if complete && b.reusable && ex.cc.br.Buffered() == 0 && ex.bodySent() && ex.stopContextWatch() {
			ex.bodyWatch.stop()
			ex.client.putIdle(ex.cc)
			return
		}
		if complete {
			ex.close()
			return
		}
		ex.abandon()
	})
}
