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

// A small instance that applies a table of thousands of routes gets no CPU for 0.7 to
// 0.9 s. Meanwhile callers go on sending: the kernel buffers their bytes, and the read
// deadlines pass. The poller reported the deadline first to the resumed process, which
// took that for proof that nothing had arrived: it closed the connection on a complete
// request, which got neither a response nor a refusal. Of 20 requests sent during a pause
// of 0.7 s to a process with an idle timeout of 1 s, 8 ended so. In the tests below a
// goroutine stalls at the call that reads, until its deadline has passed and the bytes
// are in the kernel's buffer.

// stallPoint is a call at which a goroutine can be made to stall.
type stallPoint struct {
	callsLeft atomic.Int64 // calls until the one that stalls
	reached   chan struct{}
	resume    chan struct{}
}

func newStallPoint(nth int64) *stallPoint {
	p := &stallPoint{reached: make(chan struct{}), resume: make(chan struct{})}
	p.callsLeft.Store(nth)
	return p
}

// pass blocks if this is the call to stall at. It then makes the poller report a deadline
// that has passed meanwhile, as its timer may be late.
func (p *stallPoint) pass(d *socketDeadline) {
	if p == nil || p.callsLeft.Add(-1) != 0 {
		return
	}
	close(p.reached)
	<-p.resume
	if at := d.at.Load(); at != nil && !at.IsZero() && at.Before(time.Now()) {
		_ = d.set(time.Unix(1, 0))
	}
}

// socketDeadline remembers the deadline of a socket.
type socketDeadline struct {
	at  atomic.Pointer[time.Time]
	set func(time.Time) error
}

func (d *socketDeadline) store(t time.Time) error {
	d.at.Store(&t)
	return d.set(t)
}

// stallPoints are the calls at which the goroutines of a server stall; nil for none.
type stallPoints struct{ wait, read, accept *stallPoint }

// stallListener is a listener whose server stalls at the given points.
type stallListener struct {
	*net.TCPListener
	stallPoints
	until *socketDeadline
}

func (l *stallListener) SetDeadline(t time.Time) error { return l.until.store(t) }

func (l *stallListener) Accept() (net.Conn, error) {
	l.accept.pass(l.until)
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &stallConn{TCPConn: nc, stallPoints: l.stallPoints, until: &socketDeadline{set: nc.SetReadDeadline}}, nil
}

type stallConn struct {
	*net.TCPConn
	stallPoints
	until *socketDeadline
}

func (c *stallConn) SetReadDeadline(t time.Time) error { return c.until.store(t) }

func (c *stallConn) Read(p []byte) (int, error) {
	c.read.pass(c.until)
	return c.TCPConn.Read(p)
}

func (c *stallConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return stallRawConn{raw, c.stallPoints, c.until}, err
}

type stallRawConn struct {
	syscall.RawConn
	stallPoints
	until *socketDeadline
}

func (r stallRawConn) Read(f func(uintptr) bool) error {
	r.wait.pass(r.until)
	return r.RawConn.Read(f)
}

// startStalled serves on a listener with stall points.
func startStalled(t *testing.T, cfg Config, points stallPoints) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(cfg)
	tcp := l.(*net.TCPListener)
	go func() { _ = s.Serve(&stallListener{tcp, points, &socketDeadline{set: tcp.SetDeadline}}) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// shortTimeout is a timeout that passes while a goroutine stalls.
const shortTimeout = 2 * time.Millisecond

// waitPastTimeout waits until a deadline of shortTimeout has passed.
func waitPastTimeout() { time.Sleep(3 * shortTimeout) }

func fixedLimits(l Limits) func() Limits { return func() Limits { return l } }

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
	_, _ = io.WriteString(w, r.URL.Path+string(body))
}

// stallAtIdleDeadline connects to a server that stalls while it waits for a request, with
// a short idle timeout.
func stallAtIdleDeadline(t *testing.T) (net.Conn, *bufio.Reader, *stallPoint) {
	t.Helper()
	limits := DefaultLimits()
	limits.IdleTimeout = shortTimeout
	stall := newStallPoint(1)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: fixedLimits(limits)}, stallPoints{wait: stall})
	nc, br := dial(t, addr)
	<-stall.reached
	return nc, br, stall
}

// stallInHead sends the beginning of a head to a server that then stalls, with a short
// header timeout.
func stallInHead(t *testing.T, beginning string) (net.Conn, *bufio.Reader, *stallPoint) {
	t.Helper()
	limits := DefaultLimits()
	limits.HeaderTimeout = shortTimeout
	stall := newStallPoint(2)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: fixedLimits(limits)}, stallPoints{read: stall})
	nc, br := dial(t, addr)
	write(t, nc, beginning)
	<-stall.reached
	return nc, br, stall
}

func TestRequestBeforeTheIdleDeadlineIsAnswered(t *testing.T) {
	nc, br, stall := stallAtIdleDeadline(t)
	write(t, nc, get("/a"))
	waitPastTimeout()
	close(stall.resume)
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

// The bytes that arrived begin a request; its rest has the header timeout to arrive.
func TestPartOfAHeadBeforeTheIdleDeadline(t *testing.T) {
	nc, br, stall := stallAtIdleDeadline(t)
	request := get("/a")
	write(t, nc, request[:9])
	waitPastTimeout()
	close(stall.resume)
	waitPastTimeout()
	write(t, nc, request[9:])
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

func TestHeadBeforeItsDeadlineIsRead(t *testing.T) {
	request := get("/a")
	nc, br, stall := stallInHead(t, request[:9])
	write(t, nc, request[9:])
	waitPastTimeout()
	close(stall.resume)
	resp, body := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "/a")
}

// A head of which only a part arrived before its deadline is rejected.
func TestHeadAfterItsDeadlineIsRejected(t *testing.T) {
	request := get("/a")
	nc, br, stall := stallInHead(t, request[:9])
	write(t, nc, request[9:15])
	waitPastTimeout()
	close(stall.resume)
	resp, _ := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

func TestBodyBeforeItsDeadlineIsRead(t *testing.T) {
	stall := newStallPoint(2)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(shortTimeout))
		echo(w, r)
	})}, stallPoints{read: stall})
	nc, br := dial(t, addr)
	write(t, nc, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	<-stall.reached
	write(t, nc, "whole")
	waitPastTimeout()
	close(stall.resume)
	resp, body := read(t, br)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "/awhole")
}

