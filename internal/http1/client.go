package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// DialTimeout bounds a new connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; the server's own
	// word in Keep-Alive can only shorten it. Default 20 s, under the minute
	// that DefaultLimits gives.
	IdleTimeout time.Duration
	// MaxIdle is the number of unused connections kept to one address.
	// Default 32.
	MaxIdle int
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up (TCP_USER_TIMEOUT), so that a peer without power
	// is noticed. Default 2 s.
	UnackedTimeout time.Duration
	// Expect waits for 100 Continue before bodies longer than this are sent;
	// negative never does.
	Expect int64
	// Belongs reports whether a response answers the request. Others are
	// skipped: an upstream may send a second answer late. Nil accepts all.
	Belongs func(req *http.Request, resp *http.Response) bool
}

// DefaultClientConfig returns the defaults given at the fields.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		DialTimeout:    time.Second,
		IdleTimeout:    20 * time.Second,
		MaxIdle:        32,
		UnackedTimeout: 2 * time.Second,
		Expect:         -1,
	}
}

// ErrNotSent marks errors of a round trip that sent nothing of its request.
var ErrNotSent = errors.New("nothing was sent")

// ErrForeignAnswer reports that only answers to other requests came.
var ErrForeignAnswer = errors.New("answers belong to other requests")

// Client is an http.RoundTripper that sends each request exactly once. The
// address is that of req.URL.Host; the request target is req.RequestURI, or
// that of req.URL if it is empty.
type Client struct {
	cfg    ClientConfig
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*clientConn
	dialed int64
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, idle: make(map[string][]*clientConn)}
	c.dialer = net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) { setUnackedTimeout(fd, cfg.UnackedTimeout) })
		},
	}
	return c
}

// clientConn is one connection to a server.
type clientConn struct {
	nc      net.Conn
	br      *bufio.Reader
	addr    string
	used    time.Time
	expires time.Time // by the server's word; zero means never
}

// RoundTrip sends the request and returns its answer. An error that is not
// ErrNotSent leaves open whether the request runs.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	cc, err := c.acquire(req.Context(), req.URL.Host)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: cc.nc})
	}
	t := &trip{client: c, cc: cc, req: req}
	resp, err := t.run()
	if err != nil {
		t.drop()
		return nil, err
	}
	return resp, nil
}

// acquire returns an idle connection that is still good, or a new one.
func (c *Client) acquire(ctx context.Context, addr string) (*clientConn, error) {
	for {
		cc := c.take(addr)
		if cc == nil {
			break
		}
		if cc.usable(time.Now(), c.cfg.IdleTimeout) {
			return cc, nil
		}
		_ = cc.nc.Close()
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	return &clientConn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr}, nil
}

func (c *Client) take(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cc := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cc
}

// put keeps a connection for a further request.
func (c *Client) put(cc *clientConn) {
	cc.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cc.addr]) >= c.cfg.MaxIdle {
		_ = cc.nc.Close()
		return
	}
	c.idle[cc.addr] = append(c.idle[cc.addr], cc)
}

// Sweep closes connections unused for IdleTimeout. Call it now and then.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cc := range list {
			if cc.fresh(now, c.cfg.IdleTimeout) {
				kept = append(kept, cc)
				continue
			}
			_ = cc.nc.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.idle[addr] {
		_ = cc.nc.Close()
	}
	delete(c.idle, addr)
}

// Close closes all idle connections.
func (c *Client) Close() { c.Sweep(time.Now().Add(c.cfg.IdleTimeout + time.Hour)) }

// Dialed returns the number of connections made.
func (c *Client) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

func (cc *clientConn) fresh(now time.Time, idle time.Duration) bool {
	return now.Sub(cc.used) < idle && (cc.expires.IsZero() || now.Before(cc.expires))
}

// usable reports whether the server has neither closed the connection nor sent
// bytes that no request asked for.
func (cc *clientConn) usable(now time.Time, idle time.Duration) bool {
	return cc.fresh(now, idle) && cc.br.Buffered() == 0 && quiet(cc.nc)
}

// keepAliveShare is the part of the server's idle time in which a connection is
// still used, so that a request does not meet its end.
const keepAliveShare = 0.6

// noteKeepAlive takes over the server's idle time: "timeout=5".
func (cc *clientConn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			cc.expires = time.Now().Add(time.Duration(float64(s) * keepAliveShare * float64(time.Second)))
		}
	}
}

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
}

func (t *trip) run() (*http.Response, error) {
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
	limit := t.client.cfg.Expect
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
		case t.client.cfg.Belongs != nil && !t.client.cfg.Belongs(t.req, resp):
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
	return nil, ErrForeignAnswer
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
			t.client.put(t.cc)
			return
		}
		t.drop()
	})
}
