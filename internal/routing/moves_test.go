package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/snapshot"
)

const ms = time.Millisecond

// The worthwhile wait is what the second choice takes longer, plus the round trip. A
// candidate that was chosen by noise or as a trial is not left for the wait that was
// known when it was chosen.
func TestWorthwhileWait(t *testing.T) {
	for _, c := range []struct {
		name      string
		candidate Candidate
		want      admission.WaitBound
	}{
		{"no second choice", Candidate{WaitCost: 1, Cost: 0.1, RoundTrip: 3 * ms}, admission.WaitBound{}},
		{"second choice takes longer", Candidate{WaitCost: 1, Cost: 0.1, SecondCost: 0.13, RoundTrip: 3 * ms}, admission.WaitBound{Worthwhile: 33 * ms, RoundTrip: 3 * ms}},
		{"with a wait at the chosen one", Candidate{WaitCost: 1, Cost: 0.1, QueuedCost: 0.04, SecondCost: 0.1, RoundTrip: 3 * ms}, admission.WaitBound{Worthwhile: 43 * ms, RoundTrip: 3 * ms}},
		{"wait weighs twice", Candidate{WaitCost: 2, Cost: 0.1, QueuedCost: 0.04, SecondCost: 0.1, RoundTrip: 3 * ms}, admission.WaitBound{Worthwhile: 23 * ms, RoundTrip: 3 * ms}},
		{"no network time known", Candidate{WaitCost: 1, Cost: 0.1, SecondCost: 0.1}, admission.WaitBound{Worthwhile: minMoveTime, RoundTrip: minMoveTime}},
		{"second choice is useless", Candidate{WaitCost: 1, Cost: 0.1, SecondCost: 1e30}, admission.WaitBound{Worthwhile: maxWorthwhileWait + minMoveTime, RoundTrip: minMoveTime}},
	} {
		got := WorthwhileWait(c.candidate)
		assert.Equal(t, got.RoundTrip, c.want.RoundTrip, c.name)
		assert.Assert(t, (got.Worthwhile-c.want.Worthwhile).Abs() < time.Microsecond, "%s: %v", c.name, got.Worthwhile)
	}
}

// The second choice is the best of the others by the costs that decide the choice,
// whatever the order of the upstreams, with the uncertainty of a choice, and costs no less
// than the chosen one.
func TestSecondCost(t *testing.T) {
	a, b, c := &snapshot.Upstream{}, &snapshot.Upstream{}, &snapshot.Upstream{}
	for _, test := range []struct {
		name   string
		chosen Candidate
		all    []Candidate
		want   float64
		age    time.Duration
	}{
		{"alone", Candidate{Upstream: a, Cost: 1, Weight: 1}, []Candidate{{Upstream: a, Cost: 1, Weight: 1}}, 0, 0},
		{"best of two others", Candidate{Upstream: b, Cost: 1, Weight: 1}, []Candidate{{Upstream: a, Cost: 3, Weight: 1}, {Upstream: b, Cost: 1, Weight: 1}, {Upstream: c, Cost: 2, Weight: 1, Report: ReportUsed{Age: 3 * ms}}}, 2 * (1 + costNoise), 3 * ms},
		{"other of less weight", Candidate{Upstream: a, Cost: 1, Weight: 1}, []Candidate{{Upstream: a, Cost: 1, Weight: 1}, {Upstream: b, Cost: 2, Weight: 0.5}}, 4 * (1 + costNoise), 0},
		{"chosen as a trial", Candidate{Upstream: a, Cost: 3, Weight: 1}, []Candidate{{Upstream: b, Cost: 2, Weight: 1}, {Upstream: a, Cost: 3, Weight: 1}}, 3, 0},
	} {
		test.chosen.setSecond(test.all)
		assert.Equal(t, test.chosen.SecondCost, test.want, test.name)
		assert.Equal(t, test.chosen.SecondAge, test.age, test.name)
	}
}

// Choices have a second cost only while upstreams of the service report slowdowns.
func TestSecondCostOnlyWithSlowdowns(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	with, without := newTestbedWith(cfg, 5), newTestbedWith(cfg, 5)
	for _, b := range []*testbed{with, without} {
		for name, m := range b.members {
			m.Service = b.service.Name
			b.members[name] = m
		}
	}
	second := 0
	for i := range 2000 {
		report := LoadReport{InUse: i % 7, Slots: 4, Service: time.Duration(50+i%40) * ms, Wait: time.Duration(i%5) * ms}
		var chosen [2]Candidate
		for j, b := range []*testbed{with, without} {
			b.now = b.now.Add(10 * ms)
			chosen[j], _ = b.pick()
			b.router.Start(b.now, chosen[j].Instance)
			report.Slowdown = admission.Slowdown{}
			if j == 0 {
				report.Slowdown = admission.Slowdown{Percent: 100, At: b.now}
			}
			b.router.End(b.now, b.rnd, chosen[j].Instance.Name, Outcome{Load: &report, Kind: "k", NetworkTime: ms})
		}
		assert.Equal(t, chosen[1].SecondCost, 0.0)
		if chosen[0].SecondCost > 0 {
			second++
		}
	}
	assert.Assert(t, second > 1900, "%d of 2000", second)
	assert.Equal(t, testing.AllocsPerRun(100, func() { with.pick() }), 0.0)
	assert.Assert(t, with.router.uneven(with.now, "s") != nil)
	assert.Assert(t, with.router.uneven(with.now.Add(peerLoadLifetime+1), "s") == nil)
	with.router.Prune(with.now.Add(time.Hour), func(string) bool { return true })
	assert.Equal(t, len(with.router.unevenServices), 0)
}

// In a large service, the upstreams that returned a request are among those compared for
// its next choice.
func TestMovedFromIsCompared(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	for _, upstreams := range []int{40, 500} {
		b := newTestbedWith(cfg, upstreams)
		req := Request{Service: b.service, Kind: "k", MovedFrom: []string{"u7", "u39"}, ObjectiveDeadline: b.now.Add(time.Second), uneven: &unevenService{}}
		for range 50 {
			compared := 0
			for _, c := range b.router.sampleCandidates(nil, b.now, b.rnd, req, b.lookup) {
				if c.Upstream.Name == "u7" || c.Upstream.Name == "u39" {
					compared++
				}
			}
			assert.Equal(t, compared, 2, "%d upstreams", upstreams)
		}
	}
}
