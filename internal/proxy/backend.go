package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// BackendConfig holds the settings of a Backend.
type BackendConfig struct {
	Name     string   // the upstream beside this node
	Upstream *url.URL // its address
	// Slots is the number of requests that the upstream runs concurrently if the table
	// gives none.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	Ledger     ledger.Config
	// Dialect names the upstream's headers. Default: DefaultDialect.
	Dialect Dialect
	// Transport calls the upstream. Default nil: net/http with a connection pool.
	Transport http.RoundTripper
	// OnConnect is called with each request to the upstream; ok says whether a
	// connection could be made. Default nil: not called.
	OnConnect func(ok bool)
	// OnLimit is called with each change of the limit that the upstream advertises. It must
	// not call the Backend. Default nil: not called.
	OnLimit func(admission.AdvertisedLimit)
	// OnInvalidLimit is called with a limit that a response advertises and that is no
	// number of at least 0; it has no effect. Default nil: not called.
	OnInvalidLimit func(text string)
	// OnInvalidLoad is called with the first load of an upstream that can't be read, or that
	// lacks the slowdown that earlier ones had, and again after a slowdown could be read in
	// between. Such a load has no effect; the text is empty if the response had none.
	// Default nil: not called.
	OnInvalidLoad func(text string)
	// OnAbandoned is called with each request of another node that disconnected before it
	// got the response. Default nil: not called.
	OnAbandoned AbandonedRecorder
	// OnLeaving is called when an instance of the upstream first says that it leaves.
	// Default nil: not called.
	OnLeaving func(instance string)
	// RefusesConnections probes whether the upstream refuses connections, as it does
	// once its process has ended. It is called when the connection of a request breaks.
	// Default nil: the upstream is not probed then.
	RefusesConnections func() bool
	// OnCrash is called when the upstream crashes with requests in flight, and again
	// when more requests turn out to have been affected. Default nil: not called.
	OnCrash func(Crash)
	// PeerLoads returns the peer load reports that a response of the named upstream to
	// another node carries, or an empty string. Default nil: responses carry none.
	PeerLoads func(service, upstream string) string
	// Quarantine refuses requests that crash upstreams. Default: no request is refused.
	Quarantine Quarantine
	// ResponseBufferLimit: see FrontendConfig.ResponseBufferLimit.
	ResponseBufferLimit int64
	// MaxReceives is the number of request bodies that are received from other nodes
	// concurrently, each before its request takes a slot. More uses a link with high
	// latency better, fewer leaves a narrow link free for short requests. Default 0:
	// bodies stream to the upstream as they arrive.
	MaxReceives int
	// MaxReceivedBody is the longest request body that is received before its request
	// takes a slot, in bytes.
	MaxReceivedBody int64
	// MaxSends is the number of long responses that are sent to other nodes
	// concurrently, each after its request released its slot. More uses a link with
	// high latency better, fewer leaves a narrow link free for short responses. Default
	// 0: no bound.
	MaxSends int
	// Links is the link of the machine. With it, long responses of kinds that have them on
	// the mean are paced by the link's rate instead of being limited by MaxSends, and a
	// request whose response would be late because of the link is refused. Default nil: the
	// rate is not known.
	Links *Links
	// SendBufferLimit is the longest response that is buffered while it waits to be
	// sent, in bytes. SendBufferTotal bounds the sum of these: once it is reached,
	// responses longer than ResponseBufferLimit stream.
	SendBufferLimit, SendBufferTotal int64
}

