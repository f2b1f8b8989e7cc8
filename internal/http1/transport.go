package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// CheckedTransport sends requests by an http.Transport, which gets of a server only what a
// Client would read as well: heads that responseHead accepts, and an end of the connection
// only if it was a clean one.
type CheckedTransport struct{ transport *http.Transport }

// NewCheckedTransport returns a CheckedTransport that has the settings of t, but dials by
// dialer and speaks HTTP/1 only.
func NewCheckedTransport(t *http.Transport, dialer *net.Dialer) *CheckedTransport {
	t = t.Clone()
	t.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		nc, err := dialCleanEnd(ctx, dialer, addr)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(nc), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		// TLS marks a clean end itself.
		d := tls.Dialer{NetDialer: dialer, Config: t.TLSClientConfig}
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(nc), nil
	}
	return &CheckedTransport{t}
}

// RoundTrip implements http.RoundTripper.
func (c *CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *checkedConn
	var expected *expectedHead
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*checkedConn)
		expected = used.expectHead()
	}})
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err == nil && !expected.read.Load() {
		_ = resp.Body.Close()
		_ = used.Close() // its own response would be taken for that of a later request
		return nil, errors.Wrap(ErrMalformedResponse, "the response came before its request")
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no request uses.
func (c *CheckedTransport) CloseIdleConnections() { c.transport.CloseIdleConnections() }

// checkedConn is a connection of a CheckedTransport. It checks the heads that come before
// the body of a response, line by line, and passes no line on that is none.
type checkedConn struct {
	net.Conn

	mu       sync.Mutex // guards the fields below
	expected *expectedHead
	partial  []byte // of a line
	err      error  // a head was malformed
}

func newCheckedConn(nc net.Conn) *checkedConn {
	return &checkedConn{Conn: nc, expected: &expectedHead{}}
}

// expectedHead is the head of the response to one request. The next request on the
// connection may begin before the RoundTrip of this one returns.
type expectedHead struct {
	head responseHead
	read atomic.Bool // the final head was read
}

// expectHead makes the bytes that come next those of the response to another request. A read
// may already wait for them.
func (c *checkedConn) expectHead() *expectedHead {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.partial = &expectedHead{}, nil
	return c.expected
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	if malformed := c.check(nil); malformed != nil {
		return 0, malformed // net/http drops the error of a read that ends amid a line
	}
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check checks the lines of heads that end in buf. Their length is bounded by the transport,
// which gets all lines that are valid.
func (c *checkedConn) check(buf []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && !c.expected.read.Load() && len(buf) > 0 {
		line, n := cutLine(buf)
		if n == 0 {
			c.partial = append(c.partial, buf...)
			break
		}
		if len(c.partial) > 0 {
			line, _ = cutLine(append(c.partial, buf[:n]...))
			c.partial = c.partial[:0]
		}
		buf = buf[n:]
		c.err = c.expected.line(line)
	}
	return c.err
}

// line checks the next line, which may be that of an informational response before.
func (e *expectedHead) line(line []byte) error {
	end, err := e.head.line(line)
	switch {
	case !end:
	case e.head.informational():
		e.head = responseHead{}
	default:
		e.read.Store(true)
	}
	return err
}
