package node

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// newCallersServer returns the server for callers. A response that is aborted resets its
// connection: to a caller of HTTP/1.0 an ordinary end would tell that it is whole.
func newCallersServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           resetOnAbort(handler),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
	}
}

// resetOnAbort makes the close of a connection a reset if the handler panics, as it does to
// abort its response.
func resetOnAbort(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		complete := false
		defer func() {
			if nc, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok && !complete {
				_ = nc.SetLinger(0)
			}
		}()
		handler.ServeHTTP(w, r)
		complete = true
	})
}
