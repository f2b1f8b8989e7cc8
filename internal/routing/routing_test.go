package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

var epoch = time.Unix(1_700_000_000, 0)

// testbed is a router with the members and the service that it sees.
type testbed struct {
	router  *Router
	service *snapshot.Service
	members map[string]membership.Member
	rnd     *rand.Rand
	now     time.Time
}

func newTestbed(n int) *testbed { return newTestbedWith(DefaultConfig(), n) }

func newTestbedWith(cfg Config, n int) *testbed {
	b := &testbed{
		router:  NewRouter(cfg, membership.Instance{Name: "self", DataCentre: "dc0", Region: "r0"}),
		members: make(map[string]membership.Member),
		rnd:     rand.New(rand.NewPCG(1, 2)),
		now:     epoch,
	}
	var upstreams []*snapshot.Upstream
	for i := range n {
		name := fmt.Sprintf("u%d", i)
		upstreams = append(upstreams, &snapshot.Upstream{Upstream: table.Upstream{Name: name, Service: "s", Weight: 1, Concurrency: 4}, DataCentre: "dc0"})
		b.members[name] = membership.Member{Instance: membership.Instance{Name: name, DataCentre: "dc0", Region: "r0"}}
	}
	b.service = snapshot.NewService(table.Service{Name: "s"}, upstreams...)
	return b
}

func (b *testbed) lookup(name string) (membership.Member, bool) {
	m, ok := b.members[name]
	return m, ok
}

func (b *testbed) pick(tried ...string) (Candidate, bool) {
	return b.router.Pick(b.now, b.rnd, Request{Service: b.service, Tried: tried, Kind: "k", ObjectiveDeadline: b.now.Add(60 * time.Millisecond)}, b.lookup)
}

func (b *testbed) setStatus(name string, st membership.Status) {
	m := b.members[name]
	m.Status = st
	b.members[name] = m
}

// pickCounts makes n choices without starting requests and returns how often each
// upstream was chosen.
func (b *testbed) pickCounts(n int) map[string]int {
	got := make(map[string]int)
	for range n {
		c, ok := b.pick()
		if !ok {
			continue
		}
		got[c.Upstream.Name]++
	}
	return got
}

// TestRouterAgainstOracle drives a router with random operations. The oracle is a second
// implementation of the hard exclusions: an excluded upstream is never chosen, and as
// long as one upstream is usable a choice succeeds, whatever failures were observed.
func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.ByExpectedTime = rapid.Bool().Draw(t, "by time")
		cfg.DrainReportLifetime = rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second}).Draw(t, "drain memory")
		b := newTestbedWith(cfg, rapid.IntRange(1, 5).Draw(t, "upstreams"))
		name := rapid.Map(rapid.IntRange(0, len(b.service.Upstreams)-1), func(i int) string { return fmt.Sprintf("u%d", i) })
		draining := make(map[string]time.Time)
		flight := make(map[string]int)
		forbidden := func(n string) bool {
			m, ok := b.members[n]
			at, reported := draining[n]
			return !ok || m.Evacuated || m.Status == membership.Gone || m.Status == membership.Leaving ||
				(reported && b.now.Sub(at) < cfg.DrainReportLifetime) || weight(b, n) == 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				c, ok := b.pick()
				usable := false
				for _, u := range b.service.Upstreams {
					usable = usable || !forbidden(u.Name)
				}
				assert.Equal(t, ok, usable)
				if ok {
					assert.Assert(t, !forbidden(c.Upstream.Name), c.Upstream.Name)
					b.router.Start(b.now, c.Instance)
					flight[c.Upstream.Name]++
				}
			},
			"end": func(t *rapid.T) {
				n := name.Draw(t, "upstream")
				if flight[n] == 0 {
					t.Skip("none in flight")
				}
				flight[n]--
				report := &LoadReport{
					InUse:    rapid.IntRange(0, 9).Draw(t, "in use"),
					Slots:    4,
					Service:  time.Duration(rapid.IntRange(0, 500).Draw(t, "service")) * time.Millisecond,
					Wait:     time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond,
					Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
				}
				b.router.End(b.now, b.rnd, n, Outcome{Failed: rapid.Bool().Draw(t, "failed"), Load: report, Kind: "k"})
				delete(draining, n)
				if report.Draining {
					draining[n] = b.now
				}
			},
			"status": func(t *rapid.T) {
				b.setStatus(name.Draw(t, "upstream"), membership.Status(rapid.IntRange(0, 3).Draw(t, "status")))
			},
			"evacuate": func(t *rapid.T) {
				n := name.Draw(t, "upstream")
				if m, ok := b.members[n]; ok {
					m.Evacuated = rapid.Bool().Draw(t, "evacuated")
					b.members[n] = m
				}
			},
			"weight": func(t *rapid.T) {
				n := name.Draw(t, "upstream")
				for _, u := range b.service.Upstreams {
					if u.Name == n {
						u.Weight = rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight")
					}
				}
			},
			"time": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func weight(b *testbed, name string) float64 {
	for _, u := range b.service.Upstreams {
		if u.Name == name {
			return u.Weight
		}
	}
	return 0
}

