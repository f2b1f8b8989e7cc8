package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/decay"
	"github.com/walldrift/walldrift/internal/membership"
)

// PeerLoad is the load of an upstream as another node knows it.
type PeerLoad struct {
	Upstream   string
	Generation uint64        // of the upstream's process
	Age        time.Duration // since the upstream's node reported the load
	InUse      int
	Slots      int
	Waiting    int
	Service    time.Duration      // at usual speed
	Slowdown   admission.Slowdown // zero if the upstream has reported none
}

const (
	// MaxPeerLoads is the number of peer load reports that one response carries. Four take
	// about 200 bytes, a fifth of the head of a short response.
	MaxPeerLoads = 4
	// peerLoadLifetime is the age up to which a peer load report is accepted, and the time
	// for which a service counts as one whose upstreams report slowdowns.
	peerLoadLifetime = time.Second
	// maxPassedOnAge is the age up to which a load is passed on to other nodes. At its
	// receiver it can then be used for as long again.
	maxPassedOnAge = peerLoadLifetime / 2
	// maxRecentLoads bounds the upstreams of a service among which the most recently
	// reported are searched.
	maxRecentLoads = 32
)

// unevenService is what a node knows of an uneven service: one whose upstreams report
// slowdowns.
type unevenService struct {
	lastSeen time.Time // when a load report or a peer load report last showed a slowdown
	inUse    float64   // smoothed share of the slots in use in reports
	// recent holds the upstreams with the latest reports, at most maxRecentLoads.
	recent []*upstreamState
}

// uneven returns what is known of a service whose upstreams have lately reported slowdowns;
// nil for any other service.
func (r *Router) uneven(now time.Time, service string) *unevenService {
	u := r.unevenServices[service]
	if u == nil || now.Sub(u.lastSeen) > peerLoadLifetime {
		return nil
	}
	return u
}

// observeSlowdown records that an upstream of the service has reported a slowdown, unless
// that was too long ago.
func (r *Router) observeSlowdown(now time.Time, service string, reported admission.Slowdown) {
	if !reported.Reported() || now.Sub(reported.At) > peerLoadLifetime {
		return
	}
	u, ok := r.unevenServices[service]
	if !ok {
		u = &unevenService{}
		r.unevenServices[service] = u
	}
	u.lastSeen = now
}

// inUseSmoothing is the weight of the latest report in the mean share of the slots of a
// service that are in use. A mean over some ten reports spans a fraction of a second.
const inUseSmoothing = 0.1

// observe takes a report of an upstream into account.
func (u *unevenService) observe(s *upstreamState) {
	if s.load.Slots > 0 {
		u.inUse += inUseSmoothing * (float64(s.load.InUse)/float64(s.load.Slots) - u.inUse)
	}
	if slices.Contains(u.recent, s) {
		return
	}
	if len(u.recent) < maxRecentLoads {
		u.recent = append(u.recent, s)
		return
	}
	oldest := 0
	for i, other := range u.recent {
		if other.reportedAt.Before(u.recent[oldest].reportedAt) {
			oldest = i
		}
	}
	u.recent[oldest] = s
}

// forget drops the upstreams whose reports are too old to be passed on.
func (u *unevenService) forget(now time.Time) {
	u.recent = slices.DeleteFunc(u.recent, func(s *upstreamState) bool { return now.Sub(s.reportedAt) > maxPassedOnAge })
}

// AcceptPeerLoads records peer load reports about upstreams of a service that came with a
// response, and returns how many were accepted. inTransit is how long the response may have
// been on its way. A report is accepted if it is about a listed process of the service, no
// older than peerLoadLifetime and newer than what is known. It changes the load of the
// upstream only: exclusions and the failure rate go by the node's own requests.
func (r *Router) AcceptPeerLoads(now time.Time, service string, inTransit time.Duration, loads []PeerLoad, members Members) (accepted int) {
	for i := range loads[:min(len(loads), MaxPeerLoads)] {
		l := loads[i].atArrival(inTransit)
		m, listed := members(l.Upstream)
		if loads[i].Age < 0 || l.Age > peerLoadLifetime || !listed || m.Service != service || m.Generation != l.Generation {
			continue
		}
		r.observeSlowdown(now, service, l.Slowdown)
		uneven := r.uneven(now, service)
		if uneven == nil {
			continue
		}
		s := r.stateOf(now, m)
		at := now.Add(-l.Age)
		if s.generation != l.Generation || !at.After(s.reportedAt) {
			continue
		}
		s.applyPeerLoad(at, &l)
		uneven.observe(s)
		accepted++
	}
	return accepted
}

