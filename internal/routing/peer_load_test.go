package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
)

// newUnevenTestbed returns a router that has a load report with a slowdown of u0.
func newUnevenTestbed(n int) *testbed {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	b := newTestbedWith(cfg, n)
	for name, m := range b.members {
		m.Service, m.Generation = "s", 7
		b.members[name] = m
	}
	b.now = b.now.Add(time.Hour)
	b.report(0, LoadReport{InUse: 1, Slots: 4, Service: 100 * time.Millisecond, Slowdown: admission.Slowdown{Percent: 100, At: b.now}})
	return b
}

// report records a response of an upstream with a load report.
func (b *testbed) report(upstream int, l LoadReport) {
	in := b.members[fmt.Sprintf("u%d", upstream)].Instance
	b.router.stateOf(b.now, b.members[in.Name])
	b.router.Start(b.now, in)
	b.router.End(b.now, b.rnd, in.Name, Outcome{Load: &l, Kind: "k"})
}

func (b *testbed) peerLoad(upstream int, age time.Duration) PeerLoad {
	return PeerLoad{Upstream: fmt.Sprintf("u%d", upstream), Generation: 7, Age: age, InUse: 3, Slots: 4, Waiting: 2, Service: 80 * time.Millisecond, Slowdown: admission.Slowdown{Percent: 250, At: b.now.Add(-age)}}
}

// accept offers peer load reports to the router and returns how many it accepted.
func (b *testbed) accept(loads ...PeerLoad) int {
	return b.router.AcceptPeerLoads(b.now, "s", 0, loads, b.lookup)
}

// Reports that are old, about something unknown, or no news are ignored.
func TestWhichPeerLoadsAreAccepted(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*PeerLoad)
		transit  time.Duration
		accepted int
	}{
		{"recent", func(*PeerLoad) {}, 0, 1},
		{"as old as allowed", func(l *PeerLoad) { l.Age = peerLoadLifetime }, 0, 1},
		{"too old", func(l *PeerLoad) { l.Age = peerLoadLifetime + 1 }, 0, 0},
		{"too old after its way here", func(l *PeerLoad) { l.Age = peerLoadLifetime / 2 }, peerLoadLifetime, 0},
		{"of the future", func(l *PeerLoad) { l.Age = -1 }, 0, 0},
		{"of an unknown upstream", func(l *PeerLoad) { l.Upstream = "u9" }, 0, 0},
		{"of an earlier process", func(l *PeerLoad) { l.Generation-- }, 0, 0},
		{"of a later process", func(l *PeerLoad) { l.Generation++ }, 0, 0},
		{"older than what is known", func(l *PeerLoad) { l.Upstream, l.Age = "u0", 500*time.Millisecond }, 0, 0},
		{"newer than what is known", func(l *PeerLoad) { l.Upstream, l.Age = "u0", 50*time.Millisecond }, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newUnevenTestbed(3)
			b.now = b.now.Add(100 * time.Millisecond)
			l := b.peerLoad(1, 20*time.Millisecond)
			c.change(&l)
			assert.Equal(t, b.router.AcceptPeerLoads(b.now, "s", c.transit, []PeerLoad{l}, b.lookup), c.accepted)
			assert.Equal(t, b.router.AcceptPeerLoads(b.now, "other", 0, []PeerLoad{b.peerLoad(2, 0)}, b.lookup), 0, "u2 is of another service")
		})
	}
}

// A peer load report counts as an own one, and the own requests since then are added.
func TestPeerLoadIsUsed(t *testing.T) {
	b := newUnevenTestbed(3)
	b.now = b.now.Add(100 * time.Millisecond)
	b.router.stateOf(b.now, b.members["u1"])
	b.router.Start(b.now.Add(-50*time.Millisecond), b.members["u1"].Instance)
	b.router.Start(b.now.Add(-10*time.Millisecond), b.members["u1"].Instance)
	assert.Equal(t, b.accept(b.peerLoad(1, 20*time.Millisecond)), 1)
	s := b.router.upstreams["u1"]
	assert.Equal(t, s.inFlight-s.inFlightAtLoad, 1)
	assert.Equal(t, s.load.Waiting, 2)
	assert.Equal(t, s.slowdown.Percent, 250.0)
	assert.Assert(t, b.router.serviceTime(b.now, s, b.members["u1"].Instance) > 0.19)
	assert.Equal(t, s.outcomes, 0)
	later := b.now.Add(peerLoadLifetime)
	assert.Equal(t, b.router.serviceTime(later, s, b.members["u1"].Instance), 0.08, "the slowdown has faded")
	b.now = later
	b.pickCounts(100)
	assert.Assert(t, s.reportedAt.IsZero() && s.load.Slots == 0, "the report is forgotten")
}

