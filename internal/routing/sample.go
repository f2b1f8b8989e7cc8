package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/snapshot"
)

const (
	// compareAll is the number of upstreams up to which a choice may compare all: looking
	// at each takes a few hundred nanoseconds.
	compareAll = 128
	// freshShare is the part of the upstreams that a node has to choose within the life of
	// a told load for all to be compared. With fewer, what it knows of nearly all is old.
	freshShare = 0.05
	// compared is the number of usable upstreams that a choice compares among more. With
	// old news, all nodes that compare all choose the few that once were the quickest; an
	// upstream that looks best to everybody gets this many times the mean at the most.
	compared = 3
	// drawsEach bounds the draws for each of them: where over three quarters may not be
	// used, further ones are looked for.
	drawsEach = 4
)

// consider appends the candidates of a choice to out, which is empty: all upstreams of a
// small service, of a large one a few at random that may be used.
//
// The load pattern: many nodes, each with a few requests a second to a service of hundreds,
// meet each upstream once in minutes. What they know of its load is old, so that they would
// gather at the same ones, and looking at all takes longer than the rest of the way.
func (r *Router) consider(out []Candidate, now time.Time, rnd *rand.Rand, req Request, members Members) []Candidate {
	often := r.often(now, req.Service.Name)
	if !r.cfg.ByExpectedTime || req.Pinned != "" || r.knowsMost(len(req.Service.Upstreams), often) {
		return r.appendCandidates(out, now, req, members)
	}
	out = r.drawCandidates(out, now, rnd, req, members, req.Service.In(r.self.DataCentre), compared*drawsEach)
	if rnd.Float64() < favouriteShare {
		out = r.addFavourites(out, now, req, members)
	}
	if !anyInTime(out) {
		out = r.drawCandidates(out, now, rnd, req, members, req.Service.Upstreams, compared*drawsEach)
	}
	if !anyUsable(out) {
		out = r.appendCandidates(out[:0], now, req, members)
	}
	return out
}

// knowsMost reports whether all of so many upstreams are compared by a node that chooses
// among them so often.
func (r *Router) knowsMost(upstreams int, perSecond float64) bool {
	switch {
	case upstreams <= compared*drawsEach:
		return true
	case upstreams > compareAll:
		return false
	}
	return perSecond*r.cfg.LoadReportLifetime.Seconds() >= freshShare*float64(upstreams)
}

// choices is how often a node chooses among the upstreams of a service.
type choices struct {
	perSecond float64 // smoothed
	at        time.Time
}

// choiceMemory is the time after which a choice counts for a third in their rate: some
// requests of a node that sends one a second.
const choiceMemory = 5 * time.Second

// often counts a choice among the upstreams of a service, and returns how many a second
// there are.
func (r *Router) often(now time.Time, service string) float64 {
	c, ok := r.choices[service]
	if !ok {
		c = &choices{at: now}
		r.choices[service] = c
	}
	fade := math.Exp(-max(now.Sub(c.at).Seconds(), 0) / choiceMemory.Seconds())
	c.perSecond, c.at = c.perSecond*fade+1/choiceMemory.Seconds(), now
	return c.perSecond
}

// drawCandidates appends upstreams drawn at random until enough of them may be used. Soft
// exclusions are given up among those drawn.
func (r *Router) drawCandidates(out []Candidate, now time.Time, rnd *rand.Rand, req Request, members Members, from []*snapshot.Upstream, draws int) []Candidate {
	usable := 0
	for range min(draws, len(from)) {
		u := from[rnd.IntN(len(from))]
		if drawn(out, u) {
			continue
		}
		out = append(out, Candidate{Upstream: u})
		c := &out[len(out)-1]
		r.judge(c, now, req, members)
		if c.usable() {
			usable++
		}
		if usable == compared {
			break
		}
	}
	r.relent(out)
	return out
}

// addFavourites appends the quickest known upstreams that were not drawn.
func (r *Router) addFavourites(out []Candidate, now time.Time, req Request, members Members) []Candidate {
	for _, f := range r.quickest[req.Service.Name] {
		u := req.Service.Upstream(f.name)
		if u == nil || drawn(out, u) {
			continue
		}
		out = append(out, Candidate{Upstream: u})
		r.judge(&out[len(out)-1], now, req, members)
	}
	return out
}

func drawn(cs []Candidate, u *snapshot.Upstream) bool {
	for i := range cs {
		if cs[i].Upstream == u {
			return true
		}
	}
	return false
}

// usable reports whether the candidate may be chosen.
func (c *Candidate) usable() bool { return c.Excluded == Eligible && c.Weight > 0 }

func anyUsable(cs []Candidate) bool {
	for i := range cs {
		if cs[i].usable() {
			return true
		}
	}
	return false
}

// anyInTime reports whether a request can be in time at one of the candidates, by what is
// known.
func anyInTime(cs []Candidate) bool {
	for i := range cs {
		c := &cs[i]
		if c.usable() && !c.Late && (c.MaxWait == 0 || c.Wait <= c.MaxWait) {
			return true
		}
	}
	return false
}
