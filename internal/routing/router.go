package routing

import (
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
)

// Members looks up the instance behind an upstream name.
type Members func(name string) (membership.Member, bool)

// Router keeps the evidence of one node. It is not safe for concurrent use.
type Router struct {
	cfg      Config
	self     membership.Instance
	evidence map[string]*evidence
	// scratch holds the candidates of one choice after the other, so that a choice
	// among 108 upstreams leaves no garbage in place of 65 KB (BenchmarkPick).
	scratch []Candidate
	choices map[string]*choices // by service
	// typicals are the service times told by the upstreams of a service, smoothed, in
	// seconds.
	typicals map[string]float64
	quickest map[string]favourites // of the own data centre, by service
}

// NewRouter returns a router of the instance self without evidence.
func NewRouter(cfg Config, self membership.Instance) *Router {
	return &Router{cfg: cfg, self: self, evidence: make(map[string]*evidence), choices: make(map[string]*choices), typicals: make(map[string]float64), quickest: make(map[string]favourites)}
}

// Candidates returns every upstream of the service with the reason it is left
// out, if it is.
func (r *Router) Candidates(now time.Time, req Request, members Members) []Candidate {
	return r.appendCandidates(make([]Candidate, 0, len(req.Service.Upstreams)), now, req, members)
}

// appendCandidates appends them to out, which is empty.
func (r *Router) appendCandidates(out []Candidate, now time.Time, req Request, members Members) []Candidate {
	for _, u := range req.Service.Upstreams {
		out = append(out, Candidate{Upstream: u})
		r.judge(&out[len(out)-1], now, req, members)
	}
	r.relent(out)
	return out
}

// of returns the evidence about an instance. A later process under the same name
// starts anew: nothing that was met of the earlier one says anything of it, and
// what still waits for that one takes no slot of this one.
func (r *Router) of(now time.Time, m membership.Member) *evidence {
	e, ok := r.evidence[m.Name]
	if ok && e.generation >= m.Generation {
		return e
	}
	next := &evidence{service: m.Service, near: m.DataCentre == r.self.DataCentre, generation: m.Generation, unanswered: now, firstSeen: r.coldFrom(now, m, ok)}
	r.evidence[m.Name] = next
	return next
}

// coldFrom is when an instance started as a cold one; zero if it is warm. known
// says that an earlier process under its name was met. One met for the first time
// by this node is not taken for cold unless it started a short while ago.
func (r *Router) coldFrom(now time.Time, m membership.Member, known bool) time.Time {
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
	e, ok := r.evidence[in.Name]
	if !ok || in.Generation < e.generation {
		return
	}
	if e.inFlight == 0 {
		e.unanswered = now
	}
	e.inFlight++
	e.allowance.spend()
}

// ResponseStarted notes that an upstream answered a request, which may go on.
func (r *Router) ResponseStarted(now time.Time, name string) {
	if e, ok := r.evidence[name]; ok {
		e.unanswered = now
	}
}

// Outcome is how a request to an upstream ended, as evidence.
type Outcome struct {
	// Generation is that of the instance to which the request was sent; 0 if it is
	// not known. An earlier one than the present tells nothing of this.
	Generation uint64
	// Failed says that the upstream or the way to it failed; a refusal for
	// want of a slot is no failure.
	Failed bool
	// WrongInstance says that the address answered for another instance, so that the
	// one asked for has ended.
	WrongInstance bool
	Latency       time.Duration // time to the answer; 0 if there was none
	Load          *LoadReport   // what its node said with the answer; nil if nothing
	Kind          string        // class of the request
	Late          bool          // the request waited among the late ones
	// NetworkTime is the part of Latency that was spent neither at the node nor at the
	// upstream; 0 if it is not known.
	NetworkTime time.Duration
}

// latencySmoothing is the weight of the newest latency.
const latencySmoothing = 0.1

// End counts the end of a request that Start counted.
func (r *Router) End(now time.Time, rnd *rand.Rand, name string, o Outcome) {
	e, ok := r.evidence[name]
	if !ok || o.Generation != 0 && o.Generation < e.generation {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if o.WrongInstance {
		e.denied = now.Add(deniedMemory)
	}
	e.observe(r.cfg, now, rnd, o.Failed)
	if !o.Failed {
		e.unanswered = now
	}
	if o.Load != nil {
		r.noteTypical(e.service, o.Load.Service)
		r.noteFavourite(e, name, o)
		e.told, e.toldAt, e.toldFlight = *o.Load, now, e.inFlight
		e.noteWait(now, overload.QueueKind(o.Kind, o.Late), o.Load.Wait)
		e.noteRuns(now, o.Kind, o.Load.Runs)
	}
	if o.NetworkTime > 0 {
		e.noteWay(now, o.NetworkTime)
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

// typicalSmoothing is the weight of the newest service time among those of all upstreams of
// a service.
const typicalSmoothing = 0.05

// noteTypical takes a told service time into the typical one of a service.
func (r *Router) noteTypical(service string, told time.Duration) {
	if told <= 0 {
		return
	}
	old, ok := r.typicals[service]
	if !ok {
		old = told.Seconds()
	}
	r.typicals[service] = old + typicalSmoothing*(told.Seconds()-old)
}

// unknownService stands for the service time of a service of which no node has told any yet.
const unknownService = 0.1

// typical is the service time of an upstream that has told none, in seconds.
func (r *Router) typical(service string) float64 {
	if t, ok := r.typicals[service]; ok {
		return t
	}
	return unknownService
}

// noteFavourite takes an outcome over into the favourites of the service.
func (r *Router) noteFavourite(e *evidence, name string, o Outcome) {
	if !e.near {
		return
	}
	known := r.quickest[e.service]
	if o.Failed || o.Load.Service <= 0 {
		r.quickest[e.service] = known.without(name)
		return
	}
	r.quickest[e.service] = known.note(name, o.Load.Service)
}
