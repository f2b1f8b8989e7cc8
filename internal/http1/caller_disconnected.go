package http1

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrAbandoned marks errors of round trips that were not begun since nobody waits for the
// response: the caller has disconnected, or the deadline has passed
// (context.DeadlineExceeded). They are also marked with ErrNotSent.
var ErrAbandoned = errors.New("nobody waits for the response")

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// CallerDisconnected reports whether the caller of a request served by a Server has
// closed its side of the connection. The close may be queued in the kernel behind the
// request: after a process pause both are there at once, and the context is not cancelled
// yet when the handler starts. The check costs one system call.
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.rd.peerClosed()
}

// checkAwaited returns an error marked with ErrAbandoned if nobody waits for the response
// of a request any more. After a process pause the context may not have ended yet.
func checkAwaited(ctx context.Context) error {
	cause := ctx.Err()
	if deadline, ok := ctx.Deadline(); cause == nil && ok && !time.Now().Before(deadline) {
		cause = context.DeadlineExceeded
	}
	if cause == nil && CallerDisconnected(ctx) {
		cause = context.Canceled
	}
	if cause == nil {
		return nil
	}
	return errors.Mark(errors.Mark(cause, ErrAbandoned), ErrNotSent)
}