// Backend admits requests for the upstream beside this node and calls it. It implements
// http.RoundTripper: the request carries an Envelope in its headers.
type Backend struct {
	cfg              BackendConfig
	holder           *snapshot.Holder
	gate             *admission.Gate
	pooled           http.RoundTripper
	unpooled         http.RoundTripper
	metrics          *Metrics
	inflight         atomic.Int64
	claims           Claimer
	reportsDraining  atomic.Bool
	shutdownDeadline atomic.Pointer[time.Time]       // when this node cuts unanswered requests; nil unless it shuts down
	leavingInstance  atomic.Pointer[string]          // last instance that said that it leaves
	deniedTarget     atomic.Pointer[string]          // last target that the upstream rejected as another instance's
	receiveLimiter   *transferLimiter                // nil if bodies stream to the upstream
	sendLimiter      *transferLimiter                // nil if long responses are not limited
	streamLimiter    atomic.Pointer[transferLimiter] // of slots held by requests whose bodies stream
	sendBuffered     atomic.Int64                    // bytes of responses that wait to be sent
	lifetime         atomic.Pointer[processLifetime] // of the upstream's current process
	invalidLoad      atomic.Bool                     // the last load of the upstream could not be read
	detector         *crashDetector

	mu            sync.Mutex // guards the fields below
	runTimes      *overload.RunTimes
	responseSizes *overload.ResponseSizes
	limits        *admission.Limits
	advertised    admission.LimitTracker
	ledger        *ledger.Ledger
	ownerHistory  *ledger.OwnerHistory
}

// Claimer sends claims on an idempotency key to the nodes beside its earlier owners.
type Claimer interface {
	Claim(ctx context.Context, owner string, k ledger.Key, f ledger.Fence) (ledger.Verdict, error)
}

// maxIdleUpstreamConns bounds the idle connections kept to the upstream.
const maxIdleUpstreamConns = 128

// upstreamDialTimeout bounds dialing the upstream, which runs on the same machine.
const upstreamDialTimeout = time.Second

