package routing

import (
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/decay"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
)

// Members looks up the instance of an upstream by its name.
type Members func(name string) (membership.Member, bool)

// Router chooses upstreams for one node and keeps what the node has observed of them. It
// is not safe for concurrent use.
type Router struct {
	cfg       Config
	self      membership.Instance
	upstreams map[string]*upstreamState
	// scratch is the buffer for the candidates of a choice, reused so that a choice among
	// 108 upstreams doesn't allocate 65 KB (BenchmarkPick).
	scratch []Candidate
	choices map[string]*decay.Rate // by service
	// serviceTimes holds the mean reported service time over the upstreams of each
	// service, smoothed, in seconds.
	serviceTimes map[string]float64
	fastest      map[string]fastUpstreams // by service, of the own data centre only
	leaving      map[string]announcedLeaving
	// unevenServices holds the services whose upstreams report slowdowns, by name.
	unevenServices map[string]*unevenService
}

// NewRouter returns a router for the instance self that has observed nothing yet.
func NewRouter(cfg Config, self membership.Instance) *Router {
	return &Router{cfg: cfg, self: self, upstreams: make(map[string]*upstreamState), choices: make(map[string]*decay.Rate), serviceTimes: make(map[string]float64), fastest: make(map[string]fastUpstreams), leaving: make(map[string]announcedLeaving), unevenServices: make(map[string]*unevenService)}
}

// Candidates returns every upstream of the service with its exclusion, if it has one.
func (r *Router) Candidates(now time.Time, req Request, members Members) []Candidate {
	req.uneven = r.uneven(now, req.Service.Name)
	return r.appendCandidates(make([]Candidate, 0, len(req.Service.Upstreams)), now, req, members)
}

// appendCandidates appends all upstreams of the service to out, which must be empty.
func (r *Router) appendCandidates(out []Candidate, now time.Time, req Request, members Members) []Candidate {
	for _, u := range req.Service.Upstreams {
		out = append(out, Candidate{Upstream: u})
		r.evaluate(&out[len(out)-1], now, req, members)
	}
	r.applyPanicThreshold(out)
	return out
}

// stateOf returns the state of an instance's upstream. A later process under the same
// name gets a new state: nothing observed of an earlier process applies to it, and
// requests still in flight to that one occupy no slots of the new one.
func (r *Router) stateOf(now time.Time, m membership.Member) *upstreamState {
	s, ok := r.upstreams[m.Name]
	if ok && s.generation >= m.Generation {
		return s
	}
	next := &upstreamState{name: m.Name, service: m.Service, sameDataCentre: m.DataCentre == r.self.DataCentre, generation: m.Generation, waitingSince: now, slowStartAt: r.slowStartTime(now, m, ok)}
	r.upstreams[m.Name] = next
	return next
}

// slowStartTime returns when the slow start of an instance began; zero if it is warm.
// known reports whether an earlier process of the same name was observed. An instance
// that this node sees for the first time isn't treated as cold unless it started less
// than Config.SlowStart ago. With Config.ColdFromMembers only ColdSince of the instance
// counts.
func (r *Router) slowStartTime(now time.Time, m membership.Member, known bool) time.Time {
	started := m.ColdSince
	if !r.cfg.ColdFromMembers {
		started = time.UnixMilli(int64(m.Generation))
		if known {
			started = now
		}
	}
	if now.Sub(started) >= r.cfg.SlowStart {
		return time.Time{}
	}
	return started
}

// Start counts a request sent to an instance.
func (r *Router) Start(now time.Time, in membership.Instance) {
	s, ok := r.upstreams[in.Name]
	if !ok || in.Generation < s.generation {
		return
	}
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	s.inFlight++
	s.recordStart(now)
	s.allowance.spend()
	s.limit.start(now)
}

// ResponseStarted records that an upstream has sent a response to a request, which may
// still be in progress.
func (r *Router) ResponseStarted(now time.Time, name string) {
	if s, ok := r.upstreams[name]; ok {
		s.waitingSince = now
	}
}

