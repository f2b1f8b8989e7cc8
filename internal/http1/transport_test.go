package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A line may arrive in parts.
func TestHeadsThatArriveInParts(t *testing.T) {
	for sent, whole := range map[string]bool{
		"HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" + ownResponse: true,
		"HTTP/1.1 200 OK\r\nX Foo: a\r\n\r\n":                       false,
		"HTTP/1.1 000 OK\r\n\r\n" + ownResponse:                     false,
	} {
		addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err == nil {
				_, _ = io.Copy(onlyWriter{nc}, iotest.OneByteReader(strings.NewReader(sent)))
			}
			_, _ = br.ReadByte()
		})
		for _, client := range []http.RoundTripper{newTestClient(), newTestTransport(t)} {
			_, err := roundTrip(client, newRequest(t, addr, "GET", "a", nil))
			assert.Equal(t, err == nil, whole, "%q: %v", sent, err)
		}
	}
}

// Guards against a wait for more bytes after a malformed head: net/http drops the error of a
// read that ends amid a line.
func TestMalformedHeadEndsAllReads(t *testing.T) {
	server := &countedReads{Reader: strings.NewReader("HTTP/1.1 000 OK\r\n")}
	c := newCheckedConn(server)
	for range 3 {
		_, err := c.Read(make([]byte, 32))
		assert.Assert(t, errors.Is(err, ErrMalformedResponse), "%v", err)
	}
	assert.Equal(t, server.reads, 1)
}

// countedReads is a connection on which only reads are possible, which it counts.
type countedReads struct {
	net.Conn
	io.Reader
	reads int
}

// Read implements io.Reader.
func (c *countedReads) Read(p []byte) (int, error) {
	c.reads++
	return c.Reader.Read(p)
}

// Guards against bytes behind a response, which belong to no request, told as the response
// to the next one on the connection.
func TestBytesBehindAResponseAreNoResponse(t *testing.T) {
	const inner = "HTTP/1.1 201 Created\r\n" + idHeader + ": a\r\nContent-Length: 5\r\n\r\ninner"
	for _, extra := range []string{"HTTP/1.1 000 Odd\r\n\r\n" + inner, "HTTP/1.1 200 OK\r\nX Foo: a\r\nContent-Length: 1\r\n\r\nx", inner} {
		addr := serveRaw(t, ownResponse+extra, false)
		for _, client := range []http.RoundTripper{newTestClient(), newTestTransport(t)} {
			for range 50 {
				body, err := roundTrip(client, newRequest(t, addr, "POST", "a", nil))
				assert.Assert(t, err != nil || body == "ok", "%q: %q", extra, body)
			}
		}
	}
}

// The response that net/http reads from bytes that came before the request is refused.
func TestResponseBeforeItsRequestIsRefused(t *testing.T) {
	c := newCheckedConn(nil)
	first := c.expectHead()
	assert.NilError(t, c.check([]byte(ownResponse)))
	assert.Assert(t, first.read.Load())
	assert.NilError(t, c.check([]byte("anything of a body, or behind it")))
	second := c.expectHead()
	assert.Assert(t, first.read.Load() && !second.read.Load())
	assert.Assert(t, errors.Is(c.check([]byte("HTTP/1.1 000 OK\r\n")), ErrMalformedResponse))
}

func TestCheckedTransportOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "a" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		nc, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(nc, "HTTP/1.1 000 OK\r\n\r\n"+ownResponse)
			_ = nc.Close()
		}
	}))
	defer server.Close()
	settings := server.Client().Transport.(*http.Transport)
	transport := NewCheckedTransport(&http.Transport{TLSClientConfig: settings.TLSClientConfig}, &net.Dialer{})
	defer transport.CloseIdleConnections()
	for id, whole := range map[string]bool{"a": true, "b": false} {
		req := newRequest(t, server.Listener.Addr().String(), "GET", id, nil)
		req.URL.Scheme = "https"
		_, err := roundTrip(transport, req)
		assert.Equal(t, err == nil, whole, "%v", err)
	}
}

// Guards against an end of a CheckedTransport's connection told as a clean one, where a
// write has taken the error of a reset.
func TestCheckedTransportDialsForCleanEnds(t *testing.T) {
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		_, _ = br.ReadByte()
		reset(nc.(*net.TCPConn))
	})
	nc, err := newTestTransport(t).transport.DialContext(t.Context(), "tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	for err == nil {
		_, err = io.WriteString(nc, "b")
	}
	_, err = nc.Read(make([]byte, 1))
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
}

// A whole response comes before on the same connection.
func TestMalformedResponseOnAReusedConnection(t *testing.T) {
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		for _, sent := range []string{ownResponse, "HTTP/1.1 000 OK\r\n\r\n" + ownResponse} {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(nc, sent)
		}
		_, _ = br.ReadByte()
	})
	for _, client := range []http.RoundTripper{newTestClient(), newTestTransport(t)} {
		_, err := roundTrip(client, newRequest(t, addr, "POST", "a", nil))
		assert.NilError(t, err)
		body, err := roundTrip(client, newRequest(t, addr, "POST", "a", nil))
		assert.Assert(t, errors.Is(err, ErrMalformedResponse), "%q, %v", body, err)
	}
}

// Guards against a response taken for one that came before its request: net/http gives a
// connection whose response has no body to another request before RoundTrip returns.
func TestResponsesWithoutBodyOfConcurrentRequests(t *testing.T) {
	addr := serveRaw(t, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nContent-Length: 0\r\n\r\n", false)
	transport := NewCheckedTransport(&http.Transport{MaxIdleConnsPerHost: 8, MaxConnsPerHost: 2}, &net.Dialer{})
	defer transport.CloseIdleConnections()
	const callers, requests = 16, 500
	results := make(chan error, callers)
	for range callers {
		go func() {
			for range requests {
				if _, err := roundTrip(transport, newRequest(t, addr, "POST", "a", nil)); err != nil {
					results <- err
					return
				}
			}
			results <- nil
		}()
	}
	for range callers {
		assert.NilError(t, <-results)
	}
}
