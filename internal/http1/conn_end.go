package http1

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// EndCause says why a connection of a Server ended.
type EndCause string

// Causes of an end. The first that applies to a connection is kept.
const (
	// EndIdle is an idle time that was over.
	EndIdle EndCause = "idle"
	// EndTold is an end that the answer before had told.
	EndTold EndCause = "told"
	// EndDrained is an idle connection of a draining server.
	EndDrained EndCause = "drained"
	// EndSpare is the one idle longest of more than Config.MaxIdle.
	EndSpare EndCause = "too_many_idle"
	// EndHeadTimeout is a head that took longer than Limits.HeaderTimeout.
	EndHeadTimeout EndCause = "head_timeout"
	// EndRefused is a head that could not be understood or was too long.
	EndRefused EndCause = "head_refused"
	// EndCallerGone is a caller that closed or reset its side.
	EndCallerGone EndCause = "caller_gone"
	// EndCut is an answer that the handler broke off or left short.
	EndCut EndCause = "answer_cut"
	// EndServerClosed is a server that was closed.
	EndServerClosed EndCause = "server_closed"
)

// EndCauses lists all causes.
func EndCauses() []EndCause {
	return []EndCause{
		EndIdle, EndTold, EndDrained, EndSpare, EndHeadTimeout,
		EndRefused, EndCallerGone, EndCut, EndServerClosed,
	}
}

// ConnEnd tells how a connection of a Server ended.
type ConnEnd struct {
	Cause EndCause
	// At is when the end was decided.
	At time.Time
	// Unread says that bytes which were never read lay in the connection then.
	Unread bool
	// Unanswered is the number of requests that were read and have no whole answer.
	Unanswered int
	// Late is how long after the deadline the process noticed it: what the process
	// itself stood still. 0 if no deadline ended the connection.
	Late time.Duration
	// Crossed is the number of bytes that came after the decision.
	Crossed int64
}

// noteEnd keeps the cause of the end unless an earlier one is known.
func (c *conn) noteEnd(cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEndLocked(cause)
}

func (c *conn) noteEndLocked(cause EndCause) {
	if c.ended.Cause != "" {
		return
	}
	if c.server.closed.Load() {
		cause = EndServerClosed
	}
	c.ended.Cause, c.ended.At = cause, time.Now()
}

// noteTimeout is noteEnd after a read deadline, and looks at what was left.
func (c *conn) noteTimeout(cause EndCause) {
	left := unread(c.nc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEndLocked(cause)
	c.ended.Unread = c.ended.Unread || left
	if !c.deadline.IsZero() {
		c.ended.Late = c.ended.At.Sub(c.deadline)
	}
}

// report hands the end to the server's owner.
func (c *conn) report() {
	if c.server.cfg.Ended == nil {
		return
	}
	c.mu.Lock()
	c.noteEndLocked(c.decided())
	end := c.ended
	c.mu.Unlock()
	c.server.cfg.Ended(end)
}

// wait sets the read deadline that a wait ends at.
func (c *conn) wait(until time.Time) {
	c.deadline = until
	_ = c.nc.SetReadDeadline(until)
}

// interrupt ends a wait now.
func (c *conn) interrupt() {
	c.deadline = time.Time{}
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// unread reports whether bytes lie in a connection, whatever its deadline.
func unread(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// decided is the cause by what was decided on the connection. The lock is held.
func (c *conn) decided() EndCause {
	switch {
	case c.told:
		return EndTold
	case c.server.draining.Load():
		return EndDrained
	case c.closing:
		return EndSpare
	default:
		return EndIdle
	}
}

// noteWait keeps why a wait for a request ended.
func (c *conn) noteWait(err error) {
	if !isTimeout(err) {
		c.noteEnd(EndCallerGone)
		return
	}
	c.mu.Lock()
	cause := c.decided()
	c.mu.Unlock()
	c.noteTimeout(cause)
}

// noteRefusal keeps why a head was refused.
func (c *conn) noteRefusal(status int) {
	if status == http.StatusRequestTimeout {
		c.noteTimeout(EndHeadTimeout)
		return
	}
	c.noteEnd(EndRefused)
}

// noteCut counts a request whose answer is not whole. A failed write means that
// the caller has gone.
func (c *conn) noteCut(err error) {
	cause := EndCut
	var failed *net.OpError
	if c.ctx.Err() != nil || errors.As(err, &failed) {
		cause = EndCallerGone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended.Unanswered++
	c.noteEndLocked(cause)
}
