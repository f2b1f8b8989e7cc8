package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
)

// A node that left cut answers that waited for the link of the node that had run
// their requests: the runs had ended 2.4 and 2.9 s before, and the callers got a
// closed connection in place of a failure that says so. Whatever a leaving node
// has read is answered, with a failure at worst.
func TestLeavingNodeAnswersWhatWaitsForALink(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.store.change(func(u *discovery.Update) { // all goes to the other node, and may take long
		u.Upstreams[0].Leaving, u.Upstreams[0].Revision = true, u.Revision
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = 20*time.Second, 10*time.Second
		}
	})
	for f.sidecars[0].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	const long, endless = 90 << 10, 64 << 20
	f.misbehave(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
		n := long
		if r.URL.Path == "/read/endless" {
			n = endless
		}
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = w.Write(make([]byte, n))
	})
	get := func(path string) (*http.Response, error) {
		req := f.request(0, "GET", path, "")
		req.Header.Set(testDialect.Deadline, "20000")
		return http.DefaultClient.Do(req)
	}
	for range senders { // the link of the other node is full of what nobody reads
		resp, err := get("/read/endless")
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
	}
	answered := make(chan error, 1)
	go func() {
		resp, err := get("/read/long")
		if err != nil {
			answered <- errors.Wrap(err, "no answer")
			return
		}
		_, err = io.ReadAll(resp.Body)
		answered <- errors.Wrap(err, "half an answer")
	}()
	time.Sleep(100 * time.Millisecond)
	f.stops[0]()
	assert.NilError(t, <-answered)
}
