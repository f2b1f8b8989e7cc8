package http1

import (
	"net/http"
	"testing"
	"time"
)

// A caller may announce with Connection: close that its request is the last one, and
// disconnect while it runs. The connection must still be watched, or the request runs to
// completion for nobody.
func TestCallerDisconnectDuringLastRequestIsDetected(t *testing.T) {
	for name, request := range map[string]string{
		"keep-alive":       get("/"),
		"connection close": "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
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
				t.Fatal("the caller's disconnect was not detected")
			}
		})
	}
}
