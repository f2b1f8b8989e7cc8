package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServerWithEnds is startServer with a channel of the connections' ends.
func startServerWithEnds(t *testing.T, cfg Config) (s *Server, addr string, ends chan ConnEnd) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ends = make(chan ConnEnd, 64)
	cfg.OnConnEnd = func(e ConnEnd) { ends <- e }
	s = NewServer(cfg)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String(), ends
}

func TestConnEndHasACause(t *testing.T) {
	shortHeaderTimeout := func() Limits {
		return Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Millisecond, IdleTimeout: time.Minute}
	}
	shortIdleTimeout := func() Limits {
		return Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Millisecond}
	}
	cases := map[EndCause]struct {
		limits     func() Limits
		send       string
		then       func(s *Server, nc net.Conn)
		unanswered int
	}{
		EndIdle:               {limits: shortIdleTimeout},
		EndAnnounced:          {send: "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		EndDrained:            {send: get("/"), then: func(s *Server, _ net.Conn) { s.Drain() }},
		EndHeadTimeout:        {limits: shortHeaderTimeout, send: "GET /"},
		EndHeadRejected:       {send: "hello\r\n\r\n"},
		EndCallerDisconnected: {send: get("/"), then: func(_ *Server, nc net.Conn) { _ = nc.Close() }},
		EndResponseAborted:    {send: get("/cut"), unanswered: 1},
		EndServerClosed:       {send: get("/"), then: func(s *Server, _ net.Conn) { s.Close() }},
	}
	for cause, c := range cases {
		t.Run(string(cause), func(t *testing.T) {
			s, addr, ends := startServerWithEnds(t, Config{Limits: c.limits, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/cut" {
					panic(http.ErrAbortHandler)
				}
			})})
			nc, br := dial(t, addr)
			write(t, nc, c.send)
			if c.then != nil {
				read(t, br)
				c.then(s, nc)
			}
			_, _ = io.ReadAll(br)
			_ = nc.Close()
			end := <-ends
			assert.Equal(t, end.Cause, cause)
			assert.Equal(t, end.Unanswered, c.unanswered)
			assert.Assert(t, !end.Unread && end.BytesAfterClose == 0)
		})
	}
}

// The end of a connection closed for exceeding MaxIdle has the cause EndTooManyIdle.
func TestTooManyIdleHasACause(t *testing.T) {
	_, addr, ends := startServerWithEnds(t, Config{Handler: http.HandlerFunc(ok), MaxIdle: 1})
	first, br := dial(t, addr)
	write(t, first, get("/"))
	read(t, br)
	second, next := dial(t, addr)
	write(t, second, get("/"))
	read(t, next)
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, first.Close())
	assert.Equal(t, (<-ends).Cause, EndTooManyIdle)
}
