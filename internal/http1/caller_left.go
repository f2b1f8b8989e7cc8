package http1

import "context"

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// CallerDisconnected reports whether the caller of a request that a Server reads has closed
// its side, which may lie behind the request unread: a process that stood still reads
// both together, and its handler would hand on what nobody waits for. It costs one
// call of the system.
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.rd.hungUp()
}
