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

// Dispatcher provides transports to the nodes beside upstreams.
type Dispatcher interface {
	// TransportTo returns the transport to an instance. An error means that nothing was
	// sent.
	TransportTo(ctx context.Context, in membership.Instance) (http.RoundTripper, error)
}

// Frontend serves callers: it routes each request by the snapshot in force when the
// request arrived, and forwards it to the node beside the chosen upstream.
type Frontend struct {
	cfg        FrontendConfig
	holder     *snapshot.Holder
	members    routing.Members
	dispatcher Dispatcher
	metrics    *Metrics
	ready      func() bool

	inFlight         atomic.Int64
	bufferedBodies   atomic.Int64 // bytes of buffered request bodies
	arrivals         *arrivals    // request bodies that are not whole yet
	streams          atomic.Int64 // requests whose bodies stream
	maxInFlight      int64
	shutdown         atomic.Pointer[ShutdownSchedule] // nil unless this node shuts down
	refusing         atomic.Bool
	shutdownBuffered atomic.Int64    // bytes of responses buffered because of the shutdown
	unansweredCtx    context.Context // cancelled by CancelUnanswered
	cancelUnanswered context.CancelFunc
	requestsCtx      context.Context // cancelled by CancelAll
	cancelRequests   context.CancelFunc

	awaited *awaitedResponses

	mu              sync.Mutex // guards the fields below
	router          *routing.Router
	budgets         map[string]*retry.RankedBudget // by service
	refusedRequests *overload.RefusedRequests
	responseTimes   *overload.RunTimes // of answered requests, as callers see them
	noWaitBudget    *retry.Budget      // for tries that do not wait for a slot
	moveBudget      *retry.Budget      // for requests that upstreams return while they wait
	rnd             *rand.Rand
}

// FrontendConfig holds the settings of a Frontend.
type FrontendConfig struct {
	Self    membership.Instance
	Routing routing.Config
	Retry   retry.Policy
	Seed    uint64 // of the random choices
	// MaxInFlight bounds the callers' requests in progress, each with up to BufferLimit
	// bytes of body. Default 4096.
	MaxInFlight int
	// Dialect names the callers' headers. Default: DefaultDialect.
	Dialect Dialect
	// BufferLimit is the longest request body that is buffered for further tries, in
	// bytes. Longer ones stream and can be tried again only until they have been read
	// from. Default 32 KB.
	BufferLimit int64
	// BufferTotal bounds the sum of the buffered request bodies, in bytes: once it is
	// reached, only bodies of up to 32 KB are buffered. It limits the memory that
	// uploads take while upstreams are slow. It also bounds the sum of the bodies that are
	// still arriving: beyond it, those that have stalled are given up, and others refused.
	// Default 0: no bound.
	BufferTotal int64
	// ResponseBufferLimit is the longest response, in bytes, that is read to its end
	// before any part of it is forwarded, so that a truncated one can still be retried
	// or reported. Default 0: every response streams.
	ResponseBufferLimit int64
	// ShutdownBufferLimit replaces ResponseBufferLimit while this node shuts down, as
	// long as the sum of the responses so buffered is at most ShutdownBufferTotal, both
	// in bytes. Default 0: it does not apply.
	ShutdownBufferLimit, ShutdownBufferTotal int64
	// IgnoreKeys forwards idempotency keys as any other header: no node owns them.
	IgnoreKeys bool
	// Record receives the records of requests that failed, were refused, were retried
	// or were slow; nil for none.
	Record Recorder
	// OnAbandoned is called with each request whose caller disconnected before it got the
	// response. Default nil: not called.
	OnAbandoned AbandonedRecorder
	// CallerService returns the service beside this node, for Dialect.CallerService.
	// Default: the service of Self.
	CallerService func() string
	// Staleness returns the staleness of the known upstreams, for records. Default: 0,
	// unknown.
	Staleness func(now time.Time) time.Duration
	// TableAge returns the time since the table in force was adopted, for records.
	// Default: 0, unknown.
	TableAge func(now time.Time) time.Duration
	// Quarantine: see BackendConfig.Quarantine.
	Quarantine Quarantine
	// Quota enforces customers' limits. Default: no limits.
	Quota Quota
	// Links: see BackendConfig.Links. The frontend counts the long responses that it awaits
	// from other nodes, and refuses a request whose response could not arrive in time.
	Links *Links
	// BodyLimit returns the longest request body that is accepted, in bytes; 0 for no
	// limit.
	BodyLimit func() int64
}

