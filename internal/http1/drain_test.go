package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// A new connection to a draining server used to be closed unread: callers found it closed
// 0.23 s after their request. It must be answered like any other, with Connection: close.
func TestDrainingServerAnswersNewConnections(t *testing.T) {
	s, addr := startServer(t, ok, DefaultLimits())
	early, earlyReader := dial(t, addr) // no request yet
	s.Drain()
	late, lateReader := dial(t, addr)
	time.Sleep(10 * time.Millisecond)
	write(t, early, get("/"))
	write(t, late, get("/"))
	resp, body := read(t, earlyReader)
	assert.Assert(t, resp.Close && body == "ok")
	resp, body = read(t, lateReader)
	assert.Assert(t, resp.Close && body == "ok")
}

// A request that has arrived when the server closes its idle connections is answered.
func TestRequestBeforeTheCloseIsAnswered(t *testing.T) {
	for range 200 {
		s, addr := startServer(t, ok, DefaultLimits())
		var conns []net.Conn
		for range 8 {
			nc, br := dial(t, addr)
			write(t, nc, get("/"))
			read(t, br)
			conns = append(conns, nc)
		}
		for _, nc := range conns {
			write(t, nc, get("/"))
		}
		s.Drain()
		for _, nc := range conns {
			raw, err := io.ReadAll(nc)
			assert.NilError(t, err)
			assert.Assert(t, len(raw) > 0, "closed without a response")
		}
		s.Close()
	}
}

// AnnounceClose closes no connection; the announcement goes out with the next response to
// each caller.
func TestAnnouncedCloseIsSentToCallers(t *testing.T) {
	s, addr := startServer(t, ok, DefaultLimits())
	nc, br := dial(t, addr)
	write(t, nc, get("/"))
	resp, _ := read(t, br)
	assert.Assert(t, !resp.Close)
	s.AnnounceClose()
	time.Sleep(10 * time.Millisecond)
	write(t, nc, get("/"))
	resp, body := read(t, br)
	assert.Assert(t, resp.Close && body == "ok")
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// Connections established before StopAccepting are answered, also if they are still in
// the listen backlog.
func TestStoppedServerAnswersItsBacklog(t *testing.T) {
	for range 20 {
		s, addr := startServer(t, ok, DefaultLimits())
		var conns []net.Conn
		nc, br := dial(t, addr)
		write(t, nc, get("/"))
		read(t, br)
		s.mu.Lock() // the server accepts one more connection and then blocks
		for range 30 {
			nc, _ := dial(t, addr)
			write(t, nc, get("/"))
			conns = append(conns, nc)
		}
		s.mu.Unlock()
		s.Drain()
		s.StopAccepting()
		var group sync.WaitGroup
		for _, nc := range conns {
			group.Go(func() {
				raw, err := io.ReadAll(nc)
				if err != nil || len(raw) == 0 {
					t.Errorf("no response: %v", err)
				}
			})
		}
		group.Wait()
		for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			if nc, err := net.Dial("tcp", addr); err != nil {
				break
			} else {
				_ = nc.Close()
			}
			assert.Assert(t, time.Now().Before(end), "the server still accepts connections")
		}
	}
}

// schedulingSlack is the difference between a timeout and its measured time that a busy
// machine may cause.
const schedulingSlack = 400 * time.Millisecond

// A caller that connects to a draining server and sends nothing keeps the connection open
// for at most firstRequestTimeout.
func TestConnectionWithoutRequestEndsWhileDraining(t *testing.T) {
	s, addr := startServer(t, ok, DefaultLimits())
	s.Drain()
	_, br := dial(t, addr)
	start := time.Now()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	elapsed := time.Since(start)
	assert.Assert(t, elapsed > firstRequestTimeout-schedulingSlack && elapsed < firstRequestTimeout+schedulingSlack, "closed after %v", elapsed)
}

// readAcrossDrain starts a server that drains while it reads a second request, with
// serveSecond as the handler of that. The first response ends meanwhile; its head was sent
// before the drain and does not announce the close.
func readAcrossDrain(t *testing.T, serveSecond http.HandlerFunc) (net.Conn, *bufio.Reader) {
	t.Helper()
	flushed, release := make(chan struct{}), make(chan struct{})
	stall := newStallPoint(3) // reads: the first request, the first part of the second, its rest
	s, addr := startStalled(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/a" {
			serveSecond(w, r)
			return
		}
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		close(flushed)
		<-release
		_, _ = io.WriteString(w, "/a")
	})}, stallPoints{read: stall})
	nc, br := dial(t, addr)
	request := get("/b")
	write(t, nc, get("/a"))
	<-flushed
	write(t, nc, request[:9])
	<-stall.reached
	s.Drain()
	close(release)
	resp, body := read(t, br)
	assert.Assert(t, !resp.Close && body == "/a")
	for !s.allClosing() {
		time.Sleep(time.Millisecond)
	}
	close(stall.resume)
	write(t, nc, request[9:])
	return nc, br
}

// A request that is being read while the response before it ends must still be answered.
func TestRequestReadAsThePreviousResponseEndsIsAnswered(t *testing.T) {
	_, br := readAcrossDrain(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	resp, body := read(t, br)
	assert.Assert(t, resp.Close && body == "/b")
}

// In the same situation the second request must be cancelled if its caller disconnects.
func TestCallerDisconnectWhileDrainingIsDetected(t *testing.T) {
	running, cancelled := make(chan struct{}), make(chan struct{})
	nc, _ := readAcrossDrain(t, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(cancelled)
	})
	<-running
	assert.NilError(t, nc.Close())
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the caller's disconnect was not detected")
	}
}

// allClosing reports whether all connections have written their responses and are marked
// for closing.
func (s *Server) allClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		closing := c.lastExchange == nil && c.closing
		c.mu.Unlock()
		if !closing {
			return false
		}
	}
	return true
}
