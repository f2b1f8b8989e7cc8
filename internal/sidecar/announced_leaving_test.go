package sidecar

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
)

// headerLeaving is the header in which the upstreams of these tests announce that they
// leave.
const headerLeaving = "Test-Leaving"

// leavingBound is how long a node may send to an upstream after it forwarded a response
// which says that the upstream leaves.
const leavingBound = 2 * time.Second

// checkLeaving checks that no node sent a request long after it had forwarded a response
// that says that the upstream leaves.
func (a *advertiser) checkLeaving(t *testing.T) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Assert(t, !a.firstAt.IsZero(), "no node was told that the upstream leaves")
	late := 0
	for _, one := range a.arrivals {
		if told := a.toldAt[one.node]; !told.IsZero() && one.sentAt.After(told.Add(leavingBound)) {
			late++
		}
	}
	assert.Assert(t, late == 0, "%d of %d requests reached %s from nodes that had forwarded its leaving over %v before", late, len(a.arrivals), a.u.id, leavingBound)
}

// Requests reached an upstream seconds after its responses had said that it leaves.
func TestRequestsAfterAnAnnouncedLeaving(t *testing.T) {
	for _, c := range []struct {
		name   string
		nodes  []int                         // that callers send to
		during func(f *fleet, a *advertiser) // what happens after it was announced
	}{
		{"its entry does not change", []int{0, 1, 2}, func(*fleet, *advertiser) {}},
		{"its sidecar restarts", []int{1, 2}, func(_ *fleet, a *advertiser) { a.restart(0) }},
		{"another sidecar restarts", []int{0, 1, 2}, func(_ *fleet, a *advertiser) { a.restart(1) }},
		{"its entry vanishes and comes again", []int{0, 1, 2}, func(f *fleet, _ *advertiser) {
			var own discovery.Upstream
			f.store.change(func(u *discovery.Update) {
				own = u.Upstreams[0]
				u.Upstreams = u.Upstreams[1:]
				u.Removed = []discovery.Removal{{ID: own.ID, Revision: u.Revision}}
			})
			time.Sleep(2500 * time.Millisecond) // longer than the state of unlisted upstreams is swept
			f.store.change(func(u *discovery.Update) {
				own.Revision = u.Revision
				u.Removed, u.Upstreams = nil, append(u.Upstreams, own)
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, 2*time.Millisecond)
			a := f.watchAdvertised(0, headerLeaving)
			a.u.advertise(headerLeaving, "1")
			var change sync.WaitGroup
			change.Go(func() {
				time.Sleep(leavingBound + 100*time.Millisecond)
				c.during(f, a)
			})
			got := f.sendThrough(7*time.Second, c.nodes, a)
			change.Wait()
			a.checkLeaving(t)
			assert.Equal(t, len(got.refusedByUpstreams()), 0, "refused, though two upstreams stay: %v", got.reasons)
		})
	}
}
