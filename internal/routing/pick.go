package routing

import (
	"math/rand/v2"
	"time"
)

// relent gives up the soft exclusions when they cover more than PanicShare of
// the weight: then the evidence is more likely wrong than all the upstreams.
func (r *Router) relent(all []Candidate) {
	eligible, soft := 0.0, 0.0
	for i := range all {
		c := &all[i]
		switch {
		case c.Excluded == Eligible:
			eligible += c.Weight
		case c.Excluded.soft():
			soft += c.Weight
		}
	}
	if soft == 0 || soft < r.cfg.PanicShare*(eligible+soft) {
		return
	}
	for i := range all {
		if all[i].Excluded.soft() {
			all[i].Excluded = Eligible
		}
	}
}

// Pick chooses an upstream: two are drawn by weight, the one with the lesser
// cost wins. It returns false if none may be used, with the time until a cold one may
// be, if there is one.
func (r *Router) Pick(now time.Time, rnd *rand.Rand, req Request, members Members) (Candidate, bool) {
	r.scratch = r.consider(r.scratch[:0], now, rnd, req, members)
	all := r.scratch
	total := 0.0
	usable := all[:0]
	for i := range all {
		if c := &all[i]; c.usable() {
			usable = append(usable, *c)
			total += c.Weight
		}
	}
	if r.cfg.ByExpectedTime && !req.ObjectiveDeadline.IsZero() {
		usable = prefer(usable, func(c *Candidate) bool { return c.Wait <= c.MaxWait })
		usable = prefer(usable, func(c *Candidate) bool { return !c.Late })
	}
	switch len(usable) {
	case 0:
		return Candidate{Wait: r.coldWait(now, all, members)}, false
	case 1:
		return usable[0], true
	}
	if r.cfg.ByExpectedTime {
		return least(rnd, usable), true
	}
	a := draw(rnd, usable, total, -1)
	b := draw(rnd, usable, total-usable[a].Weight, a)
	if usable[b].Cost < usable[a].Cost {
		a = b
	}
	return usable[a], true
}

// costNoise spreads choices among upstreams of nearly the same cost, so that
// nodes with the same news do not all choose the same one.
const costNoise = 0.15

// trialChance is the share of the requests that go to an upstream of which
// nothing recent is known, as long as there is one: within a few requests, but
// not from all nodes at once.
const trialChance = 0.2

// least returns the candidate with the least cost for its weight, or one to try
// out.
func least(rnd *rand.Rand, cs []Candidate) Candidate {
	best, at := 0.0, -1
	trial := rnd.Float64() < trialChance
	for i := range cs {
		c := &cs[i]
		if c.Trial && trial {
			return *c
		}
		cost := c.Cost / c.Weight * (1 + costNoise*rnd.Float64())
		if at < 0 || cost < best {
			best, at = cost, i
		}
	}
	return cs[at]
}

// prefer returns the candidates that are good, moved to the front of cs, or all if
// none is.
func prefer(cs []Candidate, good func(*Candidate) bool) []Candidate {
	some := 0
	for i := range cs {
		if !good(&cs[i]) {
			continue
		}
		if i != some {
			cs[some] = cs[i]
		}
		some++
	}
	if some == 0 {
		return cs
	}
	return cs[:some]
}

// draw returns an index by weight, leaving out skip.
func draw(rnd *rand.Rand, cs []Candidate, total float64, skip int) int {
	at := rnd.Float64() * total
	last := 0
	for i := range cs {
		if i == skip {
			continue
		}
		last = i
		if at < cs[i].Weight {
			return i
		}
		at -= cs[i].Weight
	}
	return last
}
