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

// pair returns both ends of a TCP connection.
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

// Bytes that arrived before the deadline was noticed are read, in however many parts;
// later ones are not, so that a sender of single bytes can't extend its deadline.
func TestBytesAfterTheDeadlineAreNotRead(t *testing.T) {
	here, there := pair(t)
	r := newDeadlineReader(here)
	write(t, there, "abc")
	r.setDeadline(time.Unix(1, 0))
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
	r.setDeadline(time.Time{})
	n, err = r.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "def")
}

// A deadline passes on a connection without bytes, and on one that its sender has closed.
func TestDeadlineWithoutBytes(t *testing.T) {
	here, there := pair(t)
	r := newDeadlineReader(here)
	r.interrupt()
	assert.Assert(t, isTimeout(r.awaitReadable()))
	_, err := r.Read(make([]byte, 8))
	assert.Assert(t, isTimeout(err))
	assert.NilError(t, there.Close())
	r.setDeadline(time.Now().Add(time.Minute))
	r.awaitPeerClose()
	_, err = r.Read(make([]byte, 8))
	assert.Equal(t, err, io.EOF)
}

// The process may also pause after the idle check. Here the request arrives while the
// limits are read, after the check that found no bytes.
func TestRequestAfterTheIdleCheckIsAnswered(t *testing.T) {
	var calls atomic.Int64
	caller := make(chan net.Conn, 1)
	limits := func() Limits {
		l := DefaultLimits()
		switch calls.Add(1) {
		case 1: // start of the wait
			l.IdleTimeout = shortTimeout
		case 2: // the wait has ended
			l.IdleTimeout = shortTimeout
			nc := <-caller
			_, _ = io.WriteString(nc, get("/a"))
		}
		return l
	}
	_, addr := startStalled(t, Config{Handler: http.HandlerFunc(echo), Limits: limits}, stallPoints{})
	nc, br := dial(t, addr)
	caller <- nc
	_, body := read(t, br)
	assert.Equal(t, body, "/a")
}

// A request that races with the close is not read, so that its caller, which sees the
// close, can safely send it again.
func TestRequestRacingWithTheCloseStaysUnread(t *testing.T) {
	reads := newStallPoint(1 << 32)
	ends := make(chan ConnEnd, 1)
	s, addr := startStalled(t, Config{
		Handler:   http.HandlerFunc(echo),
		OnConnEnd: func(e ConnEnd) { ends <- e },
	}, stallPoints{read: reads})
	nc, br := dial(t, addr)
	write(t, nc, get("/a"))
	read(t, br)
	s.Drain()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	write(t, nc, get("/b"))
	waitPastTimeout()
	assert.Equal(t, int64(1<<32)-reads.callsLeft.Load(), int64(1), "number of reads, including that of the first request")
	assert.NilError(t, nc.Close())
	end := <-ends
	assert.Equal(t, end.Cause, EndDrained)
	assert.Equal(t, end.BytesAfterClose, int64(len(get("/b"))))
	assert.Assert(t, !end.Unread && end.Unanswered == 0)
}

// The end of an idle connection reports how late the process noticed the deadline.
func TestDetectionDelayIsReported(t *testing.T) {
	limits := DefaultLimits()
	limits.IdleTimeout = shortTimeout
	stall := newStallPoint(1)
	ends := make(chan ConnEnd, 1)
	_, addr := startStalled(t, Config{
		Handler:   http.HandlerFunc(echo),
		Limits:    fixedLimits(limits),
		OnConnEnd: func(e ConnEnd) { ends <- e },
	}, stallPoints{wait: stall})
	nc, br := dial(t, addr)
	<-stall.reached
	time.Sleep(10 * shortTimeout)
	close(stall.resume)
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, nc.Close())
	end := <-ends
	assert.Equal(t, end.Cause, EndIdle)
	assert.Assert(t, end.DetectionDelay >= 9*shortTimeout, "%v", end.DetectionDelay)
}
