package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
)

// limitedFleet is many nodes that send to one service, some of whose upstreams advertise a
// limit, which the node beside each keeps exactly.
type limitedFleet struct {
	nodes []*testbed
	gates map[string]*admission.Queue
	limit map[string]admission.AdvertisedLimit

	served, refused map[string]int // by upstream
	unrouted        int            // requests that no upstream was chosen for
}

const limitedServiceTime = 20 * time.Millisecond

func newLimitedFleet(nodes, upstreams, limited int, perSecond float64) *limitedFleet {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	f := &limitedFleet{gates: make(map[string]*admission.Queue), limit: make(map[string]admission.AdvertisedLimit), served: make(map[string]int), refused: make(map[string]int)}
	for i := range nodes {
		b := newTestbedWith(cfg, upstreams)
		b.router.self.Name = fmt.Sprintf("node%d", i)
		f.nodes = append(f.nodes, b)
	}
	for i := range upstreams {
		name := fmt.Sprintf("u%d", i)
		f.gates[name] = admission.NewQueue(admission.Config{Slots: 100, QueueLimit: 100})
		if i < limited {
			f.limit[name] = admission.AdvertisedLimit{InForce: true, PerSecond: perSecond}
			f.gates[name].SetAdvertisedLimit(epoch, f.limit[name])
		}
	}
	return f
}

// send sends one request from a node.
func (f *limitedFleet) send(b *testbed, now time.Time) {
	b.now = now
	c, ok := b.pick()
	if !ok || c.MaxWait > 0 && c.Wait > c.MaxWait {
		f.unrouted++
		return
	}
	name := c.Upstream.Name
	b.router.Start(now, c.Instance)
	gate := f.gates[name]
	v, _ := gate.Offer(now, &admission.Ticket{Kind: "k", Weight: 1, Latest: now.Add(c.MaxWait)})
	refused := !v.Started && !v.Waiting
	switch {
	case refused:
		f.refused[name]++
	case v.Started:
		f.end(name, now)
	}
	limit := f.limit[name]
	b.router.End(now, b.rnd, name, Outcome{OverLimit: refused, Kind: "k", Load: &LoadReport{Slots: 100, Service: limitedServiceTime, Wait: gate.Wait(now, "k", 1), Limit: &limit}})
}

// end ends a request that was started, and starts those that wait.
func (f *limitedFleet) end(name string, now time.Time) {
	f.served[name]++
	start, _ := f.gates[name].Release(now, limitedServiceTime)
	for range start {
		f.end(name, now)
	}
}

// run sends requests from all nodes in turn, perSecond of them a second.
func (f *limitedFleet) run(d time.Duration, perSecond int) {
	step := time.Second / time.Duration(perSecond)
	for i := range int(d / step) {
		now := epoch.Add(time.Duration(i) * step)
		for name, gate := range f.gates {
			start, _ := gate.Fill(now)
			for range start {
				f.end(name, now)
			}
		}
		f.send(f.nodes[i%len(f.nodes)], now)
	}
}

func sum(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// One upstream advertises a limit of a hundredth of what it would get otherwise. Few
// requests make the detour over its node, and every request is served.
func TestLimitedUpstreamCostsFewDetours(t *testing.T) {
	for _, perSecond := range []float64{0, 0.4, 3.5} {
		f := newLimitedFleet(20, 4, 1, perSecond)
		f.run(10*time.Second, 1400)
		assert.Equal(t, f.unrouted, 0)
		assert.Assert(t, f.refused["u0"] <= sum(f.served)/50, "%d detours for %d requests at a limit of %v", f.refused["u0"], sum(f.served), perSecond)
	}
}

// If all upstreams advertise a limit, it is used up and the rest is refused by the nodes
// that got the requests, nearly all without a detour.
func TestLimitsOfAllUpstreamsAreUsedUp(t *testing.T) {
	f := newLimitedFleet(20, 4, 4, 10)
	f.run(10*time.Second, 1400)
	assert.Assert(t, sum(f.served) >= 0.9*4*10*10, "%d served", sum(f.served))
	assert.Assert(t, sum(f.refused) <= f.unrouted/10, "%d detours, %d refused without one", sum(f.refused), f.unrouted)
}

// A node that knows a limit tells it with its requests, until it learns that it has ended.
// A report that does not say anything about it changes nothing.
func TestKnownLimitIsKept(t *testing.T) {
	b := newTestbed(1)
	in := b.members["u0"].Instance
	report := func(limit *admission.AdvertisedLimit) admission.AdvertisedLimit {
		b.pick()
		b.router.Start(b.now, in)
		b.router.End(b.now, b.rnd, "u0", Outcome{Load: &LoadReport{Slots: 4, Limit: limit}})
		return b.router.AdvertisedLimit(in)
	}
	limit := admission.AdvertisedLimit{InForce: true, PerSecond: 3.5}
	assert.Equal(t, report(&limit), limit)
	assert.Equal(t, report(nil), limit)
	later := in
	later.Generation++
	assert.Equal(t, b.router.AdvertisedLimit(later), admission.AdvertisedLimit{})
	assert.Equal(t, report(&admission.AdvertisedLimit{}), admission.AdvertisedLimit{})
}
