package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A small instance that takes a table of thousands of routes gets no processor
// for 0.7 to 0.9 s. Callers go on sending meanwhile: the kernel takes their bytes,
// and the deadlines of the reads pass. When the process went on it was told of the
// deadline first, and took that for proof that nothing had come: it closed the
// connection over a whole request, which had neither an answer nor a refusal. Of
// 20 requests sent while a process with an idle time of 1 s stood still for 0.7 s,
// 8 ended so. The tests below let a goroutine stand at the call that reads until
// its deadline has passed and the bytes lie in the kernel.

// point is a call at which a goroutine can be made to stand.
type point struct {
	left     atomic.Int64 // calls until the one that stands
	standing chan struct{}
	goOn     chan struct{}
}

func newPoint(nth int64) *point {
	p := &point{standing: make(chan struct{}), goOn: make(chan struct{})}
	p.left.Store(nth)
	return p
}

// pass stands if it is the call to stand at, and then lets the poller know of a
// deadline that has passed meanwhile, as its timer may be late.
func (p *point) pass(d *deadline) {
	if p == nil || p.left.Add(-1) != 0 {
		return
	}
	close(p.standing)
	<-p.goOn
	if at := d.at.Load(); at != nil && !at.IsZero() && at.Before(time.Now()) {
		_ = d.set(time.Unix(1, 0))
	}
}

// deadline remembers the deadline of a socket.
type deadline struct {
	at  atomic.Pointer[time.Time]
	set func(time.Time) error
}

func (d *deadline) store(t time.Time) error {
	d.at.Store(&t)
	return d.set(t)
}

// stalls says where the goroutines of a server stand; nil for nowhere.
type stalls struct{ wait, read, accept *point }

// stallListener is a listener whose server stands still at points of a test.
type stallListener struct {
	*net.TCPListener
	stalls
	until *deadline
}

func (l *stallListener) SetDeadline(t time.Time) error { return l.until.store(t) }

func (l *stallListener) Accept() (net.Conn, error) {
	l.accept.pass(l.until)
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &stallConn{TCPConn: nc, stalls: l.stalls, until: &deadline{set: nc.SetReadDeadline}}, nil
}

type stallConn struct {
	*net.TCPConn
	stalls
	until *deadline
}

func (c *stallConn) SetReadDeadline(t time.Time) error { return c.until.store(t) }

func (c *stallConn) Read(p []byte) (int, error) {
	c.read.pass(c.until)
	return c.TCPConn.Read(p)
}

func (c *stallConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return stallRaw{raw, c.stalls, c.until}, err
}

type stallRaw struct {
	syscall.RawConn
	stalls
	until *deadline
}

func (r stallRaw) Read(f func(uintptr) bool) error {
	r.wait.pass(r.until)
	return r.RawConn.Read(f)
}

// startStalled serves on a listener with stalls.
func startStalled(t *testing.T, cfg Config, at stalls) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(cfg)
	tcp := l.(*net.TCPListener)
	go func() { _ = s.Serve(&stallListener{tcp, at, &deadline{set: tcp.SetDeadline}}) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// brief is a time that passes while a goroutine stands.
const brief = 2 * time.Millisecond

// over waits until a deadline after a brief time has passed.
func over() { time.Sleep(3 * brief) }

func limitsOf(l Limits) func() Limits { return func() Limits { return l } }

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
	_, _ = io.WriteString(w, r.URL.Path+string(body))
}

// standAtIdleDeadline connects to a server that stands still as it waits for a request,
// with a brief idle time.
func standAtIdleDeadline(t *testing.T) (net.Conn, *bufio.Reader, *point) {
	t.Helper()
	limits := DefaultLimits()
	limits.IdleTimeout = brief
	at := newPoint(1)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limitsOf(limits)}, stalls{wait: at})
	nc, br := dial(t, addr)
	<-at.standing
	return nc, br, at
}

// standInHead sends the beginning of a head to a server that then stands still, with a
// brief time for the rest.
func standInHead(t *testing.T, beginning string) (net.Conn, *bufio.Reader, *point) {
	t.Helper()
	limits := DefaultLimits()
	limits.HeaderTimeout = brief
	at := newPoint(2)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limitsOf(limits)}, stalls{read: at})
	nc, br := dial(t, addr)
	write(t, nc, beginning)
	<-at.standing
	return nc, br, at
}

