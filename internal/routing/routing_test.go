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

// bed is a router with the members and service that it sees.
type bed struct {
	router  *Router
	service *snapshot.Service
	members map[string]membership.Member
	rnd     *rand.Rand
	now     time.Time
}

func newBed(n int) *bed { return newBedWith(DefaultConfig(), n) }

func newBedWith(cfg Config, n int) *bed {
	b := &bed{
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

func (b *bed) lookup(name string) (membership.Member, bool) {
	m, ok := b.members[name]
	return m, ok
}

func (b *bed) pick(tried ...string) (Candidate, bool) {
	return b.router.Pick(b.now, b.rnd, Request{Service: b.service, Tried: tried, Kind: "k", ObjectiveDeadline: b.now.Add(60 * time.Millisecond)}, b.lookup)
}

func (b *bed) setStatus(name string, st membership.Status) {
	m := b.members[name]
	m.Status = st
	b.members[name] = m
}

// share counts picks of each upstream over n requests that end at once.
func (b *bed) share(n int) map[string]int {
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

// TestRouterAgainstOracle drives a router at random. Oracle: the
// hard exclusions, written out once more; and as long as one upstream may be
// used, one is found, however bad the evidence.
func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.ByExpectedTime = rapid.Bool().Draw(t, "by time")
		cfg.DrainReportLifetime = rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second}).Draw(t, "drain memory")
		b := newBedWith(cfg, rapid.IntRange(1, 5).Draw(t, "upstreams"))
		name := rapid.Map(rapid.IntRange(0, len(b.service.Upstreams)-1), func(i int) string { return fmt.Sprintf("u%d", i) })
		draining := make(map[string]time.Time)
		flight := make(map[string]int)
		forbidden := func(n string) bool {
			m, ok := b.members[n]
			at, told := draining[n]
			return !ok || m.Evacuated || m.Status == membership.Gone || m.Status == membership.Leaving ||
				(told && b.now.Sub(at) < cfg.DrainReportLifetime) || weight(b, n) == 0
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
				told := &LoadReport{
					InUse:    rapid.IntRange(0, 9).Draw(t, "in use"),
					Slots:    4,
					Service:  time.Duration(rapid.IntRange(0, 500).Draw(t, "service")) * time.Millisecond,
					Wait:     time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond,
					Draining: rapid.IntRange(0, 9).Draw(t, "drains") == 0,
				}
				b.router.End(b.now, b.rnd, n, Outcome{Failed: rapid.Bool().Draw(t, "failed"), Load: told, Kind: "k"})
				delete(draining, n)
				if told.Draining {
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

func weight(b *bed, name string) float64 {
	for _, u := range b.service.Upstreams {
		if u.Name == name {
			return u.Weight
		}
	}
	return 0
}

func TestSharesFollowWeights(t *testing.T) {
	b := newBed(3)
	b.service.Upstreams[0].Weight = 2
	got := b.share(8000)
	// Equal costs: the first drawn wins, so shares follow the weights.
	assert.Assert(t, got["u0"] > 3700 && got["u0"] < 4300, "%v", got)
}

func TestFailingUpstreamIsLeftOutAndComesBack(t *testing.T) {
	b := newBed(4)
	for range 10 {
		b.pick()
		b.router.Start(b.now, b.members["u1"].Instance)
		b.router.End(b.now, b.rnd, "u1", Outcome{Failed: true})
	}
	assert.Equal(t, b.share(100)["u1"], 0)
	b.now = b.now.Add(DefaultConfig().EjectCap)
	assert.Assert(t, b.share(100)["u1"] > 0)
}

// One that takes requests and answers none is left before any of them fails.
func TestSilentUpstreamIsLeftOut(t *testing.T) {
	b := newBed(4)
	b.pick()
	b.router.Start(b.now, b.members["u1"].Instance)
	b.router.End(b.now, b.rnd, "u1", Outcome{Latency: 10 * time.Millisecond})
	b.router.Start(b.now, b.members["u1"].Instance)
	assert.Equal(t, b.excluded("u1"), Eligible)
	b.now = b.now.Add(DefaultConfig().NoResponseTimeout + 1)
	assert.Equal(t, b.excluded("u1"), Unresponsive)
	assert.Equal(t, b.share(100)["u1"], 0)
	b.router.ResponseStarted(b.now, "u1")
	assert.Equal(t, b.excluded("u1"), Eligible)
}

// excluded returns why an upstream is left out now.
func (b *bed) excluded(name string) Exclusion {
	for _, c := range b.router.Candidates(b.now, Request{Service: b.service}, b.lookup) {
		if c.Upstream.Name == name {
			return c.Excluded
		}
	}
	return NotListed
}

func TestPanicServesWhenAllLookBad(t *testing.T) {
	b := newBed(3)
	for _, n := range []string{"u0", "u1", "u2"} {
		b.pick()
		for range 10 {
			b.router.Start(b.now, b.members[n].Instance)
			b.router.End(b.now, b.rnd, n, Outcome{Failed: true})
		}
	}
	got := b.share(300)
	assert.Equal(t, len(got), 3, "%v", got)
}

// One that looks idle does not draw the whole load.
func TestNoHerdToTheIdleOne(t *testing.T) {
	b := newBed(6)
	for i := range 6 {
		n := fmt.Sprintf("u%d", i)
		b.pick()
		b.router.Start(b.now, b.members[n].Instance)
		told := &LoadReport{InUse: 4, Slots: 4, Waiting: 4}
		if i == 0 {
			told = &LoadReport{Slots: 4}
		}
		b.router.End(b.now, b.rnd, n, Outcome{Load: told})
	}
	got := b.share(6000)["u0"]
	// Two of six are drawn: at most a third of the picks can go there.
	assert.Assert(t, got < 2300, "%d of 6000", got)
}

func TestOtherRegionsGetLittleWhileNearOnesServe(t *testing.T) {
	b := newBed(2)
	m := b.members["u1"]
	m.DataCentre, m.Region = "far", "far"
	b.members["u1"] = m
	far := b.share(5000)["u1"]
	assert.Assert(t, far < 250, "%d", far)
	b.setStatus("u0", membership.Gone)
	assert.Equal(t, b.share(100)["u1"], 100)
}

// An upstream that joins, or was slow once, gets a trial request although the
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

// An upstream behind a link that is full gets fewer requests than one of equal
// load, and its share again once the link has drained.
func TestFullLinkIsLeft(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	b := newBedWith(cfg, 2)
	share := func(way time.Duration) int {
		n := 0
		for range 200 {
			c, ok := b.pick()
			assert.Assert(t, ok)
			name := c.Instance.Name
			o := Outcome{Latency: 50 * time.Millisecond, NetworkTime: time.Millisecond, Load: &LoadReport{Slots: 4, Service: 50 * time.Millisecond}}
			if name == "u0" {
				n++
				o.NetworkTime = way
			}
			b.router.Start(b.now, b.members[name].Instance)
			b.now = b.now.Add(5 * time.Millisecond)
			b.router.End(b.now, b.rnd, name, o)
		}
		return n
	}
	before := share(time.Millisecond)
	full := share(300 * time.Millisecond)
	b.now = b.now.Add(3 * time.Second)
	after := share(time.Millisecond)
	assert.Assert(t, before > 60 && after > 60, "%d and %d of 200 with a free link", before, after)
	assert.Assert(t, full < 20, "%d of 200 over a full link", full)
}

// An upstream whose address answers for another instance gets nothing more, also
// where it is the only one, until that answer is old.
func TestDeniedUpstreamIsLeftOut(t *testing.T) {
	b := newBed(1)
	c, ok := b.pick()
	assert.Assert(t, ok)
	b.router.Start(b.now, c.Instance)
	b.router.End(b.now, b.rnd, c.Upstream.Name, Outcome{Failed: true, WrongInstance: true})
	_, ok = b.pick()
	assert.Assert(t, !ok)
	b.now = b.now.Add(deniedMemory)
	_, ok = b.pick()
	assert.Assert(t, ok)
}

// What was met of an upstream's earlier life says nothing of the later one, and
// ends of requests that were sent to the earlier one change nothing either: it
// was ejected, silent, denied, draining, full and far, and its successor is not.
func TestLaterLifeStartsAnew(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	b := newBedWith(cfg, 2)
	m := b.members["u1"]
	m.Generation = 100
	b.members["u1"] = m
	earlier := m.Instance
	b.pick()
	busy := &LoadReport{InUse: 40, Slots: 4, Waiting: 36, Service: time.Second, Wait: 9 * time.Second, Runs: RunTimes{Typical: time.Second, Safe: 2 * time.Second}, Draining: true}
	for range 2 * cfg.EjectMin {
		b.router.Start(b.now, earlier)
		b.router.End(b.now, b.rnd, "u1", Outcome{Generation: 100, Failed: true, WrongInstance: true, Load: busy, Kind: "k", NetworkTime: time.Second})
	}
	for range 3 {
		b.router.Start(b.now, earlier) // and none of these is answered
	}
	b.now = b.now.Add(cfg.NoResponseTimeout + time.Millisecond)
	verdict := func() Candidate {
		return b.router.Candidates(b.now, Request{Service: b.service, Kind: "k", ObjectiveDeadline: b.now.Add(time.Minute)}, b.lookup)[1]
	}
	assert.Equal(t, verdict().Excluded, InstanceLeaving)
	m.Generation = 200
	b.members["u1"] = m
	fresh := b.router.Candidates(b.now, Request{Service: b.service, Kind: "k", ObjectiveDeadline: b.now.Add(time.Minute)}, b.lookup)[0]
	check := func() {
		c := verdict()
		assert.Equal(t, c.Excluded, Eligible)
		assert.Assert(t, c.Cost == fresh.Cost && c.Wait == 0 && c.Weight == 1, "%+v", c)
	}
	check()
	for range 3 {
		b.router.End(b.now, b.rnd, "u1", Outcome{Generation: 100, Failed: true, WrongInstance: true, Load: busy, Kind: "k", NetworkTime: time.Second})
	}
	check()
	b.router.Start(b.now, earlier) // chosen before the restart was known
	check()
}