func TestSharesFollowWeights(t *testing.T) {
	b := newTestbed(3)
	b.service.Upstreams[0].Weight = 2
	got := b.pickCounts(8000)
	// With equal costs the first one drawn wins, so that the shares follow the weights.
	assert.Assert(t, got["u0"] > 3700 && got["u0"] < 4300, "%v", got)
}

func TestFailingUpstreamIsEjectedAndReturns(t *testing.T) {
	b := newTestbed(4)
	for range 10 {
		b.pick()
		b.router.Start(b.now, b.members["u1"].Instance)
		b.router.End(b.now, b.rnd, "u1", Outcome{Failed: true})
	}
	assert.Equal(t, b.pickCounts(100)["u1"], 0)
	b.now = b.now.Add(DefaultConfig().EjectCap)
	assert.Assert(t, b.pickCounts(100)["u1"] > 0)
}

// An upstream that accepts requests and answers none is excluded before any of them
// fails.
func TestUnresponsiveUpstreamIsExcluded(t *testing.T) {
	b := newTestbed(4)
	b.pick()
	b.router.Start(b.now, b.members["u1"].Instance)
	b.router.End(b.now, b.rnd, "u1", Outcome{Latency: 10 * time.Millisecond})
	b.router.Start(b.now, b.members["u1"].Instance)
	assert.Equal(t, b.excluded("u1"), Eligible)
	b.now = b.now.Add(DefaultConfig().NoResponseTimeout + 1)
	assert.Equal(t, b.excluded("u1"), Unresponsive)
	assert.Equal(t, b.pickCounts(100)["u1"], 0)
	b.router.ResponseStarted(b.now, "u1")
	assert.Equal(t, b.excluded("u1"), Eligible)
}

// excluded returns the present exclusion of an upstream.
func (b *testbed) excluded(name string) Exclusion {
	for _, c := range b.router.Candidates(b.now, Request{Service: b.service}, b.lookup) {
		if c.Upstream.Name == name {
			return c.Excluded
		}
	}
	return NotListed
}

func TestPanicServesWhenAllLookBad(t *testing.T) {
	b := newTestbed(3)
	for _, n := range []string{"u0", "u1", "u2"} {
		b.pick()
		for range 10 {
			b.router.Start(b.now, b.members[n].Instance)
			b.router.End(b.now, b.rnd, n, Outcome{Failed: true})
		}
	}
	got := b.pickCounts(300)
	assert.Equal(t, len(got), 3, "%v", got)
}

// The whole load must not go to the one upstream that looks idle.
func TestIdleUpstreamIsNotOverrun(t *testing.T) {
	b := newTestbed(6)
	for i := range 6 {
		n := fmt.Sprintf("u%d", i)
		b.pick()
		b.router.Start(b.now, b.members[n].Instance)
		report := &LoadReport{InUse: 4, Slots: 4, Waiting: 4}
		if i == 0 {
			report = &LoadReport{Slots: 4}
		}
		b.router.End(b.now, b.rnd, n, Outcome{Load: report})
	}
	got := b.pickCounts(6000)["u0"]
	// Two of six are drawn: at most a third of the choices can go there.
	assert.Assert(t, got < 2300, "%d of 6000", got)
}

func TestOtherRegionsGetLittleWhileNearOnesServe(t *testing.T) {
	b := newTestbed(2)
	m := b.members["u1"]
	m.DataCentre, m.Region = "far", "far"
	b.members["u1"] = m
	far := b.pickCounts(5000)["u1"]
	assert.Assert(t, far < 250, "%d", far)
	b.setStatus("u0", membership.Gone)
	assert.Equal(t, b.pickCounts(100)["u1"], 100)
}

// An upstream that joins, or that was slow before, gets trial requests although the
// others look better.
func TestNewUpstreamGetsATrial(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	now := time.Unix(5000, 0)
	rnd := rand.New(rand.NewPCG(1, 2))
	r := NewRouter(cfg, membership.Instance{DataCentre: "a"})
	svc := &snapshot.Service{}
	for _, name := range []string{"old", "new"} {
		svc.Upstreams = append(svc.Upstreams, &snapshot.Upstream{Upstream: table.Upstream{Name: name, Weight: 1, Concurrency: 10}})
	}
	members := func(name string) (membership.Member, bool) {
		in := membership.Instance{Name: name, DataCentre: "a"}
		if name == "new" {
			in.Generation = uint64(now.UnixMilli())
		}
		return membership.Member{Instance: in}, true
	}
	pick := func(service time.Duration) string {
		c, ok := r.Pick(now, rnd, Request{Service: svc}, members)
		assert.Assert(t, ok)
		r.Start(now, c.Instance)
		if c.Instance.Name == "old" {
			service = 10 * time.Millisecond
		}
		r.End(now, rnd, c.Instance.Name, Outcome{Latency: service, Load: &LoadReport{Slots: 10, Service: service}})
		return c.Instance.Name
	}
	got := make(map[string]int)
	for range 50 {
		got[pick(500*time.Millisecond)]++
	}
	assert.Assert(t, got["new"] >= 1 && got["new"] <= 2, "%v", got)
	now = now.Add(trialInterval*500*time.Millisecond + time.Second)
	again := 0
	for range 10 {
		if pick(10*time.Millisecond) == "new" {
			again++
		}
	}
	assert.Assert(t, again >= 1)
}