// NewBackend returns the backend of one upstream.
func NewBackend(cfg BackendConfig, holder *snapshot.Holder, claims Claimer, m *Metrics, now time.Time) *Backend {
	if cfg.Dialect == (Dialect{}) {
		cfg.Dialect = DefaultDialect()
	}
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	pooled := &http.Transport{
		MaxIdleConns:        maxIdleUpstreamConns,
		MaxIdleConnsPerHost: maxIdleUpstreamConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// The default of 10 MB holds that much for each request to a faulty upstream.
		MaxResponseHeaderBytes: int64(http1.DefaultLimits().HeaderBytes),
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	b := &Backend{
		cfg:           cfg,
		holder:        holder,
		gate:          admission.NewGate(admission.Config{Slots: cfg.Slots, QueueLimit: cfg.QueueLimit, StartedAt: now}),
		pooled:        http1.NewCheckedTransport(pooled, dialer),
		unpooled:      http1.NewCheckedTransport(unpooled, dialer),
		metrics:       m,
		claims:        claims,
		runTimes:      overload.NewRunTimes(),
		responseSizes: overload.NewResponseSizes(),
		limits:        admission.NewLimits(),
		ledger:        ledger.New(cfg.Ledger, now),
		ownerHistory:  ledger.NewOwnerHistory(cfg.Ledger),
		detector:      newCrashDetector(cfg.RefusesConnections, cfg.OnCrash),
	}
	b.lifetime.Store(newProcessLifetime())
	b.limitStreams(cfg.Slots)
	if cfg.OnConnect == nil {
		b.cfg.OnConnect = func(bool) {}
	}
	if cfg.OnAbandoned == nil {
		b.cfg.OnAbandoned = func(AbandonedRequest) {}
	}
	if cfg.OnLeaving == nil {
		b.cfg.OnLeaving = func(string) {}
	}
	if cfg.OnInvalidLimit == nil {
		b.cfg.OnInvalidLimit = func(string) {}
	}
	if cfg.OnInvalidLoad == nil {
		b.cfg.OnInvalidLoad = func(string) {}
	}
	if cfg.OnLimit == nil {
		b.cfg.OnLimit = func(admission.AdvertisedLimit) {}
	}
	if cfg.Quarantine == nil {
		b.cfg.Quarantine = noQuarantine{}
	}
	if cfg.MaxReceives > 0 {
		b.receiveLimiter = newTransferLimiter(cfg.MaxReceives)
	}
	if cfg.MaxSends > 0 {
		b.sendLimiter = newTransferLimiter(cfg.MaxSends)
	}
	return b
}

// Apply adopts the slots, limits and key owners of the snapshot in force.
func (b *Backend) Apply(snap *snapshot.Snapshot) {
	now := clock.Now()
	slots := b.cfg.Slots
	if upstream := snap.Upstream(b.cfg.Name); upstream != nil && upstream.Concurrency > 0 {
		slots = upstream.Concurrency
	}
	b.mu.Lock()
	b.ownerHistory.Add(now, snap)
	if tableLimits, ok := rowLimits(snap, b.cfg.Name); ok {
		b.limits.Set(now, tableLimits)
	}
	b.mu.Unlock()
	b.SetSlots(slots)
}

// rowLimits collects the table's limits of an upstream and its service; false if the
// table does not list the upstream.
func rowLimits(snap *snapshot.Snapshot, name string) (admission.RowLimits, bool) {
	upstream := snap.Upstream(name)
	if upstream == nil {
		return admission.RowLimits{}, false
	}
	svc := snap.Service(upstream.Service)
	limits := admission.RowLimits{
		ServiceRate:        svc.Rate,
		ServiceConcurrency: svc.Concurrency,
		UpstreamRate:       upstream.Rate,
	}
	total := svc.TotalWeight()
	for i, sibling := range svc.Upstreams {
		limits.Shares = append(limits.Shares, sibling.Weight/total)
		if sibling.Name == name {
			limits.Self = i
		}
	}
	return limits, true
}

// SetSlots changes the number of requests that the upstream runs concurrently if the
// table gives none.
func (b *Backend) SetSlots(n int) {
	b.gate.SetSlots(n)
	b.limitStreams(n)
}

// SetDraining makes the backend refuse further requests, or accept them again.
func (b *Backend) SetDraining(on bool) { b.gate.SetDraining(on) }

// RefuseAll refuses further requests and those that wait for a slot, with the given
// reason. It is used when the upstream leaves or must get no requests: a request may
// wait as long as its objective allows, and would otherwise reach the upstream after
// all other nodes have stopped sending to it.
func (b *Backend) RefuseAll(reason admission.Reason) { b.gate.RefuseAll(reason) }

// Restriction describes why the upstream gets no requests now, or fewer; empty if it is
// unrestricted.
func (b *Backend) Restriction() string {
	if reason := b.gate.Closed(); reason != admission.ReasonNone {
		return string(reason)
	}
	if leaving := b.leavingInstance.Load(); leaving != nil {
		return *leaving + " leaves"
	}
	if limit := b.advertisedLimit(); limit.InForce {
		return fmt.Sprintf("takes %g requests a second", limit.PerSecond)
	}
	if cold := b.gate.Forecast("", 1).Cold; cold > 0 {
		return fmt.Sprintf("%s for %v more", admission.ReasonCold, cold.Round(time.Millisecond))
	}
	return ""
}

// SetColdRate bounds the requests that the upstream gets in any second while it is
// cold; 0 means no bound.
func (b *Backend) SetColdRate(perSecond float64) { b.gate.SetColdRate(perSecond) }

// SetCold sets the time until which the upstream is cold.
func (b *Backend) SetCold(until time.Time) { b.gate.SetCold(until) }

// SetLeaving makes every response's load report say that this node is draining, while
// it still accepts requests.
func (b *Backend) SetLeaving(on bool) { b.reportsDraining.Store(on) }

// SetShutdownDeadline announces that this node shuts down and cuts requests that are
// unanswered at the given time.
func (b *Backend) SetShutdownDeadline(deadline time.Time) { b.shutdownDeadline.Store(&deadline) }

// InFlight returns the number of requests that are being processed.
func (b *Backend) InFlight() int64 { return b.inflight.Load() }

// Load returns the slots in use and the number of waiting requests.
func (b *Backend) Load() admission.Load { return b.gate.Load() }

// RoundTrip admits the request, calls the upstream and returns its response, or the
// response of a refusal. It never returns an error.
func (b *Backend) RoundTrip(req *http.Request) (*http.Response, error) {
	return b.admit(req, false), nil
}

// admit is RoundTrip for a request of this node or, if remote, of another one.
func (b *Backend) admit(req *http.Request, remote bool) *http.Response {
	env, err := readEnvelope(req.Header)
	if err != nil {
		return b.refuse(req, env, notRun(http.StatusBadRequest, retry.Refused, reasonBadRequest, 0))
	}
	if !b.isTarget(env.Target) {
		return b.refuse(req, env, admissionProblem(admission.Verdict{Reason: admission.ReasonWrongTarget, RetryAfter: defaultRetryAfter}))
	}
	if b.isLeaving(env.Target) {
		return b.refuse(req, env, admissionProblem(admission.Verdict{Reason: admission.ReasonDraining, RetryAfter: defaultRetryAfter}))
	}
	b.hintLimit(env)
	if remote {
		b.cfg.Links.countReceived(req)
	}
	b.inflight.Add(1)
	call := &backendCall{b: b, env: env, req: req, start: clock.Now(), remote: remote}
	resp, problem := call.run()
	if problem != nil {
		b.inflight.Add(-1)
		call.noteAbandoned(problem.Reason)
		resp = b.refuse(req, env, problem)
	}
	if remote {
		b.cfg.Links.countSent(resp)
		b.setPeerLoads(resp.Header, env)
	}
	resp.Header.Set(headerHeld, strconv.FormatInt(clock.Since(call.start).Microseconds(), 10))
	return resp
}

// isTarget reports whether the upstream beside this node can be the request's target.
func (b *Backend) isTarget(target string) bool {
	if denied := b.deniedTarget.Load(); denied != nil && *denied == target {
		return false
	}
	return b.cfg.Name == "" || target == b.cfg.Name
}

func (b *Backend) refuse(req *http.Request, env Envelope, p *Problem) *http.Response {
	b.metrics.refused(p.Reason)
	resp := p.response(req)
	b.setReportHeaders(resp.Header, env, req.ContentLength > receiveThreshold)
	return resp
}

// setReportHeaders adds the load report and the run times of the request's kind, which
// the caller's node reads from every response. longBody says that the request's body
// has to be received before admission.
func (b *Backend) setReportHeaders(h http.Header, env Envelope, longBody bool) {
	forecast := b.gate.Forecast(env.queueKind(), env.KindWeight)
	forecast.Wait = b.waitWithLink(env.Kind, forecast.Wait)
	if b.receiveLimiter != nil && longBody {
		forecast.Wait = b.waitWithBody(forecast.Wait)
	}
	report := strconv.AppendInt(make([]byte, 0, 48), int64(forecast.InUse), 10)
	for _, n := range [...]int64{int64(forecast.Slots), int64(forecast.Waiting), forecast.Service.Microseconds(), forecast.Wait.Microseconds()} {
		report = strconv.AppendInt(append(report, '/'), n, 10)
	}
	if b.gate.Closed() != admission.ReasonNone || b.reportsDraining.Load() {
		report = append(report, "/"+loadDraining...)
	}
	if b.isLeaving(env.Target) {
		report = append(report, "/"+loadLeaving...)
	}
	report = b.appendLimit(report, env)
	report = b.appendSlowdown(report)
	if forecast.Cold > 0 {
		report = strconv.AppendInt(append(report, "/"+loadColdPrefix...), forecast.Cold.Milliseconds()+1, 10)
	}
	h.Set(headerLoad, string(report))
	typical, safe := b.runTimeQuantile(env.Kind, overload.TypicalRunQuantile), b.runTimeQuantile(env.Kind, overload.SafeRunQuantile)
	h.Set(headerRunTimes, strconv.FormatInt(typical.Microseconds(), 10)+"/"+strconv.FormatInt(safe.Microseconds(), 10))
	setIf(h, HeaderServedBy, b.cfg.Name)
}

// runTimeQuantile returns the time within which the given share of the requests of a
// kind run at the present speed of the upstream; 0 if unknown.
func (b *Backend) runTimeQuantile(kind string, share float64) time.Duration {
	b.mu.Lock()
	usual := b.runTimes.Quantile(kind, share)
	b.mu.Unlock()
	return b.gate.Slowdown().Scale(clock.Now(), usual)
}

// maxWait returns how long a request may wait for a slot; false if its wait is not
// bounded.
func (b *Backend) maxWait(env Envelope) (time.Duration, bool) {
	if env.Objective == nil {
		return 0, false
	}
	safe := b.runTimeQuantile(env.Kind, overload.SafeRunQuantile)
	return overload.MaxWait(env.Objective.Left, safe, b.gate.SlotInterval(), env.Objective.Late), true
}
