package routing

import (
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/decay"
	"github.com/walldrift/walldrift/internal/snapshot"
)

const (
	// maxCompareAll is the largest number of upstreams of which a choice may compare all:
	// evaluating one takes a few hundred nanoseconds.
	maxCompareAll = 128
	// minFreshShare is the share of the upstreams that a node must choose within the
	// lifetime of a load report for all upstreams to be compared. With fewer choices most
	// of its load reports are out of date.
	minFreshShare = 0.05
	// sampleSize is the number of usable upstreams that are compared if there are too
	// many to compare all. If all nodes compared all upstreams by outdated load reports,
	// they would choose the same few that once were the fastest. With a sample, an
	// upstream that looks best to every node gets at most this many times the mean load.
	sampleSize = 3
	// drawsPerSample limits the draws for each upstream of the sample. If more than three
	// quarters of the upstreams are excluded, the sample may stay short and further
	// upstreams are evaluated.
	drawsPerSample = 4
)

// sampleCandidates appends the candidates of a choice to out, which must be empty: all
// upstreams of a small service, or a few usable ones of a large service, drawn at random.
//
// In a large fleet each node sends a few requests a second to a service with hundreds of
// upstreams, and so uses each upstream once in minutes. Its load reports are out of date,
// so that nodes would concentrate on the same upstreams, and evaluating all of them takes
// longer than the rest of the request handling.
func (r *Router) sampleCandidates(out []Candidate, now time.Time, rnd *rand.Rand, req Request, members Members) []Candidate {
	perSecond := r.countChoice(now, req.Service.Name)
	if r.drawsUneven(req) {
		return r.drawUneven(out, now, rnd, req, members)
	}
	if !r.cfg.ByExpectedTime || req.Pinned != "" || r.comparesAll(len(req.Service.Upstreams), perSecond) {
		return r.appendCandidates(out, now, req, members)
	}
	out = r.drawCandidates(out, now, rnd, req, members, req.Service.InDataCentre(r.self.DataCentre), sampleSize*drawsPerSample)
	if rnd.Float64() < fastUpstreamShare {
		out = r.addFastest(out, now, req, members)
	}
	out = r.addNamed(out, now, req, members, req.MovedFrom)
	if !anyInTime(out) {
		out = r.drawCandidates(out, now, rnd, req, members, req.Service.Upstreams, sampleSize*drawsPerSample)
	}
	if !anyUsable(out) {
		out = r.appendCandidates(out[:0], now, req, members)
	}
	return out
}

// comparesAll reports whether a node that makes perSecond choices among the given number
// of upstreams compares all of them.
func (r *Router) comparesAll(upstreams int, perSecond float64) bool {
	switch {
	case upstreams <= sampleSize*drawsPerSample:
		return true
	case upstreams > maxCompareAll:
		return false
	}
	return perSecond*r.cfg.LoadReportLifetime.Seconds() >= minFreshShare*float64(upstreams)
}

// choiceRateDecay is the time constant of the smoothed choice rate. It spans a few
// requests of a node that sends one a second.
const choiceRateDecay = 5 * time.Second

// countChoice counts a choice among the upstreams of a service and returns the choices
// per second.
func (r *Router) countChoice(now time.Time, service string) float64 {
	choices, ok := r.choices[service]
	if !ok {
		choices = &decay.Rate{}
		r.choices[service] = choices
	}
	choices.Count(now, choiceRateDecay)
	return choices.PerSecond()
}

// drawCandidates draws upstreams from the list at random, at most draws times, and
// appends them to out until sampleSize of them are usable. Soft exclusions of the drawn
// candidates are subject to the panic threshold.
func (r *Router) drawCandidates(out []Candidate, now time.Time, rnd *rand.Rand, req Request, members Members, from []*snapshot.Upstream, draws int) []Candidate {
	usable := 0
	for range min(draws, len(from)) {
		u := from[rnd.IntN(len(from))]
		if alreadyDrawn(out, u) {
			continue
		}
		out = append(out, Candidate{Upstream: u})
		c := &out[len(out)-1]
		r.evaluate(c, now, req, members)
		if c.usable() {
			usable++
		}
		if usable == sampleSize {
			break
		}
	}
	r.applyPanicThreshold(out)
	return out
}

// addFastest appends the fastest known upstreams of the service that are not in out yet.
func (r *Router) addFastest(out []Candidate, now time.Time, req Request, members Members) []Candidate {
	for _, f := range r.fastest[req.Service.Name] {
		u := req.Service.Upstream(f.name)
		if u == nil || alreadyDrawn(out, u) {
			continue
		}
		out = append(out, Candidate{Upstream: u})
		r.evaluate(&out[len(out)-1], now, req, members)
	}
	return out
}

// addNamed appends the upstreams of the service with the given names that are not in out
// yet.
func (r *Router) addNamed(out []Candidate, now time.Time, req Request, members Members, names []string) []Candidate {
	for _, name := range names {
		u := req.Service.Upstream(name)
		if u == nil || alreadyDrawn(out, u) {
			continue
		}
		out = append(out, Candidate{Upstream: u})
		r.evaluate(&out[len(out)-1], now, req, members)
	}
	return out
}

func alreadyDrawn(cs []Candidate, u *snapshot.Upstream) bool {
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

// anyInTime reports whether the request can probably meet its objective deadline at one
// of the candidates.
func anyInTime(cs []Candidate) bool {
	for i := range cs {
		c := &cs[i]
		if c.usable() && !c.Late && (c.MaxWait == 0 || c.Wait <= c.MaxWait) {
			return true
		}
	}
	return false
}