// The slowdown of a report that came long before the end of its response is that of its
// arrival.
func TestSlowdownAtArrivalOfReport(t *testing.T) {
	at := epoch
	l := LoadReport{Service: 250 * time.Millisecond, Runs: RunTimes{Safe: 500 * time.Millisecond}, Slowdown: admission.Slowdown{Percent: 250, At: at}, ReadAt: at}
	usual := l.atUsualSpeed(at.Add(time.Second))
	assert.Equal(t, usual.Service, 100*time.Millisecond)
	assert.Equal(t, usual.Runs.Safe, 200*time.Millisecond)
}

// A report that came long before the end of its response keeps its true age: it is not
// passed on as new, does not hide a newer one, and lacks the requests started since.
func TestAgeOfReportThatPrecedesItsResponse(t *testing.T) {
	b := newUnevenTestbed(3)
	l := LoadReport{InUse: 1, Slots: 4, Slowdown: admission.Slowdown{Percent: 100, At: b.now}, ReadAt: b.now}
	b.now = b.now.Add(maxPassedOnAge + 1)
	b.router.stateOf(b.now, b.members["u1"])
	b.router.Start(b.now.Add(-time.Millisecond), b.members["u1"].Instance)
	b.report(1, l)
	s := b.router.upstreams["u1"]
	assert.Equal(t, len(b.router.PeerLoads(b.now, b.rnd, nil, "s", "")), 0)
	assert.Equal(t, s.inFlight-s.inFlightAtLoad, 1)
	assert.Equal(t, b.accept(b.peerLoad(1, 100*time.Millisecond)), 1)
	assert.Assert(t, s.reportUsed(b.now, b.router.uneven(b.now, "s")).Peer)
}

// Guards against a long response whose load report, when it ends, replaces those that have
// overtaken it.
func TestNewerReportOvertakesLongResponse(t *testing.T) {
	b := newUnevenTestbed(3)
	old := LoadReport{InUse: 1, Slots: 4, Draining: true, Slowdown: admission.Slowdown{Percent: 100, At: b.now}, ReadAt: b.now}
	b.now = b.now.Add(500 * time.Millisecond)
	assert.Equal(t, b.accept(b.peerLoad(1, 100*time.Millisecond)), 1)
	b.report(1, old)
	s := b.router.upstreams["u1"]
	assert.Equal(t, s.load.InUse, 3, "the peer load report is newer")
	assert.Assert(t, s.load.Draining, "a peer load report does not say that an upstream drains")
	b.report(2, LoadReport{InUse: 2, Slots: 4})
	b.report(2, old)
	assert.Equal(t, b.router.upstreams["u2"].load.InUse, 2, "the own report is newer")
	assert.Assert(t, !b.router.upstreams["u2"].load.Draining)
}

// The slowdown in a peer load report has aged on its way as the report has: it must not
// take effect for longer than its lifetime after a node that is frozen has sent it.
func TestSlowdownOfPeerLoadAgesInTransit(t *testing.T) {
	b := newUnevenTestbed(3)
	b.now = b.now.Add(time.Second)
	sent := b.now.Add(-800 * time.Millisecond)
	assert.Equal(t, b.router.AcceptPeerLoads(b.now, "s", 800*time.Millisecond, []PeerLoad{b.peerLoad(1, 0)}, b.lookup), 1)
	assert.Assert(t, b.router.upstreams["u1"].slowdown.At.Equal(sent))
}

// A peer load report does not bring back an upstream that the node's own requests have
// shown to fail or to drain.
func TestPeerLoadEndsNoExclusion(t *testing.T) {
	b := newUnevenTestbed(3)
	b.report(1, LoadReport{Slots: 4, Draining: true})
	s := b.router.stateOf(b.now, b.members["u2"])
	s.ejectedUntil = b.now.Add(time.Minute)
	b.now = b.now.Add(100 * time.Millisecond)
	assert.Equal(t, b.accept(b.peerLoad(1, 0), b.peerLoad(2, 0)), 2)
	for range 20 {
		c, ok := b.pick()
		assert.Assert(t, ok)
		assert.Equal(t, c.Upstream.Name, "u0")
	}
}