// atArrival returns a peer load report whose ages include the time that it was on its way.
func (l PeerLoad) atArrival(inTransit time.Duration) PeerLoad {
	l.Age += inTransit
	if l.Slowdown.Reported() {
		l.Slowdown.At = l.Slowdown.At.Add(-inTransit)
	}
	return l
}

// applyPeerLoad adopts a peer load report that was made at the given time. The node's own
// requests since then are not part of it.
func (s *upstreamState) applyPeerLoad(at time.Time, l *PeerLoad) {
	s.load.InUse, s.load.Slots, s.load.Waiting = l.InUse, l.Slots, l.Waiting
	if l.Service > 0 {
		s.load.Service = l.Service
	}
	s.observeSlowdown(l.Slowdown)
	s.reportedAt = at
	s.inFlightAtLoad = s.inFlightAt(at)
}

// forgetOldPeerLoad restores the figures of the last own report once a peer load report is
// too old to be used.
func (s *upstreamState) forgetOldPeerLoad(now time.Time) {
	if !s.reportedAt.After(s.loadAt) || now.Sub(s.reportedAt) <= peerLoadLifetime {
		return
	}
	s.load.setFigures(s.own)
	s.reportedAt, s.inFlightAtLoad = s.loadAt, s.inFlight
}

// loadFigures are those of an own report that a peer load report replaces.
type loadFigures struct {
	InUse, Slots, Waiting int
	Service               time.Duration
}

func (l *LoadReport) figures() loadFigures {
	return loadFigures{InUse: l.InUse, Slots: l.Slots, Waiting: l.Waiting, Service: l.Service}
}

func (l *LoadReport) setFigures(f loadFigures) {
	l.InUse, l.Slots, l.Waiting, l.Service = f.InUse, f.Slots, f.Waiting, f.Service
}

// adoptReport records an own report that arrived at the given time, unless a newer one has
// arrived since. The figures of a newer peer load report stay.
func (s *upstreamState) adoptReport(l LoadReport, arrived time.Time) {
	if s.loadAt.After(arrived) {
		return
	}
	newer := s.load.figures()
	s.load, s.loadAt, s.own = l, arrived, l.figures()
	if s.reportedAt.After(arrived) {
		s.load.setFigures(newer)
		return
	}
	s.reportedAt, s.inFlightAtLoad = arrived, s.inFlightAt(arrived)
}

