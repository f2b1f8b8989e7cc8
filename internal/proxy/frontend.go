package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// Dispatcher finds the way to the node beside an upstream.
type Dispatcher interface {
	// TransportTo returns the way to an instance. An error means that nothing was sent.
	TransportTo(ctx context.Context, in membership.Instance) (http.RoundTripper, error)
}

// Frontend serves callers: it routes each request on the snapshot in force
// when the request came, and hands it to the node beside the chosen upstream.
type Frontend struct {
	cfg      FrontendConfig
	holder   *snapshot.Holder
	members  routing.Members
	dispatch Dispatcher
	metrics  *Metrics
	ready    func() bool

	inFlight    atomic.Int64
	buffered    atomic.Int64 // bytes of bodies kept
	maxInFlight int64
	leaving     atomic.Pointer[ShutdownSchedule] // nil as long as this node stays
	refusing    atomic.Bool
	held        atomic.Int64    // bytes of answers kept as this node leaves
	endingRuns  context.Context // ends with EndRuns
	endRuns     context.CancelFunc
	ending      context.Context // ends with EndAll
	end         context.CancelFunc

	mu      sync.Mutex // guards what follows
	router  *routing.Router
	budgets map[string]*retry.Budget // by service
	returns *overload.RefusedRequests
	took    *overload.RunTimes // of requests that were answered, as callers see them
	spare   *retry.Budget      // for tries at a busy upstream that may go elsewhere
	rnd     *rand.Rand
}

// FrontendConfig holds the settings of a Frontend.
type FrontendConfig struct {
	Self    membership.Instance
	Routing routing.Config
	Retry   retry.Policy
	Seed    uint64 // of the random choices
	// MaxInFlight bounds the callers' requests in progress, each with up to
	// bufferLimit of body. Default 4096.
	MaxInFlight int
	// Dialect names the headers of callers. Default: DefaultDialect.
	Dialect Dialect
	// BufferLimit is the longest request body kept for a further try, in bytes.
	// Longer ones stream and can be tried again only while untouched. Default
	// 32 KB.
	BufferLimit int64
	// BufferTotal is the sum of kept bodies, in bytes, from which on only bodies
	// of up to 32 KB are kept. It bounds the memory that slow upstreams make
	// uploads take. Default 0: no bound.
	BufferTotal int64
	// ResponseBufferLimit is the longest answer, in bytes, that is read to its end
	// before any of it is passed on, so that one that is cut can still be tried
	// again or reported. Default 0: every answer streams.
	ResponseBufferLimit int64
	// ShutdownBufferLimit takes the place of WholeAnswers while this node leaves, as
	// long as their sum stays under ShutdownBufferTotal, in bytes. Default 0: none.
	ShutdownBufferLimit, ShutdownBufferTotal int64
	// IgnoreKeys passes idempotency keys on as any other header: no node is
	// their home.
	IgnoreKeys bool
	// Record takes the records of requests that failed, were refused, tried
	// again or slow; nil for none.
	Record Recorder
	// CallerService returns the service beside this node, for
	// Dialect.CallerService.
	CallerService func() string
	// Staleness returns how old the news of the upstreams are, for records. Default:
	// not known, 0.
	Staleness func(now time.Time) time.Duration
	// TableAge returns the time since the table in force was taken, for records.
	// Default: not known, 0.
	TableAge func(now time.Time) time.Duration
	// Quarantine is as in BackendConfig.
	Quarantine Quarantine
	// Quota bounds the requests of customers. Default: nothing does.
	Quota Quota
	// BodyLimit returns the longest request body allowed, in bytes; 0 for any.
	BodyLimit func() int64
}

func (cfg *FrontendConfig) setDefaults() {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultInFlight
	}
	if cfg.Dialect == (Dialect{}) {
		cfg.Dialect = DefaultDialect()
	}
	if cfg.BufferLimit == 0 {
		cfg.BufferLimit = defaultBufferLimit
	}
	if cfg.CallerService == nil {
		service := cfg.Self.Service
		cfg.CallerService = func() string { return service }
	}
	if cfg.Staleness == nil {
		cfg.Staleness = func(time.Time) time.Duration { return 0 }
	}
	if cfg.TableAge == nil {
		cfg.TableAge = func(time.Time) time.Duration { return 0 }
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = noQuarantine{}
	}
	if cfg.Quota == nil {
		cfg.Quota = noQuota{}
	}
	if cfg.BodyLimit == nil {
		cfg.BodyLimit = func() int64 { return 0 }
	}
}

// defaultInFlight is the default of FrontendConfig.MaxInFlight.
const defaultInFlight = 4096

