package http1

import (
	"net/http"
	"testing"
	"time"
)

// A caller that says with its request that it is the last on the connection, and
// leaves while it runs, is not noticed: the connection is not read any more, so the
// request runs to its end for nobody. One that keeps its connection is noticed at once.
func TestCallerThatLeavesItsLastRequestIsNoticed(t *testing.T) {
	for name, request := range map[string]string{
		"keeps the connection": get("/"),
		"says it is the last":  "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			running, cancelled, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
			_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				close(running)
				select {
				case <-r.Context().Done():
					close(cancelled)
				case <-release:
				}
			}, DefaultLimits())
			defer close(release)
			nc, _ := dial(t, addr)
			write(t, nc, request)
			<-running
			_ = nc.Close()
			select {
			case <-cancelled:
			case <-time.After(2 * time.Second):
				t.Fatal("the caller has left and nobody has noticed")
			}
		})
	}
}
