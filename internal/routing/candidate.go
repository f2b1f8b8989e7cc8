package routing

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/snapshot"
)

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
	// TimeLeft is the time to the objective of the request, less that of the way.
	TimeLeft time.Duration
	// MaxWait is how long the request may wait there for a slot; 0 means any
	// time.
	MaxWait time.Duration
	// Trial says that nothing recent is known of the upstream.
	Trial bool
}

// Request is what the choice depends on.
type Request struct {
	Service *snapshot.Service
	Pinned  string   // the one upstream that may run it; empty for any
	Tried   []string // upstreams already tried for this request
	Kind    string   // class of request, for the wait told of it
	// ObjectiveDeadline is when the request should be answered; zero if it has no objective.
	ObjectiveDeadline time.Time
	// CallerRetry says that it was refused before and came back.
	CallerRetry bool
}

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
	Evacuated       Exclusion = "its data centre is evacuated"
	ColdFull        Exclusion = "is cold and has got what it can take from this node"
	WrongInstance   Exclusion = "its address answers for another instance"
	Ejected         Exclusion = "left out after failures"                 // soft
	Unresponsive    Exclusion = "requests wait and none is answered"      // soft
	SuspectInstance Exclusion = "instance does not answer its neighbours" // soft
)

func (x Exclusion) soft() bool { return x == Ejected || x == Unresponsive || x == SuspectInstance }

// judge fills in the verdict on the upstream of a candidate.
func (r *Router) judge(c *Candidate, now time.Time, req Request, members Members) {
	u := c.Upstream
	m, ok := members(u.Name)
	if !ok {
		c.Excluded = NotListed
		return
	}
	c.Instance = m.Instance
	e := r.of(now, m)
	c.Weight = u.Weight * e.ramp(r.cfg, now) * r.distance(m.Instance)
	slots := float64(max(u.Concurrency, e.told.Slots, 1))
	c.Cost = (e.busy(r.cfg, now) + 1) / slots
	if r.cfg.ByExpectedTime {
		c.aim(now, e, req, slots)
		c.Wait = e.wait(now, overload.QueueKind(req.Kind, c.Late))
		c.Cost = r.expected(e, c.Cost, slots, c.Wait, m.Instance) + e.wayTime(now)
		c.Trial = e.unexplored(now)
	}
	c.Excluded = r.exclusion(now, u, m, e, req)
}

// aim works out whether the request can be in time at the upstream and how long
// it may wait there.
func (c *Candidate) aim(now time.Time, e *evidence, req Request, slots float64) {
	if req.ObjectiveDeadline.IsZero() {
		return
	}
	runs := e.runTimes(now, req.Kind)
	c.TimeLeft = req.ObjectiveDeadline.Sub(now) - time.Duration(e.wayTime(now)*float64(time.Second))
	c.Late = overload.Late(req.CallerRetry, c.TimeLeft, runs.Typical)
	slotEvery := time.Duration(float64(e.told.Service) / slots)
	c.MaxWait = max(overload.MaxWait(c.TimeLeft, runs.Safe, slotEvery, c.Late), time.Millisecond)
}

// expected estimates the seconds that a request takes at an upstream: its
// service time, which grows as its slots fill, the wait behind those that have
// none, and what fails there and has to be done again.
func (r *Router) expected(e *evidence, load, slots float64, wait time.Duration, in membership.Instance) float64 {
	service := e.told.Service.Seconds()
	if service == 0 {
		service = r.typical(in.Service)
	}
	busy := min(load, 1)
	queued := max(service*max(0, load*slots-slots)/slots, wait.Seconds())
	seconds := service*(1+busy*busy) + queued
	if in.DataCentre != r.self.DataCentre {
		// The price fades as slots fill: where all are full, waits alone decide.
		seconds += service * r.cfg.CrossDataCentreCost * (1 - busy*busy)
	}
	works := max(1-e.failure, leastWorking)
	return seconds / (works * works)
}

// leastWorking bounds how much worse failures make an upstream look, so that
// it still gets the odd request and can show that it is well again.
const leastWorking = 0.15

func (r *Router) exclusion(now time.Time, u *snapshot.Upstream, m membership.Member, e *evidence, req Request) Exclusion {
	switch {
	case req.Pinned != "" && req.Pinned != u.Name:
		return NotPinned
	case u.Weight <= 0 && req.Pinned == "":
		return ZeroWeight
	case m.Status == membership.Gone:
		return InstanceGone
	case m.Status == membership.Leaving || e.toldDraining(r.cfg, now):
		return InstanceLeaving
	case m.Evacuated:
		return Evacuated
	case contains(req.Tried, u.Name):
		return AlreadyTried
	case now.Before(e.denied):
		return WrongInstance
	case r.coldFull(now, e, m):
		return ColdFull
	case m.Status == membership.Suspect:
		return SuspectInstance
	case e.isEjected(now):
		return Ejected
	case e.isSilent(r.cfg, now):
		return Unresponsive
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
