package routing

import (
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// Exclusion says why an upstream gets no request now.
type Exclusion string

// The exclusions. Soft ones are given up when nothing else is left.
const (
	Eligible        Exclusion = ""
	NotListed       Exclusion = "not in the instance list"
	InstanceGone    Exclusion = "instance is gone"
	InstanceLeaving Exclusion = "instance is leaving"
	ZeroWeight      Exclusion = "weight is 0"
	AlreadyTried    Exclusion = "tried for this request"
	NotPinned       Exclusion = "route is pinned to another upstream"
	Denied          Exclusion = "its address answers for another instance"
	Ejected         Exclusion = "left out after failures"                 // soft
	Silent          Exclusion = "requests wait and none is answered"      // soft
	SuspectInstance Exclusion = "instance does not answer its neighbours" // soft
)

func (x Exclusion) soft() bool { return x == Ejected || x == Silent || x == SuspectInstance }

// Candidate is one upstream of a service with the verdict on it.
type Candidate struct {
	Upstream *snapshot.Upstream
	Instance membership.Instance
	Excluded Exclusion
	// Weight is the table's weight times slow start and distance.
	Weight float64
	// Cost is the estimated load over the slots, or the expected seconds with
	// Config.ByTime; the lesser is chosen.
	Cost float64
	// Wait is the time that a request is expected to wait for a slot, by news
	// that is at most waitMemory old; 0 if there is none.
	Wait time.Duration
	// Late says that the request is more likely late than not there.
	Late bool
	// Left is the time to the objective of the request, less that of the way.
	Left time.Duration
	// Patience is how long the request may wait there for a slot; 0 means any
	// time.
	Patience time.Duration
	// Trial says that nothing recent is known of the upstream.
	Trial bool
}

// Request is what the choice depends on.
type Request struct {
	Service *snapshot.Service
	Pinned  *snapshot.Upstream
	Tried   []string // upstreams already tried for this request
	Kind    string   // class of request, for the wait told of it
	// Aim is when the request should be answered; zero if it has no objective.
	Aim time.Time
	// Returned says that it was refused before and came back.
	Returned bool
}

// Members looks up the instance behind an upstream name.
type Members func(name string) (membership.Member, bool)

// Router keeps the evidence of one node. It is not safe for concurrent use.
type Router struct {
	cfg      Config
	self     membership.Instance
	evidence map[string]*evidence
}

// NewRouter returns a router of the instance self without evidence.
func NewRouter(cfg Config, self membership.Instance) *Router {
	return &Router{cfg: cfg, self: self, evidence: make(map[string]*evidence)}
}

// distance factors on the weight: another data centre of the region costs
// little, another region much.
const (
	nearFactor   = 1.0
	regionFactor = 0.9
	farFactor    = 0.02
)

func (r *Router) distance(in membership.Instance) float64 {
	switch {
	case in.DataCentre == r.self.DataCentre:
		return nearFactor
	case in.Region == r.self.Region:
		return regionFactor
	}
	return farFactor
}

// Candidates returns every upstream of the service with the reason it is left
// out, if it is.
func (r *Router) Candidates(now time.Time, req Request, members Members) []Candidate {
	out := make([]Candidate, 0, len(req.Service.Upstreams))
	for _, u := range req.Service.Upstreams {
		out = append(out, r.candidate(now, u, req, members))
	}
	r.relent(out)
	return out
}

func (r *Router) candidate(now time.Time, u *snapshot.Upstream, req Request, members Members) Candidate {
	c := Candidate{Upstream: u}
	m, ok := members(u.Name)
	if !ok {
		c.Excluded = NotListed
		return c
	}
	c.Instance = m.Instance
	e := r.of(now, m.Instance)
	c.Weight = u.Weight * e.ramp(r.cfg, now) * r.distance(m.Instance)
	slots := float64(max(u.Concurrency, e.told.Slots, 1))
	c.Cost = (e.busy(r.cfg, now) + 1) / slots
	if r.cfg.ByTime {
		c.aim(now, e, req, slots)
		c.Wait = e.wait(now, overload.QueueKind(req.Kind, c.Late))
		c.Cost = r.expected(e, c.Cost, slots, c.Wait, m.Instance) + e.wayTime(now)
		c.Trial = e.unexplored(now)
	}
	c.Excluded = r.exclusion(now, u, m, e, req)
	return c
}

// aim works out whether the request can be in time at the upstream and how long
// it may wait there.
func (c *Candidate) aim(now time.Time, e *evidence, req Request, slots float64) {
	if req.Aim.IsZero() {
		return
	}
	runs := e.runTimes(now, req.Kind)
	c.Left = req.Aim.Sub(now) - time.Duration(e.wayTime(now)*float64(time.Second))
	c.Late = overload.Late(req.Returned, c.Left, runs.Typical)
	slotEvery := time.Duration(float64(e.told.Service) / slots)
	c.Patience = max(overload.Patience(c.Left, runs.Safe, slotEvery, c.Late), time.Millisecond)
}

// unknownService stands for a service time that no node has told yet.
const unknownService = 0.1

// expected estimates the seconds that a request takes at an upstream: its
// service time, which grows as its slots fill, the wait behind those that have
// none, and what fails there and has to be done again.
func (r *Router) expected(e *evidence, load, slots float64, wait time.Duration, in membership.Instance) float64 {
	service := e.told.Service.Seconds()
	if service == 0 {
		service = unknownService
	}
	busy := min(load, 1)
	queued := max(service*max(0, load*slots-slots)/slots, wait.Seconds())
	seconds := service*(1+busy*busy) + queued
	if in.DataCentre != r.self.DataCentre {
		// The price fades as slots fill: where all are full, waits alone decide.
		seconds += service * r.cfg.FarPrice * (1 - busy*busy)
	}
	works := max(1-e.failure, leastWorking)
	return seconds / (works * works)
}

// leastWorking bounds how much worse failures make an upstream look, so that
// it still gets the odd request and can show that it is well again.
const leastWorking = 0.15

func (r *Router) exclusion(now time.Time, u *snapshot.Upstream, m membership.Member, e *evidence, req Request) Exclusion {
	switch {
	case req.Pinned != nil && req.Pinned.Name != u.Name:
		return NotPinned
	case u.Weight <= 0 && req.Pinned == nil:
		return ZeroWeight
	case m.Status == membership.Gone:
		return InstanceGone
	case m.Status == membership.Departing || e.toldDraining(r.cfg, now):
		return InstanceLeaving
	case contains(req.Tried, u.Name):
		return AlreadyTried
	case now.Before(e.denied):
		return Denied
	case m.Status == membership.Suspect:
		return SuspectInstance
	case e.isEjected(now):
		return Ejected
	case e.isSilent(r.cfg, now):
		return Silent
	}
	return Eligible
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// relent gives up the soft exclusions when they cover more than PanicShare of
// the weight: then the evidence is more likely wrong than all the upstreams.
func (r *Router) relent(all []Candidate) {
	eligible, soft := 0.0, 0.0
	for _, c := range all {
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
// cost wins. It returns false if none may be used.
func (r *Router) Pick(now time.Time, rnd *rand.Rand, req Request, members Members) (Candidate, bool) {
	all := r.Candidates(now, req, members)
	total := 0.0
	usable := all[:0]
	for _, c := range all {
		if c.Excluded == Eligible && c.Weight > 0 {
			usable = append(usable, c)
			total += c.Weight
		}
	}
	if r.cfg.ByTime && !req.Aim.IsZero() {
		usable = prefer(usable, func(c Candidate) bool { return c.Wait <= c.Patience })
		usable = prefer(usable, func(c Candidate) bool { return !c.Late })
	}
	switch len(usable) {
	case 0:
		return Candidate{}, false
	case 1:
		return usable[0], true
	}
	if r.cfg.ByTime {
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
	for i, c := range cs {
		if c.Trial && trial {
			return c
		}
		cost := c.Cost / c.Weight * (1 + costNoise*rnd.Float64())
		if at < 0 || cost < best {
			best, at = cost, i
		}
	}
	return cs[at]
}

// prefer returns the candidates that are good, or all if none is.
func prefer(cs []Candidate, good func(Candidate) bool) []Candidate {
	some := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if good(c) {
			some = append(some, c)
		}
	}
	if len(some) == 0 {
		return cs
	}
	return some
}

// draw returns an index by weight, leaving out skip.
func draw(rnd *rand.Rand, cs []Candidate, total float64, skip int) int {
	at := rnd.Float64() * total
	last := 0
	for i, c := range cs {
		if i == skip {
			continue
		}
		last = i
		if at < c.Weight {
			return i
		}
		at -= c.Weight
	}
	return last
}

// of returns the evidence about an instance. A later process under the same
// name starts anew.
func (r *Router) of(now time.Time, in membership.Instance) *evidence {
	e, ok := r.evidence[in.Name]
	if ok && e.generation >= in.Generation {
		return e
	}
	next := &evidence{generation: in.Generation, unanswered: now}
	if ok {
		// Requests to the earlier process still count until they end.
		next.inFlight = e.inFlight
		next.firstSeen = now
	}
	// An instance met for the first time by this node is not taken for a cold
	// one unless it started a short while ago.
	if started := time.UnixMilli(int64(in.Generation)); !ok && now.Sub(started) < r.cfg.SlowStart {
		next.firstSeen = started
	}
	r.evidence[in.Name] = next
	return next
}

// Start counts a request sent to an upstream.
func (r *Router) Start(now time.Time, name string) {
	e, ok := r.evidence[name]
	if !ok {
		return
	}
	if e.inFlight == 0 {
		e.unanswered = now
	}
	e.inFlight++
}

// Heard notes that an upstream answered a request, which may go on.
func (r *Router) Heard(now time.Time, name string) {
	if e, ok := r.evidence[name]; ok {
		e.unanswered = now
	}
}

// Outcome is how a request to an upstream ended, as evidence.
type Outcome struct {
	// Failed says that the upstream or the way to it failed; a refusal for
	// want of a slot is no failure.
	Failed bool
	// Denied says that the address answered for another instance, so that the
	// one asked for has ended.
	Denied  bool
	Latency time.Duration // time to the answer; 0 if there was none
	Told    *Told         // what its node said with the answer; nil if nothing
	Kind    string        // class of the request
	Late    bool          // the request waited among the late ones
	// Way is the part of Latency that was spent neither at the node nor at the
	// upstream; 0 if it is not known.
	Way time.Duration
}

// latencySmoothing is the weight of the newest latency.
const latencySmoothing = 0.1

// End counts the end of a request that Start counted.
func (r *Router) End(now time.Time, rnd *rand.Rand, name string, o Outcome) {
	e, ok := r.evidence[name]
	if !ok {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if o.Denied {
		e.denied = now.Add(deniedMemory)
	}
	e.observe(r.cfg, now, rnd, o.Failed)
	if !o.Failed {
		e.unanswered = now
	}
	if o.Told != nil {
		e.told, e.toldAt, e.toldFlight = *o.Told, now, e.inFlight
		e.noteWait(now, overload.QueueKind(o.Kind, o.Late), o.Told.Wait)
		e.noteRuns(now, o.Kind, o.Told.Runs)
	}
	if o.Way > 0 {
		e.noteWay(now, o.Way)
	}
	if o.Latency > 0 {
		e.latency += latencySmoothing * (o.Latency.Seconds() - e.latency)
	}
}

// Prune forgets the evidence about upstreams that keep says are no more.
func (r *Router) Prune(keep func(name string) bool) {
	for name, e := range r.evidence {
		if e.inFlight == 0 && !keep(name) {
			delete(r.evidence, name)
		}
	}
}
