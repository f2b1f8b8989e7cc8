package sidecar

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
)

// holding counts the running sidecars that have an edition in force.
func (f *fleet) holding(edition uint64) int {
	n := 0
	for _, s := range f.sidecars {
		if s.holder.ID().Edition >= edition {
			n++
		}
	}
	return n
}

func (f *fleet) publish(edition uint64) {
	f.store.change(func(u *discovery.Update) { u.Document = document(edition) })
}

// One sidecar reads the store, the others get table and upstreams from it over
// their connections; when it is gone, another one reads.
func TestNewsBetweenSidecars(t *testing.T) {
	f := startFleet(t, 5, 0)
	for f.store.watches() != 1 {
		time.Sleep(time.Millisecond) // until roles are settled
	}
	f.publish(2)
	for f.holding(2) < len(f.sidecars) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, f.store.watches() <= 1)
	reader := -1
	for i, s := range f.sidecars {
		if s.follower.Status(time.Now()).Reader {
			assert.Equal(t, reader, -1, "one reader")
			reader = i
		}
	}
	assert.Assert(t, reader >= 0)
	f.stops[reader]()
	assert.NilError(t, <-f.done[reader])
	f.publish(3)
	for f.holding(3) < len(f.sidecars)-1 {
		time.Sleep(time.Millisecond)
	}
	for i := range f.sidecars {
		if i != reader {
			status, _, body := f.send(f.request(i, "GET", "/read/x", ""))
			assert.Equal(t, status, http.StatusOK, body)
		}
	}
}
