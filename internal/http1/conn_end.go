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
	// EndAnnounced is an end that the answer before had told.
	EndAnnounced EndCause = "told"
	// EndDrained is an idle connection of a draining server.
	EndDrained EndCause = "drained"
	// EndTooManyIdle is the one idle longest of more than Config.MaxIdle.
	EndTooManyIdle EndCause = "too_many_idle"
	// EndHeadTimeout is a head that took longer than Limits.HeaderTimeout.
	EndHeadTimeout EndCause = "head_timeout"
	// EndHeadRejected is a head that could not be understood or was too long.
	EndHeadRejected EndCause = "head_refused"
	// EndCallerDisconnected is a caller that closed or reset its side.
	EndCallerDisconnected EndCause = "caller_gone"
	// EndResponseAborted is an answer that the handler broke off or left short.
	EndResponseAborted EndCause = "answer_cut"
	// EndServerClosed is a server that was closed.
	EndServerClosed EndCause = "server_closed"
)

// EndCauses lists all causes.
func EndCauses() []EndCause {
	return []EndCause{
		EndIdle, EndAnnounced, EndDrained, EndTooManyIdle, EndHeadTimeout,
		EndHeadRejected, EndCallerDisconnected, EndResponseAborted, EndServerClosed,
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
	// DetectionDelay is how long after the deadline the process noticed it: what the process
	// itself stood still. 0 if no deadline ended the connection.
	DetectionDelay time.Duration
	// BytesAfterClose is the number of bytes that came after the decision.
	BytesAfterClose int64
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
	if c.server.cfg.OnConnEnd == nil {
		return
	}
	c.mu.Lock()
	c.noteEndLocked(c.decided())
	end := c.ended
	c.mu.Unlock()
	c.server.cfg.OnConnEnd(end)
}

// decided is the cause by what was decided on the connection. The lock is held.
func (c *conn) decided() EndCause {
	switch {
	case c.told:
		return EndAnnounced
	case c.server.draining.Load():
		return EndDrained
	case c.closing:
		return EndTooManyIdle
	default:
		return EndIdle
	}
}

// noteRefusal keeps why a head was refused.
func (c *conn) noteRefusal(status int) {
	cause := EndHeadRejected
	if status == http.StatusRequestTimeout {
		cause = EndHeadTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEndLocked(cause)
	if cause == EndHeadTimeout {
		c.ended.DetectionDelay, c.ended.Unread = c.rd.late(time.Now()), c.rd.pending() > 0
	}
}

// noteCut counts a request whose answer is not whole. A failed write means that
// the caller has gone.
func (c *conn) noteCut(err error) {
	cause := EndResponseAborted
	var failed *net.OpError
	if c.ctx.Err() != nil || errors.As(err, &failed) {
		cause = EndCallerDisconnected
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended.Unanswered++
	c.noteEndLocked(cause)
}
