package http1

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// A connection that comes to a draining server was closed unread: callers found it
// closed 0.23 s after their request. It is answered like any other, and told.
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

// A request that is at the server when it closes an idle connection is answered.
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
			assert.Assert(t, len(raw) > 0, "closed without an answer")
		}
		s.Close()
	}
}

// An announcement closes nothing; each caller is told with its next answer.
func TestAnnouncedServerTellsCallers(t *testing.T) {
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

// What was connected before a server stops to accept is answered, also if the
// process has not accepted it yet.
func TestStoppedServerAnswersItsBacklog(t *testing.T) {
	for range 20 {
		s, addr := startServer(t, ok, DefaultLimits())
		var conns []net.Conn
		nc, br := dial(t, addr)
		write(t, nc, get("/"))
		read(t, br)
		s.mu.Lock() // the server accepts one connection more and no further
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
					t.Errorf("no answer: %v", err)
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
			assert.Assert(t, time.Now().Before(end), "it still accepts")
		}
	}
}

// A caller that connects to a draining server and sends nothing keeps it for
// freshWait at the most.
func TestSilentConnectionOfADrainingServerEnds(t *testing.T) {
	s, addr := startServer(t, ok, DefaultLimits())
	s.Drain()
	_, br := dial(t, addr)
	began := time.Now()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(began) < DefaultLimits().HeaderTimeout)
}

// An answer whose head was out before the server began to drain tells nothing of
// the end; a request that is read while it ends is answered.
func TestRequestReadAsTheAnswerBeforeEndsIsAnswered(t *testing.T) {
	flushed, release := make(chan struct{}), make(chan struct{})
	at := newPoint(3) // the first request, the beginning of the second, its rest
	s, addr := startStalled(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			close(flushed)
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}, stalls{read: at})
	nc, br := dial(t, addr)
	request := get("/b")
	write(t, nc, get("/a"))
	<-flushed
	write(t, nc, request[:9])
	<-at.standing
	s.Drain()
	close(release)
	resp, body := read(t, br)
	assert.Assert(t, !resp.Close && body == "/a")
	for !s.allClosing() {
		time.Sleep(time.Millisecond)
	}
	close(at.goOn)
	write(t, nc, request[9:])
	resp, body = read(t, br)
	assert.Assert(t, resp.Close && body == "/b")
}

// The same request is watched while it runs, as its caller may leave.
func TestCallerThatLeavesADrainingServerIsNoticed(t *testing.T) {
	flushed, release, running, cancelled := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	at := newPoint(3)
	s, addr := startStalled(t, Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/a" {
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				close(flushed)
				<-release
				return
			}
			close(running)
			<-r.Context().Done()
			close(cancelled)
		}),
	}, stalls{read: at})
	nc, br := dial(t, addr)
	request := get("/b")
	write(t, nc, get("/a"))
	<-flushed
	write(t, nc, request[:9])
	<-at.standing
	s.Drain()
	close(release)
	read(t, br)
	for !s.allClosing() {
		time.Sleep(time.Millisecond)
	}
	close(at.goOn)
	write(t, nc, request[9:])
	<-running
	assert.NilError(t, nc.Close())
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the caller has left and nobody has noticed")
	}
}

// allClosing reports whether the answers of all connections have ended and they are
// to be closed.
func (s *Server) allClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		closing := c.last == nil && c.closing
		c.mu.Unlock()
		if !closing {
			return false
		}
	}
	return true
}