func (cfg *FrontendConfig) setDefaults() {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.Dialect == (Dialect{}) {
		cfg.Dialect = DefaultDialect()
	}
	if cfg.BufferLimit == 0 {
		cfg.BufferLimit = defaultBufferLimit
	}
	if cfg.OnAbandoned == nil {
		cfg.OnAbandoned = func(AbandonedRequest) {}
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

// defaultMaxInFlight is the default of FrontendConfig.MaxInFlight.
const defaultMaxInFlight = 4096

// NewFrontend returns a frontend. ready reports whether requests may be served.
func NewFrontend(cfg FrontendConfig, holder *snapshot.Holder, members routing.Members, d Dispatcher, m *Metrics, ready func() bool) *Frontend {
	cfg.setDefaults()
	unansweredCtx, cancelUnanswered := context.WithCancel(context.Background())
	requestsCtx, cancelRequests := context.WithCancel(context.Background())
	return &Frontend{
		unansweredCtx:    unansweredCtx,
		cancelUnanswered: cancelUnanswered,
		requestsCtx:      requestsCtx,
		cancelRequests:   cancelRequests,
		cfg:              cfg,
		maxInFlight:      int64(cfg.MaxInFlight),
		holder:           holder,
		members:          members,
		dispatcher:       d,
		metrics:          m,
		ready:            ready,
		awaited:          newAwaitedResponses(),
		arrivals:         newArrivals(cfg.BufferTotal),
		router:           routing.NewRouter(cfg.Routing, cfg.Self),
		budgets:          make(map[string]*retry.RankedBudget),
		refusedRequests:  overload.NewRefusedRequests(),
		responseTimes:    overload.NewRunTimes(),
		noWaitBudget:     retry.NewBudget(noWaitPolicy),
		moveBudget:       retry.NewBudget(movePolicy),
		rnd:              rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// noWaitPolicy bounds the tries that ask for a slot without waiting and go to another
// upstream if there is none. They add forwarded requests, but never work at an
// upstream.
var noWaitPolicy = retry.Policy{Ratio: 0.2, Reserve: 20}

// unroutedKind labels requests that match no route.
const unroutedKind = "none"

// ServeHTTP serves one request of a caller.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := clock.Now()
	snap := f.holder.Current()
	if reason := f.notReadyReason(snap); reason != "" {
		f.writeProblem(w, r, start, notRun(http.StatusServiceUnavailable, retry.Refused, reason, defaultRetryAfter))
		return
	}
	if f.inFlight.Add(1) > f.maxInFlight {
		f.inFlight.Add(-1)
		f.writeProblem(w, r, start, notRun(http.StatusServiceUnavailable, retry.Limited, reasonTooManyRequests, defaultRetryAfter))
		return
	}
	defer f.inFlight.Add(-1)
	route := snap.Match(r.Host, r.Method, rawPath(r))
	if route == nil {
		f.writeProblem(w, r, start, notRun(http.StatusNotFound, retry.Refused, reasonNoRoute, 0))
		return
	}
	customer, problem := f.cfg.Dialect.customerOf(snap, route, r.Header)
	if problem != nil {
		f.metrics.refused(problem.Reason)
		f.writeProblem(w, r, start, problem)
		return
	}
	ex := f.newExchange(r, start, snap, route, customer)
	ex.setObjective()
	ex.startShutdownRecord()
	if !ex.accepted() {
		ex.finish(w, f.problemResponse(notRun(http.StatusServiceUnavailable, retry.Refused, reasonNodeLeaves, defaultRetryAfter), r))
		return
	}
	ctx, cancel := ex.withShutdown(r.Context())
	defer cancel()
	ex.serve(ctx, w)
}

// newExchange returns the exchange of a request whose route and customer are known.
func (f *Frontend) newExchange(r *http.Request, start time.Time, snap *snapshot.Snapshot, route *snapshot.Route, customer *table.Customer) *exchange {
	service := f.chooseService(snap, route)
	kind, priority := kindAndPriority(route, customer)
	ex := &exchange{
		f:            f,
		route:        route,
		service:      service,
		customer:     customer,
		kind:         kind,
		priority:     priority,
		version:      snap.ID,
		req:          r,
		start:        start,
		deadline:     start.Add(f.cfg.Dialect.callerTimeout(r.Header, route.Timeout)),
		firstAttempt: start,
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
		ex.env.Key = ""
	}
	return ex
}

// InFlight returns the number of callers' requests in progress.
func (f *Frontend) InFlight() int64 { return f.inFlight.Load() }

// notReadyReason returns why no request can be served now; empty if requests are
// served.
func (f *Frontend) notReadyReason(snap *snapshot.Snapshot) string {
	switch {
	case snap == nil:
		return reasonNoTable
	case !f.ready():
		return reasonNotInSync
	}
	return ""
}

func (f *Frontend) writeProblem(w http.ResponseWriter, r *http.Request, start time.Time, p *Problem) {
	f.metrics.finished(unroutedKind, "", string(p.Outcome), clock.Since(start), 0)
	_, _ = copyResponse(w, f.problemResponse(p, r))
}

// problemResponse builds the response to a caller for a problem.
func (f *Frontend) problemResponse(p *Problem, r *http.Request) *http.Response {
	resp := p.response(r)
	if p.RetryAfterMs > 0 {
		resp.Header.Set("Retry-After", f.cfg.Dialect.retryAfter(time.Duration(p.RetryAfterMs)*time.Millisecond))
	}
	if id := f.cfg.Dialect.RequestID; id != "" {
		resp.Header.Set(id, r.Header.Get(id))
	}
	return resp
}
