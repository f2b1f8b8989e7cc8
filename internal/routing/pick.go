package routing

import (
	"math/rand/v2"
	"time"
)

// applyPanicThreshold removes the soft exclusions if they cover at least PanicShare of
// the weight: the failure detection is then more likely wrong than all the upstreams.
func (r *Router) applyPanicThreshold(all []Candidate) {
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

// Pick chooses an upstream: it draws two by weight and returns the one with the lower
// cost, or returns the one with the least expected time if Config.ByExpectedTime is set.
// It returns false if no upstream may be used; Wait of the candidate is then the time
// until a cold upstream may get a request, 0 if none is cold.
func (r *Router) Pick(now time.Time, rnd *rand.Rand, req Request, members Members) (Candidate, bool) {
	req.uneven = r.uneven(now, req.Service.Name)
	r.scratch = r.sampleCandidates(r.scratch[:0], now, rnd, req, members)
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
		return Candidate{Wait: r.untilColdAllowance(now, all, members)}, false
	case 1:
		return usable[0], true
	}
	if r.cfg.ByExpectedTime {
		chosen := leastCost(rnd, usable)
		if req.uneven != nil { // moving is needed only where the upstreams' speeds change
			chosen.setSecond(usable)
		}
		return chosen, true
	}
	a := drawWeighted(rnd, usable, total, -1)
	b := drawWeighted(rnd, usable, total-usable[a].Weight, a)
	if usable[b].Cost < usable[a].Cost {
		a = b
	}
	return usable[a], true
}

// costNoise is the random relative increase of costs that spreads choices over upstreams
// of nearly equal cost, so that nodes with the same load reports don't all choose the
// same upstream.
const costNoise = 0.15

// trialShare is the share of the requests that go to an upstream without a recent load
// report while there is one: within a few requests, but not from all nodes at once.
const trialShare = 0.2

// leastCost returns the candidate with the lowest cost relative to its weight or, at
// random, one that is due for a trial.
func leastCost(rnd *rand.Rand, cs []Candidate) Candidate {
	best, at := 0.0, -1
	trial := rnd.Float64() < trialShare
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

// prefer returns the candidates for which good is true, moved to the front of cs, or all
// if there is none.
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

// drawWeighted draws the index of a candidate at random by weight, other than skip. total
// is the sum of the weights without that of skip.
func drawWeighted(rnd *rand.Rand, cs []Candidate, total float64, skip int) int {
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
