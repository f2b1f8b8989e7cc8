package http1

import "context"

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