// PeerLoads appends to out the loads of upstreams of a service that a response to another
// node may carry, except that of the named upstream, whose own load report the response
// has. Recent ones are preferred, with some randomness, so that they spread through
// different nodes.
func (r *Router) PeerLoads(now time.Time, rnd *rand.Rand, out []PeerLoad, service, except string) []PeerLoad {
	u := r.uneven(now, service)
	if u == nil {
		return out
	}
	u.forget(now)
	var ranks [maxRecentLoads]time.Duration
	for i, s := range u.recent {
		ranks[i] = time.Duration(rnd.Float64() * float64(now.Sub(s.reportedAt)))
	}
	for range MaxPeerLoads {
		best := -1
		for i, s := range u.recent {
			if ranks[i] >= 0 && s.name != except && r.upstreams[s.name] == s && (best < 0 || ranks[i] < ranks[best]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		ranks[best] = -1
		out = append(out, u.recent[best].peerLoad(now))
	}
	return out
}

func (s *upstreamState) peerLoad(now time.Time) PeerLoad {
	return PeerLoad{
		Upstream:   s.name,
		Generation: s.generation,
		Age:        now.Sub(s.reportedAt),
		InUse:      s.load.InUse,
		Slots:      s.load.Slots,
		Waiting:    s.load.Waiting,
		Service:    s.load.Service,
		Slowdown:   s.slowdown,
	}
}

// maxStarts is the number of own requests per upstream whose start times are kept. A node
// that sends more of them within the lifetime of a peer load report gets its own reports in
// between.
const maxStarts = 8

// recordStart keeps the start time of an own request.
func (s *upstreamState) recordStart(now time.Time) {
	s.starts[s.nextStart%maxStarts] = now
	s.nextStart++
}

// startsSince returns how many of the last own requests started after the given time.
func (s *upstreamState) startsSince(at time.Time) (n int) {
	for i := range s.starts {
		if s.starts[i].After(at) {
			n++
		}
	}
	return n
}

// inFlightAt returns how many of the own requests in flight had started by the given time.
func (s *upstreamState) inFlightAt(at time.Time) int {
	return s.inFlight - min(s.startsSince(at), s.inFlight)
}

// observeSlowdown keeps the latest slowdown.
func (s *upstreamState) observeSlowdown(reported admission.Slowdown) {
	if reported.At.After(s.slowdown.At) {
		s.slowdown = reported
	}
}

// arrivedAt returns when a report arrived whose response has ended now.
func (l LoadReport) arrivedAt(now time.Time) time.Time {
	if l.ReadAt.IsZero() {
		return now
	}
	return l.ReadAt
}

// atUsualSpeed returns a load report with the durations that it would have if the upstream
// had its usual speed.
func (l LoadReport) atUsualSpeed(now time.Time) LoadReport {
	if !l.Slowdown.Reported() {
		return l
	}
	factor := l.Slowdown.Factor(l.arrivedAt(now))
	l.Service = admission.UsualTime(l.Service, factor, factor)
	l.Runs.Typical = admission.UsualTime(l.Runs.Typical, factor, factor)
	l.Runs.Safe = admission.UsualTime(l.Runs.Safe, factor, factor)
	return l
}

// expectedRequests estimates the number of requests at an upstream. slots is its number of
// slots.
//
// For a service whose upstreams report slowdowns, other nodes have the same reports: an
// upstream that was reported idle gets their requests too. The reported number therefore
// approaches the mean of the service as the report ages. The own requests since then are
// added.
func (r *Router) expectedRequests(now time.Time, s *upstreamState, uneven *unevenService, slots float64) float64 {
	if uneven == nil {
		return s.estimatedRequests(r.cfg, now)
	}
	requests := uneven.inUse * slots
	if !s.reportedAt.IsZero() {
		trust := decay.Factor(now.Sub(s.reportedAt), r.cfg.LoadReportLifetime)
		requests += trust*(float64(s.load.InUse+s.load.Waiting)-requests) + float64(s.inFlight-s.inFlightAtLoad)
	}
	return max(requests, float64(s.inFlight))
}

// unevenQueueCost is the weight of the wait for a slot in the expected time at an upstream
// of a service whose upstreams report slowdowns. The expected time of an upstream whose
// slots are nearly all in use grows by two service times with each request per slot. With
// this weight it grows as fast beyond that, so that a queue is not preferred to a slot that
// is about to be taken.
const unevenQueueCost = 2

// queueCost returns the weight of the wait for a slot in the expected time.
func (u *unevenService) queueCost() float64 {
	if u == nil {
		return 1
	}
	return unevenQueueCost
}

// serviceTime returns the expected service time of an upstream at present, in seconds.
func (r *Router) serviceTime(now time.Time, s *upstreamState, in membership.Instance) float64 {
	service := s.slowdown.Scale(now, s.load.Service).Seconds()
	if service == 0 {
		service = r.typicalServiceTime(in.Service)
	}
	return service
}

// observeUneven takes an own load report that was just recorded into account if upstreams
// of its service report slowdowns.
func (r *Router) observeUneven(now time.Time, s *upstreamState) {
	s.observeSlowdown(s.load.Slowdown)
	r.observeSlowdown(now, s.service, s.load.Slowdown)
	if u := r.uneven(now, s.service); u != nil {
		u.observe(s)
	}
}

// pruneUneven forgets the services whose upstreams no longer report slowdowns.
func (r *Router) pruneUneven(now time.Time) {
	for service, u := range r.unevenServices {
		u.forget(now)
		if now.Sub(u.lastSeen) > peerLoadLifetime {
			delete(r.unevenServices, service)
		}
	}
}

// ReportUsed tells by which load report an upstream was evaluated.
type ReportUsed struct {
	// Age is the age of the report; 0 if there is none, or if the upstreams of the service
	// report no slowdowns.
	Age  time.Duration
	Peer bool // the report came from another node than that beside the upstream
}

func (s *upstreamState) reportUsed(now time.Time, uneven *unevenService) ReportUsed {
	if uneven == nil || s.reportedAt.IsZero() {
		return ReportUsed{}
	}
	return ReportUsed{Age: now.Sub(s.reportedAt), Peer: s.reportedAt.After(s.loadAt)}
}
