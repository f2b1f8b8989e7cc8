package routing

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// Candidate is one upstream of a service and the result of its evaluation for a request.
type Candidate struct {
	Upstream *snapshot.Upstream
	Instance membership.Instance
	Excluded Exclusion
	// Weight is the weight in the table times the slow-start factor and the locality
	// factor.
	Weight float64
	// Cost is the estimated number of requests per slot or, with Config.ByExpectedTime,
	// the expected seconds until the response. The candidate with the lower cost is
	// chosen.
	Cost float64
	// QueuedCost is the part of Cost that the wait for a slot causes; only with
	// Config.ByExpectedTime.
	QueuedCost float64
	// WaitCost is the weight of the wait for a slot in the costs.
	WaitCost float64
	// SecondCost is the cost of the second choice, scaled to Weight; see WorthwhileWait.
	// It is 0 if there is no second choice or if requests to the service aren't moved.
	SecondCost float64
	// SecondAge is the age of the load report behind SecondCost; 0 if there is none.
	SecondAge time.Duration
	// RoundTrip is the expected network time to the upstream and back; only with
	// Config.ByExpectedTime.
	RoundTrip time.Duration
	// Wait is the time that a request is expected to wait for a slot, from a load report
	// no older than waitReportTTL; 0 if there is none.
	Wait time.Duration
	// Late reports whether the request would more likely than not miss its objective
	// deadline at this upstream.
	Late bool
	// TimeLeft is the time until the objective deadline, less the network time to the
	// upstream and back.
	TimeLeft time.Duration
	// MaxWait is how long the request may wait for a slot at the upstream; 0 means no
	// limit.
	MaxWait time.Duration
	// Trial reports whether the last load report of the upstream is too old or missing,
	// so that it is due for a request that brings a new one.
	Trial bool
	// Report is the load report behind Cost.
	Report ReportUsed
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Service *snapshot.Service
	Pinned  string   // the only upstream that may run the request; empty for any
	Tried   []string // upstreams already tried for this request
	// MovedFrom lists the upstreams that returned this request while it waited. They may
	// be chosen again, by what they reported with that.
	MovedFrom []string
	Kind      string // request kind, for which waits and run times are reported
	// ObjectiveDeadline is when the request should be answered; zero if it has no
	// objective.
	ObjectiveDeadline time.Time
	// CallerRetry reports whether the request was refused before and the caller has sent
	// it again.
	CallerRetry bool

	uneven *unevenService // of Service; nil if its upstreams report no slowdowns
}

// Exclusion is the reason why an upstream gets no requests now; empty if it may get them.
type Exclusion string

// The exclusions. The soft ones are ignored if they cover too much of the service's
// weight (Config.PanicShare).
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

// evaluate fills in the weight, the cost and the exclusion of a candidate whose upstream
// is set.
func (r *Router) evaluate(c *Candidate, now time.Time, req Request, members Members) {
	u := c.Upstream
	m, ok := members(u.Name)
	if !ok {
		c.Excluded = NotListed
		return
	}
	c.Instance = m.Instance
	s := r.stateOf(now, m)
	s.forgetOldPeerLoad(now)
	c.Weight = u.Weight * s.slowStartFactor(r.cfg, now) * r.localityFactor(m.Instance)
	slots := float64(max(u.Concurrency, s.load.Slots, 1))
	c.Cost = (r.expectedRequests(now, s, req.uneven, slots) + 1) / slots
	if r.cfg.ByExpectedTime {
		c.applyObjective(now, s, req, slots)
		c.Wait = s.expectedWait(now, overload.QueueKind(req.Kind, c.Late))
		wait := max(c.Wait.Seconds(), s.limit.expectedSeconds(now, r.cfg.LoadReportLifetime))
		networkTime := s.expectedNetworkTime(now)
		c.Cost, c.QueuedCost = r.expectedSeconds(now, s, req, c.Cost, slots, wait, m.Instance)
		c.Cost += networkTime
		c.WaitCost = req.uneven.queueCost()
		c.RoundTrip = time.Duration(networkTime * float64(time.Second))
		c.Trial = s.dueForTrial(now)
	}
	c.Report = s.reportUsed(now, req.uneven)
	c.Excluded = r.exclusion(now, u, m, s, req)
}