// A draining server waits firstRequestTimeout for the first request of a connection.
func TestFirstRequestAtADrainingServer(t *testing.T) {
	stall := newStallPoint(1)
	s, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo)}, stallPoints{wait: stall})
	s.Drain()
	nc, br := dial(t, addr)
	<-stall.reached
	write(t, nc, get("/a"))
	time.Sleep(firstRequestTimeout + shortTimeout)
	close(stall.resume)
	resp, body := read(t, br)
	assert.Equal(t, body, "/a")
	assert.Assert(t, resp.Close)
}

// A connection with an unread request is not closed for exceeding MaxIdle or because the
// server drains.
func TestRequestBeforeAnIdleCloseIsAnswered(t *testing.T) {
	for name, startClose := range map[string]func(*Server){
		"too many idle": func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.closeIdle()
			}
		},
		"drain": func(s *Server) { s.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			stall := newStallPoint(2)
			s, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), MaxIdle: 8}, stallPoints{wait: stall})
			nc, br := dial(t, addr)
			write(t, nc, get("/a"))
			read(t, br)
			<-stall.reached
			write(t, nc, get("/b"))
			startClose(s)
			close(stall.resume)
			_, body := read(t, br)
			assert.Equal(t, body, "/b")
		})
	}
}

// A request after a response that announced the close is not run, as its caller sends it
// again, whatever its method.
func TestRequestAfterTheLastResponseIsNotRun(t *testing.T) {
	var ran sync.Map
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path, true)
		w.Header().Set("Connection", "close")
		echo(w, r)
	}), MaxPipelined: 1}, stallPoints{})
	nc, br := dial(t, addr)
	write(t, nc, get("/a"))
	resp, _ := read(t, br)
	assert.Assert(t, resp.Close)
	write(t, nc, get("/b"))
	raw, _ := io.ReadAll(br)
	assert.Equal(t, len(raw), 0)
	_, bRan := ran.Load("/b")
	assert.Assert(t, !bRan)
}

// limitsWithIdle returns the default limits with an idle timeout that may change, in
// nanoseconds.
func limitsWithIdle(idle *atomic.Int64) func() Limits {
	return func() Limits {
		l := DefaultLimits()
		l.IdleTimeout = time.Duration(idle.Load())
		return l
	}
}

// startIdling starts a server whose idle timeout may change and whose nth wait of a
// connection stalls, and connects to it.
func startIdling(t *testing.T, timeout time.Duration, n int64) (idle *atomic.Int64, stall *stallPoint, nc net.Conn, br *bufio.Reader) {
	t.Helper()
	idle = new(atomic.Int64)
	idle.Store(int64(timeout))
	stall = newStallPoint(n)
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limitsWithIdle(idle)}, stallPoints{wait: stall})
	nc, br = dial(t, addr)
	return idle, stall, nc, br
}

// Callers keep a connection for four fifths of the published idle timeout. If the timeout
// grows while a connection waits, the longer one applies to it.
func TestLongerIdleTimeoutAppliesToWaitingConnections(t *testing.T) {
	idle, stall, nc, br := startIdling(t, shortTimeout, 1)
	<-stall.reached
	idle.Store(int64(time.Minute))
	waitPastTimeout()
	close(stall.resume)
	waitPastTimeout()
	write(t, nc, get("/a"))
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

// If the idle timeout is shortened while a connection waits, its caller relies on the
// longer one, so the connection is kept for that.
func TestShorterIdleTimeoutSparesWaitingConnections(t *testing.T) {
	idle, stall, nc, br := startIdling(t, time.Minute, 2)
	write(t, nc, get("/a"))
	read(t, br)
	<-stall.reached
	waitPastTimeout() // its last response has ended
	idle.Store(int64(shortTimeout))
	waitPastTimeout()
	close(stall.resume)
	waitPastTimeout()
	write(t, nc, get("/b"))
	_, body := read(t, br)
	assert.Equal(t, body, "/b")
}

// Connections in the backlog are accepted after StopAccepting, also if the process was
// paused for longer than maxBacklogWait.
func TestStoppedServerAnswersItsBacklogAfterAStall(t *testing.T) {
	stall := newStallPoint(3)
	s, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo)}, stallPoints{accept: stall})
	first, br := dial(t, addr)
	write(t, first, get("/a"))
	read(t, br)
	s.Drain()
	s.StopAccepting()
	<-stall.reached
	var conns []net.Conn
	for range 3 {
		nc, _ := dial(t, addr)
		write(t, nc, get("/a"))
		conns = append(conns, nc)
	}
	time.Sleep(maxBacklogWait + 2*emptyBacklogWait)
	close(stall.resume)
	for _, nc := range conns {
		raw, err := io.ReadAll(nc)
		assert.NilError(t, err)
		assert.Assert(t, len(raw) > 0, "closed without a response")
	}
}
