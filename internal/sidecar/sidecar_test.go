package sidecar

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
)

func TestRequestReachesAnUpstreamUnchanged(t *testing.T) {
	f := startFleet(t, 3, 0)
	req := f.request(0, "POST", "/write/a%2Fb//c/../d?x=%20&y", strings.Repeat("z", 200_000))
	req.Header.Set(testDialect.CallerService, "forged")
	req.Header.Set(testDialect.ExpectedInstance, "forged")
	status, header, body := f.send(req)
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, header.Get("Seen-Target"), "/write/a%2Fb//c/../d?x=%20&y")
	assert.Equal(t, header.Get("Seen-Caller"), "shop")
	assert.Assert(t, strings.HasSuffix(body, "got 200000 bytes"))
	assert.Assert(t, header.Get(testDialect.Signature) != "")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	f := startFleet(t, 1, 0)
	status, _, _ := f.send(f.request(0, "GET", "/nothing/", ""))
	assert.Equal(t, status, http.StatusNotFound)
}

func BenchmarkRequests(b *testing.B) {
	f := startFleet(b, 3, 0)
	client := http1.NewClient(http1.DefaultClientConfig())
	b.ReportAllocs()
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := w; i < b.N; i += 8 {
				req := f.request(w%3, "GET", "/read/x", "")
				req.Body = nil
				resp, err := client.RoundTrip(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	group.Wait()
}
