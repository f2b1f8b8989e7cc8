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

// What a node admits after its announcement is answered by its upstream, and what it
// refuses has not run. Nodes were leaving just after the table had changed and the load
// had risen, so that requests took longer than earlier ones. By the run times of the
// earlier ones the nodes admitted two requests, 3.2 and 3.3 s after the signal, and cut
// them 2.0 s later: one caller got a failure while its upstream was still running the
// request, the other one a truncated response.
func TestShutdownAnswersWhatItAdmitsAsRequestsSlowDown(t *testing.T) {
	const before, after = 3 * time.Millisecond, 1500 * time.Millisecond
	f := startFleet(t, 2, before)
	for range 30 {
		f.send(f.request(0, http.MethodGet, "/read/x", ""))
	}
	f.store.change(func(u *discovery.Update) { // long timeouts for the requests that keep the node running
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = 20*time.Second, 10*time.Second
		}
	})
	for f.sidecars[0].holder.ID().Edition < 2 || f.sidecars[1].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	var changed atomic.Bool
	f.setHandlers(func(u *upstream, w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-stopped // until this returns, its upstream may call through the node
			return
		}
		if changed.Load() {
			time.Sleep(after)
		}
	})
	var blocked sync.WaitGroup
	for range 4 {
		blocked.Go(func() {
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
	for closing := false; !closing; { // after the announcement each response closes its connection
		resp, err := http.DefaultClient.Do(f.request(0, http.MethodGet, "/read/x", ""))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		closing = resp.Close
	}
	changed.Store(true)
	unanswered, responses := &unansweredRequests{}, &shutdownResponses{}
	var group sync.WaitGroup
	for i, deadline := range []string{"2000", "2000", "20000"} {
		c := &caller{f: f, rnd: rand.New(rand.NewPCG(1, uint64(i))), unanswered: unanswered, deadline: deadline, onResponse: responses.add}
		group.Go(c.run)
	}
	assert.NilError(t, <-f.done[0])
	group.Wait()
	close(stopped)
	blocked.Wait()
	assert.Assert(t, len(responses.answered) > 0 && len(responses.refused) > 0, "%d answered, %d refused", len(responses.answered), len(responses.refused))
	assert.Equal(t, len(responses.failed), 0, "%v", responses.failed)
	for _, id := range append(responses.refused, unanswered.ids...) {
		for _, u := range f.upstreams {
			assert.Equal(t, u.runs(id), 0, "%s ran", id)
		}
	}
	assert.Assert(t, responses.slowest < after, "a refusal took %v", responses.slowest)
}

// shutdownResponses records the responses of a node that shuts down.
type shutdownResponses struct {
	mu                sync.Mutex
	answered, refused []string
	failed            []string
	slowest           time.Duration // of the refusals
}

func (r *shutdownResponses) add(id string, resp *http.Response, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		r.answered = append(r.answered, id)
	case http.StatusServiceUnavailable:
		r.refused = append(r.refused, id)
		r.slowest = max(r.slowest, took)
	default:
		r.failed = append(r.failed, id+" "+resp.Status)
	}
}