// NewFrontend returns a frontend. ready says whether requests may be served.
func NewFrontend(cfg FrontendConfig, holder *snapshot.Holder, members routing.Members, d Dispatcher, m *Metrics, ready func() bool) *Frontend {
	cfg.setDefaults()
	endingRuns, endRuns := context.WithCancel(context.Background())
	ending, end := context.WithCancel(context.Background())
	return &Frontend{
		endingRuns:  endingRuns,
		endRuns:     endRuns,
		ending:      ending,
		end:         end,
		cfg:         cfg,
		maxInFlight: int64(cfg.MaxInFlight),
		holder:      holder,
		members:     members,
		dispatch:    d,
		metrics:     m,
		ready:       ready,
		router:      routing.NewRouter(cfg.Routing, cfg.Self),
		budgets:     make(map[string]*retry.Budget),
		returns:     overload.NewRefusedRequests(),
		took:        overload.NewRunTimes(),
		spare:       retry.NewBudget(sparePolicy),
		rnd:         rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// sparePolicy bounds the requests that ask for a slot at once and are sent on
// when there is none: they add hand-overs, never work at an upstream.
var sparePolicy = retry.Policy{Ratio: 0.2, Reserve: 20}

// unroutedKind labels requests that match no route.
const unroutedKind = "none"

// ServeHTTP answers one request of a caller.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := clock.Now()
	snap := f.holder.Current()
	if reason := f.unready(snap); reason != "" {
		f.fail(w, r, start, notRun(http.StatusServiceUnavailable, retry.Refused, reason, defaultRetryAfter))
		return
	}
	if f.inFlight.Add(1) > f.maxInFlight {
		f.inFlight.Add(-1)
		f.fail(w, r, start, notRun(http.StatusServiceUnavailable, retry.Limited, reasonFull, defaultRetryAfter))
		return
	}
	defer f.inFlight.Add(-1)
	route := snap.Match(r.Host, r.Method, rawPath(r))
	if route == nil {
		f.fail(w, r, start, notRun(http.StatusNotFound, retry.Refused, reasonNoRoute, 0))
		return
	}
	customer, problem := f.cfg.Dialect.customerOf(snap, route, r.Header)
	if problem != nil {
		f.metrics.refused(problem.Reason)
		f.fail(w, r, start, problem)
		return
	}
	x := f.newExchange(r, start, snap, route, customer)
	x.recognise()
	x.noteLeaving()
	if !x.taken() {
		x.finish(w, f.answer(notRun(http.StatusServiceUnavailable, retry.Refused, reasonLeaving, defaultRetryAfter), r))
		return
	}
	ctx, cancel := x.untilEnd(r.Context())
	defer cancel()
	x.serve(ctx, w)
}

// newExchange returns the exchange of a request on a route, whose customer is known.
func (f *Frontend) newExchange(r *http.Request, start time.Time, snap *snapshot.Snapshot, route *snapshot.Route, customer *table.Customer) *exchange {
	service := f.share(snap, route)
	kind, priority := rank(route, customer)
	x := &exchange{
		f:        f,
		route:    route,
		service:  service,
		customer: customer,
		kind:     kind,
		priority: priority,
		version:  snap.ID,
		req:      r,
		start:    start,
		deadline: start.Add(f.cfg.Dialect.callerTimeout(r.Header, route.Timeout)),
		first:    start,
		env: Envelope{
			Service:    service.Name,
			Kind:       kind,
			KindWeight: route.KindWeight * overload.Weight(priority, route.Objective, false),
			Idempotent: route.Idempotent,
			Tenant:     f.cfg.Dialect.tenant(customer, r.Header),
			Key:        r.Header.Get(HeaderKey),
		},
	}
	if f.cfg.IgnoreKeys {
		x.env.Key = ""
	}
	return x
}

// InFlight returns the callers' requests in progress.
func (f *Frontend) InFlight() int64 { return f.inFlight.Load() }

// unready says why no request is served now; empty if they are.
func (f *Frontend) unready(snap *snapshot.Snapshot) string {
	switch {
	case snap == nil:
		return reasonNoTable
	case !f.ready():
		return reasonNotInSync
	}
	return ""
}

func (f *Frontend) fail(w http.ResponseWriter, r *http.Request, start time.Time, p *Problem) {
	f.metrics.finished(unroutedKind, "", string(p.Outcome), clock.Since(start), 0)
	_, _ = copyResponse(w, f.answer(p, r))
}

// answer builds the answer of a problem for a caller.
func (f *Frontend) answer(p *Problem, r *http.Request) *http.Response {
	resp := p.response(r)
	if p.RetryAfterMs > 0 {
		resp.Header.Set("Retry-After", f.cfg.Dialect.retryAfter(time.Duration(p.RetryAfterMs)*time.Millisecond))
	}
	if id := f.cfg.Dialect.RequestID; id != "" {
		resp.Header.Set(id, r.Header.Get(id))
	}
	return resp
}
