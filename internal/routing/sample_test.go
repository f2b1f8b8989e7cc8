package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// crowd is a model of many nodes that send to one large service: few requests from each, to
// upstreams that differ in speed by three, in time by news that each has of its own answers.
type crowd struct {
	rnd       *rand.Rand
	routers   []*Router
	service   *snapshot.Service
	members   map[string]membership.Member
	speeds    map[string]float64
	busyUntil map[string][]time.Time // ends of what runs, by upstream
	uneven    float64                // standard deviation of the logarithm of run times
	told      map[string]float64     // service times, smoothed as upstreams' nodes do
}

const crowdSlots = 11

func newCrowd(nodes, upstreams, centres int) *crowd {
	c := &crowd{rnd: rand.New(rand.NewPCG(uint64(upstreams), 5)), members: make(map[string]membership.Member), speeds: make(map[string]float64), busyUntil: make(map[string][]time.Time), told: make(map[string]float64)}
	var all []*snapshot.Upstream
	for i := range upstreams {
		name, centre := fmt.Sprintf("u%d", i), fmt.Sprintf("dc%d", i%centres)
		all = append(all, &snapshot.Upstream{Upstream: table.Upstream{Name: name, Service: "s", Weight: 1, Concurrency: crowdSlots}, DataCentre: centre})
		c.members[name] = membership.Member{Instance: membership.Instance{Name: name, Service: "s", DataCentre: centre, Region: "r"}}
		c.speeds[name] = math.Pow(3, c.rnd.Float64()-0.5)
	}
	c.service = snapshot.NewService(table.Service{Name: "s"}, all...)
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	for i := range nodes {
		c.routers = append(c.routers, NewRouter(cfg, membership.Instance{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%centres), Region: "r"}))
	}
	return c
}

func (c *crowd) lookup(name string) (membership.Member, bool) {
	m, ok := c.members[name]
	return m, ok
}

// play sends requests at random nodes, each running 0.31 s at the usual speed, and returns
// how many each upstream got and how many were late for an objective of a second.
func (c *crowd) play(requests int, perSecond float64) (got map[string]int, late int) {
	got = make(map[string]int)
	now := epoch
	for range requests {
		now = now.Add(time.Duration(c.rnd.ExpFloat64() / perSecond * float64(time.Second)))
		r := c.routers[c.rnd.IntN(len(c.routers))]
		target, ok := r.Pick(now, c.rnd, Request{Service: c.service, Kind: "k", ObjectiveDeadline: now.Add(time.Second)}, c.lookup)
		if !ok {
			late++
			continue
		}
		name := target.Upstream.Name
		got[name]++
		run := time.Duration(0.31 * math.Exp(c.uneven*c.rnd.NormFloat64()-c.uneven*c.uneven/2) / c.speeds[name] * float64(time.Second))
		wait, inUse := c.start(name, now, run)
		if wait+run > time.Second {
			late++
		}
		r.Start(now, target.Instance)
		if c.told[name] == 0 {
			c.told[name] = run.Seconds()
		}
		c.told[name] += 0.1 * (run.Seconds() - c.told[name])
		told := LoadReport{InUse: inUse, Slots: crowdSlots, Service: time.Duration(c.told[name] * float64(time.Second)), Wait: wait}
		r.End(now, c.rnd, name, Outcome{Load: &told, Kind: "k", Latency: wait + run})
	}
	return got, late
}

// start takes a slot of an upstream and returns the wait for it.
func (c *crowd) start(name string, now time.Time, run time.Duration) (wait time.Duration, inUse int) {
	var running []time.Time
	for _, end := range c.busyUntil[name] {
		if end.After(now) {
			running = append(running, end)
		}
	}
	from := now
	if len(running) >= crowdSlots {
		from = running[len(running)-crowdSlots]
	}
	c.busyUntil[name] = append(running, from.Add(run))
	return from.Sub(now), min(len(running)+1, crowdSlots)
}

