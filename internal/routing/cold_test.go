package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
)

// newColdTestbeds returns the routers of many nodes that send to one service, some of
// whose upstreams are cold.
func newColdTestbeds(nodes, upstreams, cold int, rate float64) []*testbed {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	beds := make([]*testbed, nodes)
	for i := range beds {
		b := newTestbedWith(cfg, upstreams)
		b.router.self.Name = fmt.Sprintf("node%d", i)
		for n := range cold {
			name := fmt.Sprintf("u%d", n)
			m := b.members[name]
			m.ColdFrom, m.ColdUntil, m.ColdRate = epoch, epoch.Add(3*time.Second), rate/float64(nodes)
			b.members[name] = m
		}
		beds[i] = b
	}
	return beds
}

// Half of the upstreams of a service cold-start at once while 88 nodes send it 1,000
// requests a second in total. The nodes know nothing of each other's requests, but
// together they must not send a cold upstream more than its cold rate. The warm upstreams
// take the rest, so that a choice never fails.
func TestColdUpstreamsGetTheirShareOfAllNodes(t *testing.T) {
	const nodes, rate, seconds = 88, 14.0, 3
	beds := newColdTestbeds(nodes, 32, 16, rate)
	sent := make(map[string]int)
	for step := range 1000 * seconds {
		b := beds[step%nodes]
		b.now = epoch.Add(time.Duration(step) * time.Millisecond)
		c, ok := b.pick()
		assert.Assert(t, ok)
		b.router.Start(b.now, c.Instance)
		b.router.End(b.now, b.rnd, c.Instance.Name, Outcome{})
		sent[c.Instance.Name]++
	}
	for n := range 16 {
		got := float64(sent[fmt.Sprintf("u%d", n)]) / seconds
		assert.Assert(t, got <= 1.25*rate, "%v requests per second to a cold upstream with a limit of %v", got, rate)
	}
}

// If all upstreams are cold, only their cold rate is sent. The rest is refused at the
// sending node, with the time until an upstream may take a request.
func TestAllColdRefusesTheRest(t *testing.T) {
	const nodes, rate = 20, 14.0
	beds := newColdTestbeds(nodes, 4, 4, rate)
	sent, refused := 0, 0
	for step := range 3000 {
		b := beds[step%nodes]
		b.now = epoch.Add(time.Duration(step) * time.Millisecond)
		c, ok := b.pick()
		if !ok {
			refused++
			assert.Assert(t, c.Wait > 0 && c.Wait <= 3*time.Second, "wait of %v", c.Wait)
			continue
		}
		sent++
		b.router.Start(b.now, c.Instance)
		b.router.End(b.now, b.rnd, c.Instance.Name, Outcome{})
	}
	assert.Assert(t, sent <= 4*rate*3*1.25 && sent >= 4*rate*3*0.75, "%d sent, %d refused", sent, refused)
}

// A load report takes precedence over the published cold period: an upstream that reports
// that it is warm gets all requests, one that reports that it is cold gets its share.
func TestLoadReportOverridesPublishedCold(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	b := newTestbedWith(cfg, 1)
	m := b.members["u0"]
	m.ColdFrom, m.ColdUntil, m.ColdRate = epoch, epoch.Add(3*time.Second), 0.001
	b.members["u0"] = m
	_, ok := b.pick()
	assert.Assert(t, !ok, "published as cold")
	report := func(cold time.Duration) {
		b.router.Start(b.now, membership.Instance{Name: "u0"})
		b.router.End(b.now, b.rnd, "u0", Outcome{Load: &LoadReport{Slots: 4, Cold: cold}})
	}
	report(0)
	for range 5 {
		_, ok = b.pick()
		assert.Assert(t, ok, "reported as warm")
	}
	report(2 * time.Second)
	_, ok = b.pick()
	assert.Assert(t, !ok, "reported as cold")
	b.now = b.now.Add(2 * time.Second)
	_, ok = b.pick()
	assert.Assert(t, ok, "warm again")
}

func TestColdInstanceStartsSlowly(t *testing.T) {
	b := newTestbed(2)
	b.pick()
	m := b.members["u1"]
	m.Generation = uint64(b.now.UnixMilli())
	b.members["u1"] = m
	cold := b.pickCounts(5000)["u1"]
	b.now = b.now.Add(DefaultConfig().SlowStart)
	warm := b.pickCounts(5000)["u1"]
	assert.Assert(t, cold < 1200 && warm > 2300, "cold %d, warm %d", cold, warm)
}

// With ColdFromMembers the slow start of an upstream counts from ColdSince of the member,
// not from its start time. A later process without ColdSince is warm.
func TestSlowStartFollowsMembers(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ColdFromMembers = true
	b := newTestbedWith(cfg, 2)
	m := b.members["u1"]
	m.Generation, m.ColdSince = uint64(b.now.UnixMilli()), b.now.Add(-cfg.SlowStart/2)
	b.members["u1"] = m
	all := b.router.Candidates(b.now, Request{Service: b.service}, b.lookup)
	assert.Assert(t, all[1].Weight > 0.5 && all[1].Weight < 0.7, "%v", all[1].Weight)
	m.Generation, m.ColdSince = m.Generation+1, time.Time{}
	b.members["u1"] = m
	assert.Equal(t, b.router.Candidates(b.now, Request{Service: b.service}, b.lookup)[1].Weight, 1.0)
}
