package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// scriptServer accepts connections and runs serve on each; n counts them from 1.
func scriptServer(t *testing.T, serve func(n int, nc net.Conn, br *bufio.Reader)) (addr string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns = new(atomic.Int32)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer func() { _ = nc.Close() }()
				serve(n, nc, bufio.NewReader(nc))
			}()
		}
	}()
	return l.Addr().String(), conns
}

const idHeader = "Test-Id"

func newTestClient() *Client {
	cfg := DefaultClientConfig()
	cfg.MatchesRequest = func(req *http.Request, resp *http.Response) bool {
		return resp.Header.Get(idHeader) == req.Header.Get(idHeader)
	}
	return NewClient(cfg)
}

func newRequest(t *testing.T, addr, method, id string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/p", body)
	assert.NilError(t, err)
	req.Header.Set(idHeader, id)
	return req
}

// roundTrip sends a request and reads its complete response.
func roundTrip(c http.RoundTripper, req *http.Request) (string, error) {
	resp, err := c.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func respond(nc net.Conn, id, body string) {
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

// answerEach is a script that calls answer for each request of a connection.
func answerEach(answer func(net.Conn, *http.Request)) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, nc net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			answer(nc, req)
		}
	}
}

func itoa(n int) string { return string(rune('0' + n)) }

func TestConnectionIsReused(t *testing.T) {
	addr, conns := scriptServer(t, answerEach(func(nc net.Conn, req *http.Request) {
		respond(nc, req.Header.Get(idHeader), "ok")
	}))
	c := newTestClient()
	for _, id := range []string{"a", "b", "c"} {
		body, err := roundTrip(c, newRequest(t, addr, "GET", id, nil))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, conns.Load(), int32(1))
}

// A late duplicate response precedes the next response on the connection; it is skipped.
func TestForeignResponseIsSkipped(t *testing.T) {
	addr, _ := scriptServer(t, answerEach(func(nc net.Conn, req *http.Request) {
		respond(nc, "other", "no")
		respond(nc, req.Header.Get(idHeader), "yes")
	}))
	c := newTestClient()
	for _, id := range []string{"a", "b"} {
		body, err := roundTrip(c, newRequest(t, addr, "GET", id, nil))
		assert.NilError(t, err)
		assert.Equal(t, body, "yes")
	}
}

func TestOnlyForeignResponses(t *testing.T) {
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		for range maxForeignResponses + 1 {
			respond(nc, "other", "no")
		}
	})
	_, err := roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil))
	assert.Assert(t, errors.Is(err, ErrForeignResponse))
}

// Bytes after a response belong to no request: the connection is not reused, whether they
// arrive with the response or later.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	for _, late := range []bool{false, true} {
		answered := make(chan struct{})
		addr, conns := scriptServer(t, func(n int, nc net.Conn, br *bufio.Reader) {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if !late && n == 1 {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": "+req.Header.Get(idHeader)+"\r\nContent-Length: 1\r\n\r\nxEXTRA")
			} else {
				respond(nc, req.Header.Get(idHeader), "x")
			}
			if late && n == 1 {
				<-answered
				_, _ = io.WriteString(nc, "EXTRA")
			}
			_, _ = br.ReadByte()
		})
		c := newTestClient()
		body, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil))
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
		if late {
			close(answered)
			// The bytes are sent over loopback; the connection must be dropped once they
			// have arrived.
			for openWithoutData(c.idle[addr][0].nc) {
				time.Sleep(time.Millisecond)
			}
		}
		_, err = roundTrip(c, newRequest(t, addr, "GET", "b", nil))
		assert.NilError(t, err)
		assert.Equal(t, conns.Load(), int32(2))
	}
}

func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil))
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

// A request that was sent and not answered is not ErrNotSent, and is not sent again.
func TestLostResponse(t *testing.T) {
	addr, conns := scriptServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
	_, err := roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil))
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent))
	assert.Equal(t, conns.Load(), int32(1))
}

func TestTruncatedBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 9\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n9\r\n"} {
		addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\n"+framing+"part")
		})
		_, err := roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil))
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", framing, err)
	}
}

// A response may arrive before a long body has been sent. The rest of the body must not
// be read as the next request, so the connection is not reused.
func TestEarlyResponse(t *testing.T) {
	addr, conns := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		respond(nc, req.Header.Get(idHeader), "no")
		_, _ = io.Copy(io.Discard, br)
	})
	c := newTestClient()
	reader, writer := io.Pipe() // a body that never ends
	req := newRequest(t, addr, "POST", "a", reader)
	body, err := roundTrip(c, req)
	assert.NilError(t, err)
	assert.Equal(t, body, "no")
	assert.NilError(t, writer.Close())
	_, err = roundTrip(c, newRequest(t, addr, "GET", "b", nil))
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int32(2))
}

// Cancelling the request's context closes the connection, which tells the server to stop.
func TestCancelClosesTheConnection(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	addr, _ := scriptServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		close(got)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-got; cancel() }()
	_, err := roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil).WithContext(ctx))
	assert.Assert(t, errors.Is(err, context.Canceled))
	<-closed
}

// With Expect: 100-continue, a body is sent only after the server asks for it.
func TestExpectContinue(t *testing.T) {
	limits := DefaultLimits()
	for _, refuse := range []bool{true, false} {
		_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if refuse {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			b, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			_, _ = w.Write(b[:4])
		}, limits)
		cfg := DefaultClientConfig()
		cfg.ExpectContinueAbove = 16
		var touched atomic.Bool
		body := readerFunc(func(p []byte) (int, error) {
			if touched.Swap(true) {
				return 0, io.EOF
			}
			return copy(p, strings.Repeat("b", 32)), nil
		})
		req := newRequest(t, addr, "POST", "a", body)
		resp, err := NewClient(cfg).RoundTrip(req)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, touched.Load(), !refuse)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// The request target is sent as received, neither cleaned nor escaped again.
func TestTargetIsUnchanged(t *testing.T) {
	got := make(chan string, 1)
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		line, _ := br.ReadString('\n')
		got <- line
		respond(nc, "a", "x")
	})
	req := newRequest(t, addr, "GET", "a", nil)
	req.RequestURI = "/a//b/../%2f?q=%zz"
	_, err := roundTrip(newTestClient(), req)
	assert.NilError(t, err)
	assert.Equal(t, <-got, "GET /a//b/../%2f?q=%zz HTTP/1.1\r\n")
}

func TestKeepAliveIsRespected(t *testing.T) {
	addr, conns := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := newTestClient()
	for range 2 {
		_, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil))
		assert.NilError(t, err)
	}
	assert.Equal(t, conns.Load(), int32(2))
}