// applyObjective works out whether the request can meet its objective deadline at the
// upstream, and how long it may wait for a slot there. Without an objective nothing is
// set.
func (c *Candidate) applyObjective(now time.Time, s *upstreamState, req Request, slots float64) {
	if req.ObjectiveDeadline.IsZero() {
		return
	}
	runs := s.recentRunTimes(now, req.Kind)
	c.TimeLeft = req.ObjectiveDeadline.Sub(now) - time.Duration(s.expectedNetworkTime(now)*float64(time.Second))
	c.Late = overload.Late(req.CallerRetry, c.TimeLeft, runs.Typical)
	slotEvery := time.Duration(float64(s.slowdown.Scale(now, s.load.Service)) / slots)
	c.MaxWait = max(overload.MaxWait(c.TimeLeft, runs.Safe, slotEvery, c.Late), time.Millisecond)
}

// expectedSeconds estimates how long a request takes at an upstream: its service time,
// which grows as the slots fill up, the wait for a slot, and the retries after failures.
// utilisation is the number of requests per slot, wait the expected wait in seconds.
// queued is the part of the result that the wait causes.
func (r *Router) expectedSeconds(now time.Time, s *upstreamState, req Request, utilisation, slots, wait float64, in membership.Instance) (seconds, queued float64) {
	service := r.serviceTime(now, s, in)
	busy := min(utilisation, 1)
	queued = req.uneven.queueCost() * max(service*max(0, utilisation*slots-slots)/slots, wait)
	seconds = service*(1+busy*busy) + queued
	if in.DataCentre != r.self.DataCentre {
		// The extra cost shrinks as slots fill up, so that only the expected wait decides
		// once all slots are in use.
		seconds += service * r.cfg.CrossDataCentreCost * (1 - busy*busy)
	}
	successRate := max(1-s.failureRate, minSuccessRate)
	return seconds / (successRate * successRate), queued / (successRate * successRate)
}

// minSuccessRate limits how much failures raise the cost of an upstream, so that it still
// gets an occasional request by which its recovery can be seen.
const minSuccessRate = 0.15

func (r *Router) exclusion(now time.Time, u *snapshot.Upstream, m membership.Member, s *upstreamState, req Request) Exclusion {
	switch {
	case req.Pinned != "" && req.Pinned != u.Name:
		return NotPinned
	case u.Weight <= 0 && req.Pinned == "":
		return ZeroWeight
	case m.Status == membership.Gone:
		return InstanceGone
	case m.Status == membership.Leaving || s.reportsDraining(r.cfg, now) || r.hasAnnouncedLeaving(m.Instance):
		return InstanceLeaving
	case m.Evacuated:
		return Evacuated
	case contains(req.Tried, u.Name):
		return AlreadyTried
	case now.Before(s.wrongInstanceUntil):
		return WrongInstance
	case r.coldLimitReached(now, s, m):
		return ColdFull
	case m.Status == membership.Suspect:
		return SuspectInstance
	case s.isEjected(now):
		return Ejected
	case s.isUnresponsive(r.cfg, now):
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

// Locality factors on the weight. Another data centre of the same region costs little,
// another region much.
const (
	sameDataCentreFactor = 1.0
	sameRegionFactor     = 0.9
	otherRegionFactor    = 0.02
)

func (r *Router) localityFactor(in membership.Instance) float64 {
	switch {
	case in.DataCentre == r.self.DataCentre:
		return sameDataCentreFactor
	case in.Region == r.self.Region:
		return sameRegionFactor
	}
	return otherRegionFactor
}
