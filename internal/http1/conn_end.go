package http1

import (
	"net"
	"net/http"
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

// noteRefusal keeps why a head was refused.
func (c *conn) noteRefusal(status int) {
	cause := EndRefused
	if status == http.StatusRequestTimeout {
		cause = EndHeadTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEndLocked(cause)
	if cause == EndHeadTimeout {
		c.ended.Late, c.ended.Unread = c.rd.late(time.Now()), c.rd.pending() > 0
	}
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