// A response carries a few recent loads of other upstreams and passes on none that is old.
func TestPeerLoadsOfResponse(t *testing.T) {
	b := newUnevenTestbed(50)
	for i := 1; i < 50; i++ {
		b.now = b.now.Add(20 * time.Millisecond)
		b.report(i, LoadReport{InUse: i % 4, Slots: 4, Slowdown: admission.Slowdown{Percent: 100, At: b.now}})
	}
	seen := make(map[string]bool)
	for range 200 {
		loads := b.router.PeerLoads(b.now, b.rnd, nil, "s", "u49")
		assert.Equal(t, len(loads), MaxPeerLoads)
		for _, l := range loads {
			assert.Assert(t, l.Upstream != "u49" && l.Age <= maxPassedOnAge, "%+v", l)
			seen[l.Upstream] = true
		}
	}
	assert.Assert(t, len(seen) > 2*MaxPeerLoads, "only %d upstreams are ever passed on", len(seen))
	b.now = b.now.Add(maxPassedOnAge + 1)
	assert.Equal(t, len(b.router.PeerLoads(b.now, b.rnd, nil, "s", "")), 0)
}

// Where no upstream reports a slowdown, nothing is passed on or accepted, and all choices
// are the same as without peer load reports.
func TestNoPeerLoadsWithoutSlowdowns(t *testing.T) {
	plain, offered := newUnevenTestbed(5), newUnevenTestbed(5)
	for _, b := range []*testbed{plain, offered} {
		b.now = b.now.Add(time.Hour) // forgets the slowdown
	}
	for i := range 500 {
		for _, b := range []*testbed{plain, offered} {
			b.now = b.now.Add(7 * time.Millisecond)
			b.report(i%5, LoadReport{InUse: i % 4, Slots: 4, Service: time.Duration(50+i%70) * time.Millisecond})
			assert.Equal(t, len(b.router.PeerLoads(b.now, b.rnd, nil, "s", "")), 0)
		}
		l := offered.peerLoad((i+1)%5, 0)
		l.Slowdown = admission.Slowdown{}
		assert.Equal(t, offered.accept(l), 0)
		want, _ := plain.pick()
		got, _ := offered.pick()
		assert.Equal(t, got.Upstream.Name, want.Upstream.Name)
		assert.Equal(t, got.Cost, want.Cost)
		s := plain.router.upstreams[got.Upstream.Name]
		assert.Equal(t, plain.router.expectedRequests(plain.now, s, nil, 4), s.estimatedRequests(plain.router.cfg, plain.now))
	}
}

// BenchmarkPickUneven is BenchmarkPick for a service whose upstreams report slowdowns.
func BenchmarkPickUneven(b *testing.B) {
	for _, n := range []int{4, 22, 128} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			tb := newUnevenTestbed(n)
			for i := range n {
				tb.report(i, LoadReport{InUse: 2, Slots: 4, Service: 10 * time.Millisecond, Slowdown: admission.Slowdown{Percent: 120, At: tb.now}})
			}
			benchmarkPick(b, tb)
		})
	}
}

// A choice among upstreams that report slowdowns must not allocate, nor must taking in the
// peer load reports of a response.
func TestPickUnevenDoesNotAllocate(t *testing.T) {
	b := newUnevenTestbed(22)
	for i := range 22 {
		b.report(i, LoadReport{InUse: 2, Slots: 4, Service: 10 * time.Millisecond, Slowdown: admission.Slowdown{Percent: 120, At: b.now}})
	}
	loads := []PeerLoad{b.peerLoad(1, 0), b.peerLoad(2, 0)}
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		b.pick()
		b.accept(loads...)
	}), 0.0)
}

// More upstreams are compared while the service has free slots, within bounds.
func TestSampleOfUnevenService(t *testing.T) {
	for inUse, want := range map[float64]int{0: 2 * sampleSize, 0.35: 2 * sampleSize, 0.6: 5, 0.8: sampleSize, 1: sampleSize, 1.5: sampleSize} {
		assert.Equal(t, (&unevenService{inUse: inUse}).sample(), want, "%v in use", inUse)
	}
}
