package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer serves handler on loopback and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc, limits Limits) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(Config{Handler: handler, Limits: func() Limits { return limits }})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	assert.NilError(t, nc.SetDeadline(time.Now().Add(10*time.Second)))
	return nc, bufio.NewReader(nc)
}

func write(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(nc, text)
	assert.NilError(t, err)
}

// read returns the next response with its body.
func read(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// Pipelined requests run concurrently and are answered in order.
func TestPipelinedResponsesInOrder(t *testing.T) {
	second := make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second // blocks until request 2 runs
		case "/2":
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}, DefaultLimits())
	nc, br := dial(t, addr)
	write(t, nc, get("/1")+get("/2")+get("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		_, body := read(t, br)
		assert.Equal(t, body, want)
	}
}

// A caller's disconnect cancels its requests, also with a further one waiting.
func TestCallerDisconnectCancelsRequests(t *testing.T) {
	cancelled := make(chan string, 2)
	started := make(chan struct{}, 2)
	_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		cancelled <- r.URL.Path
	}, DefaultLimits())
	nc, _ := dial(t, addr)
	write(t, nc, get("/1")+get("/2"))
	<-started
	<-started
	assert.NilError(t, nc.Close())
	<-cancelled
	<-cancelled
}

func TestAmbiguousHeadsAreRejected(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		t.Errorf("served %s", r.URL.Path)
	}, DefaultLimits())
	heads := map[string]string{
		"two lengths":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"length and chunks":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"folded":               "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"bare line feeds":      "GET / HTTP/1.1\nHost: h\n\n",
		"space before colon":   "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\n",
		"unknown coding":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"signed length":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\n",
		"two hosts":            "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"no host":              "GET / HTTP/1.1\r\n\r\n",
		"carriage return":      "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
		"not HTTP":             "hello\r\n\r\n",
		"line without a colon": "GET / HTTP/1.1\r\nHost: h\r\nnothing\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			nc, br := dial(t, addr)
			write(t, nc, head)
			resp, _ := read(t, br)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			_, err := br.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}

func TestHeadLimit(t *testing.T) {
	limits := DefaultLimits()
	limits.HeaderBytes = 16 << 10
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, len(r.Header.Get("A")))
	}, limits)
	nc, br := dial(t, addr)
	head := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", n) + "\r\n\r\n"
	}
	write(t, nc, head(15_000)+get("/next"))
	_, body := read(t, br)
	assert.Equal(t, body, "15000")
	_, body = read(t, br)
	assert.Equal(t, body, "0", "the request after a long head is read")
	write(t, nc, head(17_000))
	resp, _ := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// A draining server answers the requests it has read and then closes; a connection
// without a request in progress is closed at once. Neither is reset.
func TestDrainAbortsNoRequest(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "done")
	}, DefaultLimits())
	_, idle := dial(t, addr)
	busy, br := dial(t, addr)
	write(t, busy, get("/"))
	<-started
	s.Drain()
	_, err := idle.ReadByte()
	assert.Equal(t, err, io.EOF)
	close(release)
	resp, body := read(t, br)
	assert.Equal(t, body, "done")
	assert.Assert(t, resp.Close, "the response announces the close")
	_, err = br.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// An aborted response must not appear complete.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		if r.URL.Path != "/short" {
			panic(http.ErrAbortHandler)
		}
	}, DefaultLimits())
	for _, path := range []string{"/length", "/chunked"} {
		for _, proto := range []string{"1.1", "1.0"} {
			nc, br := dial(t, addr)
			write(t, nc, "GET "+path+" HTTP/"+proto+"\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				continue // reset before the head was read
			}
			_, err = io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "%s over %s", path, proto)
		}
	}
}

// A response shorter than its Content-Length must not appear complete either.
func TestShortResponseIsIncomplete(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}, DefaultLimits())
	nc, br := dial(t, addr)
	write(t, nc, get("/"))
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	assert.Assert(t, err != nil)
}

// A response sent before the body was read ends the connection, without a reset that
// could discard the response.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
	}, DefaultLimits())
	nc, br := dial(t, addr)
	write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n")
	go func() { _, _ = nc.Write(make([]byte, 300_000)) }()
	resp, _ := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusTeapot)
	assert.Assert(t, resp.Close)
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// Bytes after a body begin the next request.
func TestRequestAfterABody(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	}, DefaultLimits())
	nc, br := dial(t, addr)
	write(t, nc, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"+get("/c"))
	for _, want := range []string{"/aabc", "/bde", "/c"} {
		_, body := read(t, br)
		assert.Equal(t, body, want)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	// Only the wait after the response is short, so that a slow start of the test does
	// not exceed it.
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(Config{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { idle.Store(int64(10 * time.Millisecond)) }),
		Limits: func() Limits {
			limits := DefaultLimits()
			limits.IdleTimeout = time.Duration(idle.Load())
			return limits
		},
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	nc, br := dial(t, l.Addr().String())
	write(t, nc, get("/"))
	read(t, br)
	_, err = br.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// Reading a body ends at the deadline that the handler sets.
func TestBodyDeadline(t *testing.T) {
	got := make(chan error, 1)
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		_, err := io.ReadAll(r.Body)
		got <- err
		w.WriteHeader(http.StatusRequestTimeout)
	}, DefaultLimits())
	nc, br := dial(t, addr)
	write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	assert.Assert(t, isTimeout(<-got))
	resp, _ := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

// Beyond MaxIdle the connection idle longest is closed, without a reset.
func TestIdleConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), MaxIdle: 2})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	var conns []net.Conn
	var readers []*bufio.Reader
	for range 3 {
		nc, br := dial(t, l.Addr().String())
		write(t, nc, get("/"))
		read(t, br)
		conns, readers = append(conns, nc), append(readers, br)
	}
	_, err = readers[0].ReadByte()
	assert.Equal(t, err, io.EOF)
	for i := 1; i < 3; i++ {
		write(t, conns[i], get("/"))
		read(t, readers[i])
	}
}