func TestRequestBeforeTheIdleDeadlineIsAnswered(t *testing.T) {
	nc, br, at := standAtIdleDeadline(t)
	write(t, nc, get("/a"))
	over()
	close(at.goOn)
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

// What came is the beginning of a request: its rest has the time of a head.
func TestPartOfAHeadBeforeTheIdleDeadline(t *testing.T) {
	nc, br, at := standAtIdleDeadline(t)
	request := get("/a")
	write(t, nc, request[:9])
	over()
	close(at.goOn)
	over()
	write(t, nc, request[9:])
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

func TestHeadBeforeItsDeadlineIsRead(t *testing.T) {
	request := get("/a")
	nc, br, at := standInHead(t, request[:9])
	write(t, nc, request[9:])
	over()
	close(at.goOn)
	resp, body := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "/a")
}

// A head of which only a part came until its deadline is refused as before.
func TestHeadAfterItsDeadlineIsRefused(t *testing.T) {
	request := get("/a")
	nc, br, at := standInHead(t, request[:9])
	write(t, nc, request[9:15])
	over()
	close(at.goOn)
	resp, _ := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

func TestBodyBeforeItsDeadlineIsRead(t *testing.T) {
	at := newPoint(2)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(brief))
		echo(w, r)
	})}, stalls{read: at})
	nc, br := dial(t, addr)
	write(t, nc, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	<-at.standing
	write(t, nc, "whole")
	over()
	close(at.goOn)
	resp, body := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "/awhole")
}

// The first request of a connection at a draining server has freshWait to come.
func TestFirstRequestAtADrainingServer(t *testing.T) {
	at := newPoint(1)
	s, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo)}, stalls{wait: at})
	s.Drain()
	nc, br := dial(t, addr)
	<-at.standing
	write(t, nc, get("/a"))
	time.Sleep(freshWait + brief)
	close(at.goOn)
	resp, body := read(t, br)
	assert.Equal(t, body, "/a")
	assert.Assert(t, resp.Close)
}

// A connection that is closed as there are too many, or as the server drains, is
// not closed over a request.
func TestRequestBeforeAClosingIsAnswered(t *testing.T) {
	for name, closeIdle := range map[string]func(*Server){
		"too many": func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.wake()
			}
		},
		"drain": func(s *Server) { s.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			at := newPoint(2)
			s, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), MaxIdle: 8}, stalls{wait: at})
			nc, br := dial(t, addr)
			write(t, nc, get("/a"))
			read(t, br)
			<-at.standing
			write(t, nc, get("/b"))
			closeIdle(s)
			close(at.goOn)
			_, body := read(t, br)
			assert.Equal(t, body, "/b")
		})
	}
}

// A request behind an answer that says it is the last is not run: its caller sends
// it again, whatever its kind.
func TestRequestBehindTheLastAnswerIsNotRun(t *testing.T) {
	var ran sync.Map
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path, true)
		w.Header().Set("Connection", "close")
		echo(w, r)
	}), MaxPipelined: 1}, stalls{})
	nc, br := dial(t, addr)
	write(t, nc, get("/a"))
	resp, _ := read(t, br)
	assert.Assert(t, resp.Close)
	write(t, nc, get("/b"))
	raw, _ := io.ReadAll(br)
	assert.Equal(t, len(raw), 0)
	_, again := ran.Load("/b")
	assert.Assert(t, !again)
}

// Callers keep a connection for four fifths of the idle time that is published. One
// that waits when that grows is held for the longer time.
func TestLongerIdleTimeHoldsForWaitingConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(brief))
	limits := func() Limits {
		l := DefaultLimits()
		l.IdleTimeout = time.Duration(idle.Load())
		return l
	}
	at := newPoint(1)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limits}, stalls{wait: at})
	nc, br := dial(t, addr)
	<-at.standing
	idle.Store(int64(time.Minute))
	over()
	close(at.goOn)
	over()
	write(t, nc, get("/a"))
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

// One that waits when the idle time is shortened was kept by its caller in the
// belief of the longer one, and is held for that.
func TestShorterIdleTimeLeavesWaitingConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	limits := func() Limits {
		l := DefaultLimits()
		l.IdleTimeout = time.Duration(idle.Load())
		return l
	}
	at := newPoint(2)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limits}, stalls{wait: at})
	nc, br := dial(t, addr)
	write(t, nc, get("/a"))
	read(t, br)
	<-at.standing
	over() // its last answer has ended
	idle.Store(int64(brief))
	over()
	close(at.goOn)
	over()
	write(t, nc, get("/b"))
	_, body := read(t, br)
	assert.Equal(t, body, "/b")
}

// Connections that wait for a server that stops to accept are accepted also if it
// stood still for longer than it waits for a further one.
func TestStoppedServerAnswersItsBacklogAfterAStall(t *testing.T) {
	at := newPoint(3)
	s, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo)}, stalls{accept: at})
	first, br := dial(t, addr)
	write(t, first, get("/a"))
	read(t, br)
	s.Drain()
	s.StopAccepting()
	<-at.standing
	var conns []net.Conn
	for range 3 {
		nc, _ := dial(t, addr)
		write(t, nc, get("/a"))
		conns = append(conns, nc)
	}
	time.Sleep(backlogLimit + 2*backlogWait)
	close(at.goOn)
	for _, nc := range conns {
		raw, err := io.ReadAll(nc)
		assert.NilError(t, err)
		assert.Assert(t, len(raw) > 0, "closed without an answer")
	}
}
