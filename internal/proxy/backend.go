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
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// BackendConfig holds the settings of a Backend.
type BackendConfig struct {
	Name     string   // the upstream beside this node
	Upstream *url.URL // its address
	// Slots is the number of requests it works on at once, where the table
	// gives none.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	Ledger     ledger.Config
	// Dialect names the headers of the upstream. Default: DefaultDialect.
	Dialect Dialect
	// Transport calls the upstream; nil means net/http with a pool.
	Transport http.RoundTripper
	// OnConnect is called with each request to the upstream: whether a connection to it
	// could be made. Nil for none.
	OnConnect func(ok bool)
	// RefusesConnections reports whether the upstream refuses connections now, as it does when its
	// process has ended; it is asked when the connection of a request broke. Nil: falls
	// of the upstream are not noticed.
	RefusesConnections func() bool
	// OnCrash is told of a fall of the upstream under requests, more than once if more is
	// learnt of it. Nil for none.
	OnCrash func(Crash)
	// Quarantine holds requests back that end upstreams. Default: none are.
	Quarantine Quarantine
	// ResponseBufferLimit is as in FrontendConfig.
	ResponseBufferLimit int64
	// MaxReceives is the number of bodies that are received from other nodes at
	// once, each before its request takes a slot. More fills a long link, fewer
	// leaves a narrow one free for short requests. Default 0: bodies go on to the
	// upstream as they come.
	MaxReceives int
	// MaxReceivedBody is the longest body received so, in bytes.
	MaxReceivedBody int64
	// MaxSends is the number of long answers that are sent to other nodes at once,
	// each after its request gave its slot back. More fills a long link, fewer
	// leaves a narrow one free for short answers. Default 0: no bound.
	MaxSends int
	// SendBufferLimit is the longest answer kept for its turn, in bytes, and
	// SendBufferTotal the sum of all that are kept, from which on longer ones than
	// WholeAnswers stream.
	SendBufferLimit, SendBufferTotal int64
}

// Backend admits work for the upstream beside it and calls it. It implements
// http.RoundTripper: the request carries an Envelope in its headers.
type Backend struct {
	cfg      BackendConfig
	holder   *snapshot.Holder
	gate     *admission.Gate
	pooled   http.RoundTripper
	fresh    http.RoundTripper
	metrics  *Metrics
	inflight atomic.Int64
	claims   Claimer
	leaving  atomic.Bool
	end      atomic.Pointer[time.Time] // when this node cuts what runs; nil as long as it stays
	denied   atomic.Pointer[string]    // the last instance that the upstream's address denied
	receiver *turns                    // nil if bodies are not received first
	sender   *turns                    // nil if long answers are sent as they come
	kept     atomic.Int64              // bytes of answers kept for their turn
	life     atomic.Pointer[life]      // of the upstream
	falls    *fallWatch

	mu      sync.Mutex // guards what follows
	runs    *overload.RunTimes
	sizes   *overload.ResponseSizes
	limits  *admission.Limits
	ledger  *ledger.Ledger
	history *ledger.OwnerHistory
}

// Claimer asks the node beside an earlier home of a key about it.
type Claimer interface {
	Claim(ctx context.Context, home string, k ledger.Key, f ledger.Fence) (ledger.Verdict, error)
}

// upstreamConns bounds the idle connections kept to the upstream.
const upstreamConns = 128

// upstreamDial bounds the connection to the upstream, which is on this machine.
const upstreamDial = time.Second

