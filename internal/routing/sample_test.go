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

// fleetModel models many nodes that send to one large service. Each node sends few
// requests and knows only the load reports of its own responses; the upstreams differ in
// speed by a factor of three.
type fleetModel struct {
	rnd          *rand.Rand
	routers      []*Router
	service      *snapshot.Service
	members      map[string]membership.Member
	speeds       map[string]float64
	busyUntil    map[string][]time.Time // end times of running requests, by upstream
	runTimeSigma float64                // standard deviation of the logarithm of run times
	serviceTimes map[string]float64     // reported smoothed service times by upstream, in seconds
}

const modelSlots = 11

func newFleetModel(nodes, upstreams, centres int) *fleetModel {
	c := &fleetModel{rnd: rand.New(rand.NewPCG(uint64(upstreams), 5)), members: make(map[string]membership.Member), speeds: make(map[string]float64), busyUntil: make(map[string][]time.Time), serviceTimes: make(map[string]float64)}
	var all []*snapshot.Upstream
	for i := range upstreams {
		name, centre := fmt.Sprintf("u%d", i), fmt.Sprintf("dc%d", i%centres)
		all = append(all, &snapshot.Upstream{Upstream: table.Upstream{Name: name, Service: "s", Weight: 1, Concurrency: modelSlots}, DataCentre: centre})
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

func (c *fleetModel) lookup(name string) (membership.Member, bool) {
	m, ok := c.members[name]
	return m, ok
}

// sendRequests sends requests from random nodes, each running 0.31 s at an upstream of
// normal speed. It returns how many requests each upstream got and how many were late for
// an objective of one second.
func (c *fleetModel) sendRequests(requests int, perSecond float64) (got map[string]int, late int) {
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
		run := time.Duration(0.31 * math.Exp(c.runTimeSigma*c.rnd.NormFloat64()-c.runTimeSigma*c.runTimeSigma/2) / c.speeds[name] * float64(time.Second))
		wait, inUse := c.start(name, now, run)
		if wait+run > time.Second {
			late++
		}
		r.Start(now, target.Instance)
		if c.serviceTimes[name] == 0 {
			c.serviceTimes[name] = run.Seconds()
		}
		c.serviceTimes[name] += 0.1 * (run.Seconds() - c.serviceTimes[name])
		report := LoadReport{InUse: inUse, Slots: modelSlots, Service: time.Duration(c.serviceTimes[name] * float64(time.Second)), Wait: wait}
		r.End(now, c.rnd, name, Outcome{Load: &report, Kind: "k", Latency: wait + run})
	}
	return got, late
}

// start occupies a slot of an upstream and returns the wait for it and the slots in use.
func (c *fleetModel) start(name string, now time.Time, run time.Duration) (wait time.Duration, inUse int) {
	var running []time.Time
	for _, end := range c.busyUntil[name] {
		if end.After(now) {
			running = append(running, end)
		}
	}
	from := now
	if len(running) >= modelSlots {
		from = running[len(running)-modelSlots]
	}
	c.busyUntil[name] = append(running, from.Add(run))
	return from.Sub(now), min(len(running)+1, modelSlots)
}

// About a thousand nodes each send one or two requests a second to a service of hundreds
// of upstreams. If they compare all upstreams by outdated load reports, they choose the
// few that once were the fastest: the busiest upstream then got 35.7 times the mean, and
// 7% of the requests were late. No upstream may get more than a few times its share.
func TestManyNodesDoNotConcentrateOnFewUpstreams(t *testing.T) {
	for _, size := range []struct {
		nodes, upstreams int
		each             float64 // requests per second and upstream
	}{{985, 548, 2.4}, {2300, 1280, 2.4}, {985, 97, 4}, {195, 108, 2.4}} {
		c := newFleetModel(size.nodes, size.upstreams, 5)
		perSecond := size.each * float64(size.upstreams)
		got, late := c.sendRequests(30*size.upstreams, perSecond)
		most := 0.0
		for name, n := range got {
			most = max(most, float64(n)/c.speeds[name])
		}
		mean := 30.0
		t.Logf("%d upstreams: the busiest, relative to its speed, got %.0f requests; mean %.0f", size.upstreams, most, mean)
		assert.Assert(t, most < 3*mean, "%d upstreams: the busiest, relative to its speed, got %.0f requests; mean %.0f", size.upstreams, most, mean)
		assert.Assert(t, late < 30*size.upstreams/100, "%d upstreams: %d late", size.upstreams, late)
	}
}

// The number of upstreams evaluated for a choice is bounded, whatever the size of the
// service.
func TestPickEvaluatesABoundedSample(t *testing.T) {
	for _, n := range []int{500, 2300, 4600} {
		cfg := DefaultConfig()
		cfg.ByExpectedTime = true
		tb := newTestbedWith(cfg, n)
		evaluated := 0
		lookup := func(name string) (membership.Member, bool) {
			evaluated++
			return tb.lookup(name)
		}
		req := Request{Service: tb.service, Kind: "k", ObjectiveDeadline: tb.now.Add(time.Second)}
		for range 1000 {
			_, ok := tb.router.Pick(tb.now, tb.rnd, req, lookup)
			assert.Assert(t, ok)
		}
		assert.Assert(t, evaluated <= 1000*sampleSize*drawsPerSample, "%d evaluations of %d upstreams", evaluated, n)
	}
}

// If only one of many upstreams is usable, it is found.
func TestSingleUsableUpstreamIsFound(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	tb := newTestbedWith(cfg, 500)
	for i := range 500 {
		if i != 77 {
			tb.setStatus(fmt.Sprintf("u%d", i), membership.Leaving)
		}
	}
	for range 50 {
		c, ok := tb.pick()
		assert.Assert(t, ok)
		assert.Equal(t, c.Upstream.Name, "u77")
	}
	_, ok := tb.pick("u77")
	assert.Assert(t, !ok)
}

// Upstreams of the own data centre are preferred as long as one of them can respond in
// time.
func TestOwnDataCentreIsDrawnFirst(t *testing.T) {
	c := newFleetModel(1, 600, 3)
	for range 200 {
		target, ok := c.routers[0].Pick(epoch, c.rnd, Request{Service: c.service, Kind: "k", ObjectiveDeadline: epoch.Add(time.Second)}, c.lookup)
		assert.Assert(t, ok)
		assert.Equal(t, target.Instance.DataCentre, "dc0")
	}
}

// With widely varying run times a slow upstream is late for one request in six, and a
// node that sends a request a second draws a fast upstream only by chance: 5.7% of the
// requests were late. Adding the fastest known upstreams to the sample must keep this
// below 4.5%.
func TestFastUpstreamsAreChosenAgain(t *testing.T) {
	c := newFleetModel(985, 548, 5)
	c.runTimeSigma = 0.8
	for i := range 548 {
		c.speeds[fmt.Sprintf("u%d", i)] = []float64{0.5, 1, 1, 1.5}[i%4]
	}
	const each = 60
	_, late := c.sendRequests(each*548, 2.4*548)
	assert.Assert(t, float64(late) < 0.045*each*548, "%d of %d late", late, each*548)
}

// The fastest known upstreams are kept, sorted by their last reported service time.
func TestFastUpstreams(t *testing.T) {
	var f fastUpstreams
	for i, ms := range []int{50, 30, 90, 70, 20, 60} {
		f = f.update(fmt.Sprintf("u%d", i), time.Duration(ms)*time.Millisecond)
	}
	names := func() (out []string) {
		for _, one := range f {
			out = append(out, one.name)
		}
		return out
	}
	assert.DeepEqual(t, names(), []string{"u4", "u1", "u0", "u5"})
	f = f.update("u4", 55*time.Millisecond)
	assert.DeepEqual(t, names(), []string{"u1", "u0", "u4", "u5"})
	f = f.without("u0").update("u4", time.Second)
	assert.DeepEqual(t, names(), []string{"u1", "u5", "u4"})
}