// An upstream behind a saturated link gets fewer requests than one of equal load, and its
// share again once the link has drained.
func TestSaturatedLinkIsAvoided(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	b := newTestbedWith(cfg, 2)
	share := func(networkTime time.Duration) int {
		n := 0
		for range 200 {
			c, ok := b.pick()
			assert.Assert(t, ok)
			name := c.Instance.Name
			o := Outcome{Latency: 50 * time.Millisecond, NetworkTime: time.Millisecond, Load: &LoadReport{Slots: 4, Service: 50 * time.Millisecond}}
			if name == "u0" {
				n++
				o.NetworkTime = networkTime
			}
			b.router.Start(b.now, b.members[name].Instance)
			b.now = b.now.Add(5 * time.Millisecond)
			b.router.End(b.now, b.rnd, name, o)
		}
		return n
	}
	before := share(time.Millisecond)
	saturated := share(300 * time.Millisecond)
	b.now = b.now.Add(3 * time.Second)
	after := share(time.Millisecond)
	assert.Assert(t, before > 60 && after > 60, "%d and %d of 200 with an idle link", before, after)
	assert.Assert(t, saturated < 20, "%d of 200 over a saturated link", saturated)
}

// An upstream whose address answers for another instance gets no requests for
// wrongInstanceTTL, even if it is the only one.
func TestWrongInstanceIsExcluded(t *testing.T) {
	b := newTestbed(1)
	c, ok := b.pick()
	assert.Assert(t, ok)
	b.router.Start(b.now, c.Instance)
	b.router.End(b.now, b.rnd, c.Upstream.Name, Outcome{Failed: true, WrongInstance: true})
	_, ok = b.pick()
	assert.Assert(t, !ok)
	b.now = b.now.Add(wrongInstanceTTL)
	_, ok = b.pick()
	assert.Assert(t, ok)
}

// Nothing observed of an earlier process applies to a later one under the same name, and
// outcomes of requests to the earlier process change nothing either. The earlier process
// here is ejected, unresponsive, draining and fully loaded, answers for another instance
// and has a long network time.
func TestLaterProcessStartsWithNewState(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	b := newTestbedWith(cfg, 2)
	m := b.members["u1"]
	m.Generation = 100
	b.members["u1"] = m
	earlier := m.Instance
	b.pick()
	report := &LoadReport{InUse: 40, Slots: 4, Waiting: 36, Service: time.Second, Wait: 9 * time.Second, Runs: RunTimes{Typical: time.Second, Safe: 2 * time.Second}, Draining: true}
	for range 2 * cfg.EjectMin {
		b.router.Start(b.now, earlier)
		b.router.End(b.now, b.rnd, "u1", Outcome{Generation: 100, Failed: true, WrongInstance: true, Load: report, Kind: "k", NetworkTime: time.Second})
	}
	for range 3 {
		b.router.Start(b.now, earlier) // none of these is answered
	}
	b.now = b.now.Add(cfg.NoResponseTimeout + time.Millisecond)
	candidate := func() Candidate {
		return b.router.Candidates(b.now, Request{Service: b.service, Kind: "k", ObjectiveDeadline: b.now.Add(time.Minute)}, b.lookup)[1]
	}
	assert.Equal(t, candidate().Excluded, InstanceLeaving)
	m.Generation = 200
	b.members["u1"] = m
	fresh := b.router.Candidates(b.now, Request{Service: b.service, Kind: "k", ObjectiveDeadline: b.now.Add(time.Minute)}, b.lookup)[0]
	check := func() {
		c := candidate()
		assert.Equal(t, c.Excluded, Eligible)
		assert.Assert(t, c.Cost == fresh.Cost && c.Wait == 0 && c.Weight == 1, "%+v", c)
	}
	check()
	for range 3 {
		b.router.End(b.now, b.rnd, "u1", Outcome{Generation: 100, Failed: true, WrongInstance: true, Load: report, Kind: "k", NetworkTime: time.Second})
	}
	check()
	b.router.Start(b.now, earlier) // chosen before the restart was known
	check()
}