// NewBackend returns the backend of one upstream.
func NewBackend(cfg BackendConfig, holder *snapshot.Holder, claims Claimer, m *Metrics, now time.Time) *Backend {
	if cfg.Dialect == (Dialect{}) {
		cfg.Dialect = DefaultDialect()
	}
	dialer := &net.Dialer{Timeout: upstreamDial}
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        upstreamConns,
		MaxIdleConnsPerHost: upstreamConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	b := &Backend{
		cfg:     cfg,
		holder:  holder,
		gate:    admission.NewGate(admission.Config{Slots: cfg.Slots, QueueLimit: cfg.QueueLimit}),
		pooled:  pooled,
		fresh:   fresh,
		metrics: m,
		claims:  claims,
		runs:    overload.NewRunTimes(),
		sizes:   overload.NewResponseSizes(),
		limits:  admission.NewLimits(),
		ledger:  ledger.New(cfg.Ledger, now),
		history: ledger.NewOwnerHistory(cfg.Ledger),
		falls:   newFallWatch(cfg.RefusesConnections, cfg.OnCrash),
	}
	b.life.Store(newLife())
	if cfg.OnConnect == nil {
		b.cfg.OnConnect = func(bool) {}
	}
	if cfg.Quarantine == nil {
		b.cfg.Quarantine = noQuarantine{}
	}
	if cfg.MaxReceives > 0 {
		b.receiver = newTurns(cfg.MaxReceives)
	}
	if cfg.MaxSends > 0 {
		b.sender = newTurns(cfg.MaxSends)
	}
	return b
}

// Apply takes over the slots, limits and homes of the snapshot in force.
func (b *Backend) Apply(snap *snapshot.Snapshot) {
	now := clock.Now()
	slots := b.cfg.Slots
	if u := snap.Upstream(b.cfg.Name); u != nil && u.Concurrency > 0 {
		slots = u.Concurrency
	}
	b.mu.Lock()
	b.history.Add(now, snap)
	if row, ok := limitRow(snap, b.cfg.Name); ok {
		b.limits.Set(now, row)
	}
	b.mu.Unlock()
	b.gate.SetSlots(slots)
}

// limitRow collects what the table says about an upstream and its service.
func limitRow(snap *snapshot.Snapshot, name string) (admission.RowLimits, bool) {
	u := snap.Upstream(name)
	if u == nil {
		return admission.RowLimits{}, false
	}
	svc := snap.Service(u.Service)
	row := admission.RowLimits{
		ServiceRate:        svc.Rate,
		ServiceConcurrency: svc.Concurrency,
		UpstreamRate:       u.Rate,
	}
	total := svc.TotalWeight()
	for i, sib := range svc.Upstreams {
		row.Shares = append(row.Shares, sib.Weight/total)
		if sib.Name == name {
			row.Self = i
		}
	}
	return row, true
}

// SetSlots changes the number of requests that the upstream works on at once,
// where no table gives it.
func (b *Backend) SetSlots(n int) { b.gate.SetSlots(n) }

// SetDraining refuses further work, or takes it again.
func (b *Backend) SetDraining(on bool) { b.gate.SetDraining(on) }

// RefuseAll refuses further work and what waits for a slot, as the upstream leaves or is
// to get nothing: a request that waits up to its objective would reach it after all
// others know of it.
func (b *Backend) RefuseAll(why admission.Reason) { b.gate.RefuseAll(why) }

// Restriction says why the upstream gets no work now, or less; empty if nothing holds it
// back.
func (b *Backend) Restriction() string {
	if closed := b.gate.Closed(); closed != admission.ReasonNone {
		return string(closed)
	}
	if cold := b.gate.Forecast("", 1).Cold; cold > 0 {
		return fmt.Sprintf("%s for %v more", admission.ReasonCold, cold.Round(time.Millisecond))
	}
	return ""
}

// SetColdRate bounds the requests that the upstream gets in any second while it is cold;
// 0 sets no bound.
func (b *Backend) SetColdRate(perSecond float64) { b.gate.SetColdRate(perSecond) }

// SetCold says until when the upstream is cold.
func (b *Backend) SetCold(until time.Time) { b.gate.SetCold(until) }

// SetLeaving tells callers' nodes with each answer that this node leaves soon,
// while it still takes work.
func (b *Backend) SetLeaving(on bool) { b.leaving.Store(on) }

// SetShutdownDeadline says that this node leaves and cuts at a time what is not answered by then.
func (b *Backend) SetShutdownDeadline(end time.Time) { b.end.Store(&end) }