// Outcome is how a request to an upstream ended.
type Outcome struct {
	// Generation is the generation of the instance that the request was sent to; 0 if
	// unknown. Outcomes of an earlier generation than the present one are ignored.
	Generation uint64
	// Failed reports whether the upstream or the connection to it failed. A refusal for
	// lack of a slot is not a failure.
	Failed bool
	// WrongInstance reports whether the address answered for another instance, which
	// means that the requested instance has ended.
	WrongInstance bool
	// OverLimit reports whether the request was refused because of the limit that the
	// upstream advertises.
	OverLimit bool
	Latency   time.Duration // time to the response; 0 if there was none
	Load      *LoadReport   // nil if the response had none
	Kind      string        // request kind
	Late      bool          // the request was queued as a late one
	// NetworkTime is the part of Latency spent neither at the node nor at the upstream; 0
	// if unknown.
	NetworkTime time.Duration
}

// latencySmoothing is the weight of the latest latency in the smoothed one.
const latencySmoothing = 0.1

// End records the outcome of a request that Start counted.
func (r *Router) End(now time.Time, rnd *rand.Rand, name string, o Outcome) {
	s, ok := r.upstreams[name]
	if !ok || o.Generation != 0 && o.Generation < s.generation {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.WrongInstance {
		s.wrongInstanceUntil = now.Add(wrongInstanceTTL)
	}
	s.observeOutcome(r.cfg, now, rnd, o.Failed)
	if !o.Failed {
		s.waitingSince = now
	}
	if o.Load != nil {
		report := o.Load.atUsualSpeed(now)
		o.Load = &report
		r.observeServiceTime(s.service, o.Load.Service)
		r.updateFastest(s, name, o)
		s.adoptReport(report, report.arrivedAt(now))
		r.observeUneven(now, s)
		s.limit.observe(now, rnd, o.Load, o.OverLimit)
		s.recordWait(now, overload.QueueKind(o.Kind, o.Late), o.Load.Wait)
		s.recordRunTimes(now, o.Kind, o.Load.Runs)
	}
	if o.NetworkTime > 0 {
		s.observeNetworkTime(now, o.NetworkTime)
	}
	if o.Latency > 0 {
		s.latency += latencySmoothing * (o.Latency.Seconds() - s.latency)
	}
}

// Prune drops the state of upstreams for which keep returns false, except while requests
// to them are in flight.
func (r *Router) Prune(now time.Time, keep func(name string) bool) {
	r.pruneLeaving(now, keep)
	r.pruneUneven(now)
	for name, s := range r.upstreams {
		if s.inFlight == 0 && !keep(name) {
			delete(r.upstreams, name)
		}
	}
}

// serviceTimeSmoothing is the weight of the latest report in the mean service time of a
// service.
const serviceTimeSmoothing = 0.05

// observeServiceTime adds a reported service time to the mean of a service.
func (r *Router) observeServiceTime(service string, reported time.Duration) {
	if reported <= 0 {
		return
	}
	old, ok := r.serviceTimes[service]
	if !ok {
		old = reported.Seconds()
	}
	r.serviceTimes[service] = old + serviceTimeSmoothing*(reported.Seconds()-old)
}

// defaultServiceTime, in seconds, is used for a service without any reported service
// time.
const defaultServiceTime = 0.1

// typicalServiceTime returns the mean service time of a service, in seconds, for
// upstreams that have reported none.
func (r *Router) typicalServiceTime(service string) float64 {
	if t, ok := r.serviceTimes[service]; ok {
		return t
	}
	return defaultServiceTime
}

// updateFastest updates the fastest upstreams of the service from the outcome of a
// request, which must have a load report.
func (r *Router) updateFastest(s *upstreamState, name string, o Outcome) {
	if !s.sameDataCentre {
		return
	}
	known := r.fastest[s.service]
	if o.Failed || o.Load.Service <= 0 {
		r.fastest[s.service] = known.without(name)
		return
	}
	r.fastest[s.service] = known.update(name, o.Load.Service)
}
