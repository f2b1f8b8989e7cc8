package http1

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// EndCause is the reason why a connection of a Server ended.
type EndCause string

// Close causes. The first that applies to a connection is kept.
const (
	// EndIdle means that the idle timeout passed.
	EndIdle EndCause = "idle"
	// EndAnnounced means that a response or request had announced the close.
	EndAnnounced EndCause = "told"
	// EndDrained means that the connection was idle while the server drained.
	EndDrained EndCause = "drained"
	// EndTooManyIdle means that the connection was idle longest and Config.MaxIdle was
	// exceeded.
	EndTooManyIdle EndCause = "too_many_idle"
	// EndCrowded means that a request had stalled when Config.MaxConns was reached.
	EndCrowded EndCause = "crowded"
	// EndHeadTimeout means that a request head took longer than Limits.HeaderTimeout.
	EndHeadTimeout EndCause = "head_timeout"
	// EndHeadRejected means that a request head was malformed or too long.
	EndHeadRejected EndCause = "head_refused"
	// EndCallerDisconnected means that the caller closed or reset the connection.
	EndCallerDisconnected EndCause = "caller_gone"
	// EndResponseAborted means that the handler aborted its response or wrote less than
	// its length.
	EndResponseAborted EndCause = "answer_cut"
	// EndServerClosed means that the server was closed.
	EndServerClosed EndCause = "server_closed"
)

// EndCauses returns all close causes.
func EndCauses() []EndCause {
	return []EndCause{
		EndIdle, EndAnnounced, EndDrained, EndTooManyIdle, EndCrowded, EndHeadTimeout,
		EndHeadRejected, EndCallerDisconnected, EndResponseAborted, EndServerClosed,
	}
}

// ConnEnd describes how a connection of a Server ended.
type ConnEnd struct {
	Cause EndCause
	// At is when the close was decided.
	At time.Time
	// Unread reports whether the connection held bytes at that time that were never read.
	Unread bool
	// Unanswered is the number of requests that were read and got no complete response.
	Unanswered int
	// DetectionDelay is how long after the deadline the process noticed it, a measure of
	// its own pauses. 0 if no deadline ended the connection.
	DetectionDelay time.Duration
	// BytesAfterClose is the number of bytes that arrived after the close was decided.
	BytesAfterClose int64
}

// recordEnd records the close cause unless an earlier one is recorded.
func (c *conn) recordEnd(cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordEndLocked(cause)
}

func (c *conn) recordEndLocked(cause EndCause) {
	if c.endInfo.Cause != "" {
		return
	}
	if c.server.closed.Load() {
		cause = EndServerClosed
	}
	c.endInfo.Cause, c.endInfo.At = cause, time.Now()
}

// reportEnd passes the connection's end to Config.OnConnEnd.
func (c *conn) reportEnd() {
	if c.server.cfg.OnConnEnd == nil {
		return
	}
	c.mu.Lock()
	c.recordEndLocked(c.closeCause())
	end := c.endInfo
	c.mu.Unlock()
	c.server.cfg.OnConnEnd(end)
}

// closeCause returns the close cause that follows from the connection's state. The caller
// holds the lock.
func (c *conn) closeCause() EndCause {
	switch {
	case c.closeAnnounced:
		return EndAnnounced
	case c.server.draining.Load():
		return EndDrained
	case c.closing:
		return EndTooManyIdle
	default:
		return EndIdle
	}
}

// recordHeadRejection records the close cause for a rejected head.
func (c *conn) recordHeadRejection(status int) {
	cause := EndHeadRejected
	if status == http.StatusRequestTimeout {
		cause = EndHeadTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordEndLocked(cause)
	if cause == EndHeadTimeout {
		c.endInfo.DetectionDelay, c.endInfo.Unread = c.rd.overdue(time.Now()), c.rd.pending() > 0
	}
}

// recordAbortedResponse counts a request without a complete response. A failed write
// means that the caller has disconnected.
func (c *conn) recordAbortedResponse(err error) {
	cause := EndResponseAborted
	var failed *net.OpError
	if c.ctx.Err() != nil || errors.As(err, &failed) {
		cause = EndCallerDisconnected
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endInfo.Unanswered++
	c.recordEndLocked(cause)
}
