package http1

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns two ends of a connection.
func pair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	there, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	here, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = here.Close(), there.Close() })
	return here, there
}

// What had come when a deadline was noticed is read, in however many parts; what
// comes later is not, so a sender of one byte at a time gains no time by it.
func TestLateBytesAreNotRead(t *testing.T) {
	here, there := pair(t)
	r := newDeadlineReader(here)
	write(t, there, "abc")
	r.set(time.Unix(1, 0))
	buf := make([]byte, 8)
	n, err := r.Read(buf[:1])
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	write(t, there, "def")
	n, err = r.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "bc")
	_, err = r.Read(buf)
	assert.Assert(t, isTimeout(err))
	r.set(time.Time{})
	n, err = r.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "def")
}

// A deadline passes over a connection on which nothing has come, and over one that
// its sender has closed.
func TestNothingIsReadAfterADeadline(t *testing.T) {
	here, there := pair(t)
	r := newDeadlineReader(here)
	r.interrupt()
	assert.Assert(t, isTimeout(r.awaitReadable()))
	_, err := r.Read(make([]byte, 8))
	assert.Assert(t, isTimeout(err))
	assert.NilError(t, there.Close())
	r.set(time.Now().Add(time.Minute))
	r.awaitHangup()
	_, err = r.Read(make([]byte, 8))
	assert.Equal(t, err, io.EOF)
}

// A process may also stand still after its last look at an idle connection. The
// request comes here as the limits are looked at, after the look that found nothing.
func TestRequestAfterTheLastLookIsAnswered(t *testing.T) {
	var calls atomic.Int64
	caller := make(chan net.Conn, 1)
	limits := func() Limits {
		l := DefaultLimits()
		switch calls.Add(1) {
		case 1: // the wait begins
			l.IdleTimeout = brief
		case 2: // it is over
			l.IdleTimeout = brief
			nc := <-caller
			_, _ = io.WriteString(nc, get("/a"))
		}
		return l
	}
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limits}, stalls{})
	nc, br := dial(t, addr)
	caller <- nc
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

// A request that meets the close on its way stays unread while its caller can see
// the close: it may send the request again, as nothing has read it.
func TestRequestThatMeetsTheCloseStaysUnread(t *testing.T) {
	reads := newPoint(1 << 32)
	ends := make(chan ConnEnd, 1)
	s, addr := startStalled(t, Config{
		Handler:   http.HandlerFunc(echo),
		OnConnEnd: func(e ConnEnd) { ends <- e },
	}, stalls{read: reads})
	nc, br := dial(t, addr)
	write(t, nc, get("/a"))
	read(t, br)
	s.Drain()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	write(t, nc, get("/b"))
	over()
	assert.Equal(t, int64(1<<32)-reads.left.Load(), int64(1), "reads, the one of the first request included")
	assert.NilError(t, nc.Close())
	end := <-ends
	assert.Equal(t, end.Cause, EndDrained)
	assert.Equal(t, end.BytesAfterClose, int64(len(get("/b"))))
	assert.Assert(t, !end.Unread && end.Unanswered == 0)
}

// An end for idleness tells how late the process was.
func TestLateEndIsTold(t *testing.T) {
	limits := DefaultLimits()
	limits.IdleTimeout = brief
	at := newPoint(1)
	ends := make(chan ConnEnd, 1)
	_, addr := startStalled(t, Config{
		Handler:   http.HandlerFunc(echo),
		Limits:    limitsOf(limits),
		OnConnEnd: func(e ConnEnd) { ends <- e },
	}, stalls{wait: at})
	nc, br := dial(t, addr)
	<-at.standing
	time.Sleep(10 * brief)
	close(at.goOn)
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, nc.Close())
	end := <-ends
	assert.Equal(t, end.Cause, EndIdle)
	assert.Assert(t, end.DetectionDelay >= 9*brief, "%v", end.DetectionDelay)
}