// InFlight returns the requests admitted and not yet ended.
func (b *Backend) InFlight() int64 { return b.inflight.Load() }

// Load returns the slots in use.
func (b *Backend) Load() admission.Load { return b.gate.Load() }

// RoundTrip admits the request, calls the upstream and returns its answer, or
// the answer of a refusal. It never returns an error.
func (b *Backend) RoundTrip(req *http.Request) (*http.Response, error) {
	return b.admit(req, false), nil
}

// admit is RoundTrip for a request of this node or, with remote, of another one.
func (b *Backend) admit(req *http.Request, remote bool) *http.Response {
	env, err := readEnvelope(req.Header)
	if err != nil {
		return b.refuse(req, env, notRun(http.StatusBadRequest, retry.Refused, reasonBadRequest, 0))
	}
	if !b.standsFor(env.Target) {
		return b.refuse(req, env, refusedBy(admission.Verdict{Reason: admission.ReasonWrongTarget, RetryAfter: defaultRetryAfter}))
	}
	b.inflight.Add(1)
	call := &backendCall{b: b, env: env, req: req, start: clock.Now(), remote: remote}
	resp, problem := call.run()
	if problem != nil {
		b.inflight.Add(-1)
		resp = b.refuse(req, env, problem)
	}
	resp.Header.Set(headerHeld, strconv.FormatInt(clock.Since(call.start).Microseconds(), 10))
	return resp
}

// standsFor reports whether the upstream beside this node can be the target.
func (b *Backend) standsFor(target string) bool {
	if denied := b.denied.Load(); denied != nil && *denied == target {
		return false
	}
	return b.cfg.Name == "" || target == b.cfg.Name
}

func (b *Backend) refuse(req *http.Request, env Envelope, p *Problem) *http.Response {
	b.metrics.refused(p.Reason)
	resp := p.response(req)
	b.stamp(resp.Header, env, req.ContentLength > receiveFrom)
	return resp
}

// stamp adds what the caller's node learns from every answer. A long request is
// one whose body has to be received.
func (b *Backend) stamp(h http.Header, env Envelope, long bool) {
	f := b.gate.Forecast(env.queueKind(), env.KindWeight)
	f.Wait += b.sendWait(env.Kind)
	if b.receiver != nil && long {
		f.Wait += b.receiver.wait()
	}
	text := strconv.AppendInt(make([]byte, 0, 48), int64(f.InUse), 10)
	for _, n := range [...]int64{int64(f.Slots), int64(f.Waiting), f.Service.Microseconds(), f.Wait.Microseconds()} {
		text = strconv.AppendInt(append(text, '/'), n, 10)
	}
	if b.gate.Closed() != admission.ReasonNone || b.leaving.Load() {
		text = append(text, "/"+toldDraining...)
	}
	if f.Cold > 0 {
		text = strconv.AppendInt(append(text, "/"+toldCold...), f.Cold.Milliseconds()+1, 10)
	}
	h.Set(headerLoad, string(text))
	typical, safe := b.runTime(env.Kind, overload.TypicalRunQuantile), b.runTime(env.Kind, overload.SafeRunQuantile)
	h.Set(headerRuns, strconv.FormatInt(typical.Microseconds(), 10)+"/"+strconv.FormatInt(safe.Microseconds(), 10))
	setIf(h, HeaderServedBy, b.cfg.Name)
}

// runTime returns the time within which the share of the requests of the kind
// run; 0 if that is not known.
func (b *Backend) runTime(kind string, share float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs.Quantile(kind, share)
}

// patience is how long a request may wait for a slot; false if any time.
func (b *Backend) patience(env Envelope) (time.Duration, bool) {
	if env.Objective == nil {
		return 0, false
	}
	safe := b.runTime(env.Kind, overload.SafeRunQuantile)
	return overload.MaxWait(env.Objective.Left, safe, b.gate.SlotInterval(), env.Objective.Late), true
}