// Each of a thousand nodes sends a request or two a second to a service of hundreds. What
// they knew of the loads was old, and all chose the few that once were the quickest: the
// busiest upstream had 35.7 times the mean on a quiet day, and 7% were late. Now no upstream
// gets more than a few times its part.
func TestManyNodesDoNotGatherAtAFewUpstreams(t *testing.T) {
	for _, size := range []struct {
		nodes, upstreams int
		each             float64 // requests a second and upstream
	}{{985, 548, 2.4}, {2300, 1280, 2.4}, {985, 97, 4}, {195, 108, 2.4}} {
		c := newCrowd(size.nodes, size.upstreams, 5)
		perSecond := size.each * float64(size.upstreams)
		got, late := c.play(30*size.upstreams, perSecond)
		most := 0.0
		for name, n := range got {
			most = max(most, float64(n)/c.speeds[name])
		}
		mean := 30.0
		t.Logf("%d upstreams: the busiest, by speed, got %.0f for %.0f", size.upstreams, most, mean)
		assert.Assert(t, most < 3*mean, "%d upstreams: the busiest, by speed, got %.0f for %.0f", size.upstreams, most, mean)
		assert.Assert(t, late < 30*size.upstreams/100, "%d upstreams: %d late", size.upstreams, late)
	}
}

// A choice among many looks at a few, whatever their number, and leaves no garbage.
func TestChoiceAmongManyLooksAtAFew(t *testing.T) {
	for _, n := range []int{500, 2300, 4600} {
		cfg := DefaultConfig()
		cfg.ByExpectedTime = true
		bed := newBedWith(cfg, n)
		looked := 0
		lookup := func(name string) (membership.Member, bool) {
			looked++
			return bed.lookup(name)
		}
		req := Request{Service: bed.service, Kind: "k", ObjectiveDeadline: bed.now.Add(time.Second)}
		for range 1000 {
			_, ok := bed.router.Pick(bed.now, bed.rnd, req, lookup)
			assert.Assert(t, ok)
		}
		assert.Assert(t, looked <= 1000*compared*drawsEach, "%d looks at %d upstreams", looked, n)
	}
}

// Where only one of many may be used, it is found.
func TestTheOneUsableAmongManyIsFound(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	bed := newBedWith(cfg, 500)
	for i := range 500 {
		if i != 77 {
			bed.setStatus(fmt.Sprintf("u%d", i), membership.Leaving)
		}
	}
	for range 50 {
		c, ok := bed.pick()
		assert.Assert(t, ok)
		assert.Equal(t, c.Upstream.Name, "u77")
	}
	_, ok := bed.pick("u77")
	assert.Assert(t, !ok)
}

// Upstreams of the own data centre are preferred as long as one of them can be in time.
func TestOwnDataCentreIsDrawnFirst(t *testing.T) {
	c := newCrowd(1, 600, 3)
	for range 200 {
		target, ok := c.routers[0].Pick(epoch, c.rnd, Request{Service: c.service, Kind: "k", ObjectiveDeadline: epoch.Add(time.Second)}, c.lookup)
		assert.Assert(t, ok)
		assert.Equal(t, target.Instance.DataCentre, "dc0")
	}
}

// Run times of one kind differ much, so that a slow upstream has one in six late. A node
// that sends a request a second draws a quick one by chance only: 5.7% were late, and 5.5% on
// a quiet day of the fleet. It knows what it has met of their speeds, though not of their
// loads: with the quickest it knows among those compared, under 4.5% are.
func TestQuickUpstreamsThatWereMetAreChosenAgain(t *testing.T) {
	c := newCrowd(985, 548, 5)
	c.uneven = 0.8
	for i := range 548 {
		c.speeds[fmt.Sprintf("u%d", i)] = []float64{0.5, 1, 1, 1.5}[i%4]
	}
	const each = 60
	_, late := c.play(each*548, 2.4*548)
	assert.Assert(t, float64(late) < 0.045*each*548, "%d of %d late", late, each*548)
}

// The quickest known upstreams are kept, each with what it told last.
func TestFavourites(t *testing.T) {
	var f favourites
	for i, ms := range []int{50, 30, 90, 70, 20, 60} {
		f = f.note(fmt.Sprintf("u%d", i), time.Duration(ms)*time.Millisecond)
	}
	names := func() (out []string) {
		for _, one := range f {
			out = append(out, one.name)
		}
		return out
	}
	assert.DeepEqual(t, names(), []string{"u4", "u1", "u0", "u5"})
	f = f.note("u4", 55*time.Millisecond)
	assert.DeepEqual(t, names(), []string{"u1", "u0", "u4", "u5"})
	f = f.without("u0").note("u4", time.Second)
	assert.DeepEqual(t, names(), []string{"u1", "u5", "u4"})
}
