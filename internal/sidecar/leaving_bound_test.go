package sidecar

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
)

// A table had just changed and the load had risen when nodes left, so that requests
// took longer than those before them. The nodes took two by what such requests had
// taken lately, 3.2 and 3.3 s after the signal, and cut them 2.0 s later: one caller
// got a failure while its upstream was at work, the other one half an answer. What a
// node takes after its announcement is answered by its upstream, and what it refuses
// has not run.
func TestLeavingNodeKeepsItsWordAsRequestsGrowLonger(t *testing.T) {
	const before, after = 3 * time.Millisecond, 1500 * time.Millisecond
	f := startFleet(t, 2, before)
	for range 30 {
		f.send(f.request(0, http.MethodGet, "/read/x", ""))
	}
	f.store.change(func(u *discovery.Update) { // time for what keeps the node at work
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = 20*time.Second, 10*time.Second
		}
	})
	for f.sidecars[0].holder.ID().Edition < 2 || f.sidecars[1].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	gone := make(chan struct{})
	var changed atomic.Bool
	f.misbehave(func(u *upstream, w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-gone // calls through the node may come until this ends
			return
		}
		if changed.Load() {
			time.Sleep(after)
		}
	})
	var held sync.WaitGroup
	for range 4 {
		held.Go(func() {
			req := f.request(1, http.MethodPost, "/write/x", "b")
			req.Header.Set(testDialect.Deadline, "20000")
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	for f.sidecars[0].backend.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.stops[0]()
	for told := false; !told; { // each answer says that it is the last after the announcement
		resp, err := http.DefaultClient.Do(f.request(0, http.MethodGet, "/read/x", ""))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		told = resp.Close
	}
	changed.Store(true)
	seen, said := &unanswered{}, &verdicts{}
	var group sync.WaitGroup
	for i, wait := range []string{"2000", "2000", "20000"} {
		c := &caller{f: f, rnd: rand.New(rand.NewPCG(1, uint64(i))), seen: seen, wait: wait, answer: said.add}
		group.Go(c.run)
	}
	assert.NilError(t, <-f.done[0])
	group.Wait()
	close(gone)
	held.Wait()
	assert.Assert(t, len(said.answered) > 0 && len(said.refused) > 0, "%d answered, %d refused", len(said.answered), len(said.refused))
	assert.Equal(t, len(said.failed), 0, "%v", said.failed)
	for _, id := range append(said.refused, seen.ids...) {
		for _, u := range f.upstreams {
			assert.Equal(t, u.runs(id), 0, "%s ran", id)
		}
	}
	assert.Assert(t, said.slowest < after, "a refusal took %v", said.slowest)
}

// verdicts are the answers of a leaving node.
type verdicts struct {
	mu                sync.Mutex
	answered, refused []string
	failed            []string
	slowest           time.Duration // of the refusals
}

func (v *verdicts) add(id string, resp *http.Response, took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		v.answered = append(v.answered, id)
	case http.StatusServiceUnavailable:
		v.refused = append(v.refused, id)
		v.slowest = max(v.slowest, took)
	default:
		v.failed = append(v.failed, id+" "+resp.Status)
	}
}
