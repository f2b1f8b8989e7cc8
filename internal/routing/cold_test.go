package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
)

// coldBeds are the routers of many nodes that send to one service.
func coldBeds(nodes, upstreams, cold int, rate float64) []*bed {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	beds := make([]*bed, nodes)
	for i := range beds {
		b := newBedWith(cfg, upstreams)
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

// Half of the upstreams of a service are cold at once and 88 nodes send to it, 1,000
// requests a second in all: together they send each cold one what it bears, whatever
// each of them knows, and the rest to the warm ones.
func TestColdUpstreamsGetTheirShareOfAllNodes(t *testing.T) {
	const nodes, rate, seconds = 88, 14.0, 3
	beds := coldBeds(nodes, 32, 16, rate)
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
		assert.Assert(t, got <= 1.25*rate, "%v a second to a cold upstream that bears %v", got, rate)
	}
}

// Where all upstreams are cold, what they bear is sent and the rest is refused before
// it is handed over, with the time at which one may take it.
func TestAllColdRefusesTheRest(t *testing.T) {
	const nodes, rate = 20, 14.0
	beds := coldBeds(nodes, 4, 4, rate)
	sent, refused := 0, 0
	for step := range 3000 {
		b := beds[step%nodes]
		b.now = epoch.Add(time.Duration(step) * time.Millisecond)
		c, ok := b.pick()
		if !ok {
			refused++
			assert.Assert(t, c.Wait > 0 && c.Wait <= 3*time.Second, "told to wait %v", c.Wait)
			continue
		}
		sent++
		b.router.Start(b.now, c.Instance)
		b.router.End(b.now, b.rnd, c.Instance.Name, Outcome{})
	}
	assert.Assert(t, sent <= 4*rate*3*1.25 && sent >= 4*rate*3*0.75, "%d sent, %d refused", sent, refused)
}

// The word of its node counts over what is published before: an upstream that says it
// is warm gets all, and one that says it is cold gets its share.
func TestNodesWordOnColdCounts(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	b := newBedWith(cfg, 1)
	m := b.members["u0"]
	m.ColdFrom, m.ColdUntil, m.ColdRate = epoch, epoch.Add(3*time.Second), 0.001
	b.members["u0"] = m
	_, ok := b.pick()
	assert.Assert(t, !ok, "published as cold")
	told := func(cold time.Duration) {
		b.router.Start(b.now, membership.Instance{Name: "u0"})
		b.router.End(b.now, b.rnd, "u0", Outcome{Load: &LoadReport{Slots: 4, Cold: cold}})
	}
	told(0)
	for range 5 {
		_, ok = b.pick()
		assert.Assert(t, ok, "told as warm")
	}
	told(2 * time.Second)
	_, ok = b.pick()
	assert.Assert(t, !ok, "told as cold")
	b.now = b.now.Add(2 * time.Second)
	_, ok = b.pick()
	assert.Assert(t, ok, "warm again")
}

func TestColdInstanceStartsSlowly(t *testing.T) {
	b := newBed(2)
	b.pick()
	m := b.members["u1"]
	m.Generation = uint64(b.now.UnixMilli())
	b.members["u1"] = m
	cold := b.share(5000)["u1"]
	b.now = b.now.Add(DefaultConfig().SlowStart)
	warm := b.share(5000)["u1"]
	assert.Assert(t, cold < 1200 && warm > 2300, "cold %d, warm %d", cold, warm)
}

// A cold upstream's share grows from when it was first heard of.
func TestColdUpstreamIsTold(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ColdFromMembers = true
	b := newBedWith(cfg, 2)
	m := b.members["u1"]
	m.Generation, m.ColdSince = uint64(b.now.UnixMilli()), b.now.Add(-cfg.SlowStart/2)
	b.members["u1"] = m
	all := b.router.Candidates(b.now, Request{Service: b.service}, b.lookup)
	assert.Assert(t, all[1].Weight > 0.5 && all[1].Weight < 0.7, "%v", all[1].Weight)
	m.Generation, m.ColdSince = m.Generation+1, time.Time{}
	b.members["u1"] = m
	assert.Equal(t, b.router.Candidates(b.now, Request{Service: b.service}, b.lookup)[1].Weight, 1.0)
}
