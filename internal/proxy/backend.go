package proxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
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
	// WholeAnswers is as in FrontendConfig.
	WholeAnswers int64
	// Receivers is the number of bodies that are received from other nodes at
	// once, each before its request takes a slot. More fills a long link, fewer
	// leaves a narrow one free for short requests. Default 0: bodies go on to the
	// upstream as they come.
	Receivers int
	// ReceiveLimit is the longest body received so, in bytes.
	ReceiveLimit int64
	// Senders is the number of long answers that are sent to other nodes at once,
	// each after its request gave its slot back. More fills a long link, fewer
	// leaves a narrow one free for short answers. Default 0: no bound.
	Senders int
	// AnswerLimit is the longest answer kept for its turn, in bytes, and
	// AnswerTotal the sum of all that are kept, from which on longer ones than
	// WholeAnswers stream.
	AnswerLimit, AnswerTotal int64
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
	denied   atomic.Pointer[string] // the last instance that the upstream's address denied
	receiver *turns                 // nil if bodies are not received first
	sender   *turns                 // nil if long answers are sent as they come
	kept     atomic.Int64           // bytes of answers kept for their turn

	mu      sync.Mutex // guards what follows
	runs    *overload.RunTimes
	sizes   *overload.Sizes
	limits  *admission.Limits
	ledger  *ledger.Ledger
	history *ledger.History
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
		sizes:   overload.NewSizes(),
		limits:  admission.NewLimits(),
		ledger:  ledger.New(cfg.Ledger, now),
		history: ledger.NewHistory(cfg.Ledger),
	}
	if cfg.Receivers > 0 {
		b.receiver = newTurns(cfg.Receivers)
	}
	if cfg.Senders > 0 {
		b.sender = newTurns(cfg.Senders)
	}
	return b
}

// Apply takes over the slots, limits and homes of the snapshot in force.
func (b *Backend) Apply(snap *snapshot.Snapshot) {
	now := time.Now()
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
func limitRow(snap *snapshot.Snapshot, name string) (admission.Row, bool) {
	u := snap.Upstream(name)
	if u == nil {
		return admission.Row{}, false
	}
	svc := snap.Service(u.Service)
	row := admission.Row{
		ServiceRate:        svc.Rate,
		ServiceConcurrency: svc.Concurrency,
		UpstreamRate:       u.Rate,
	}
	for i, sib := range svc.Upstreams {
		row.Shares = append(row.Shares, sib.Share)
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

// SetLeaving tells callers' nodes with each answer that this node leaves soon,
// while it still takes work.
func (b *Backend) SetLeaving(on bool) { b.leaving.Store(on) }

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
	call := &backendCall{b: b, env: env, req: req, start: time.Now(), remote: remote}
	resp, problem := call.run()
	if problem != nil {
		b.inflight.Add(-1)
		resp = b.refuse(req, env, problem)
	}
	resp.Header.Set(headerHeld, strconv.FormatInt(time.Since(call.start).Microseconds(), 10))
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
	if b.gate.Draining() || b.leaving.Load() {
		text = append(text, "/draining"...)
	}
	h.Set(headerLoad, string(text))
	typical, safe := b.runTimes(env.Kind)
	h.Set(headerRuns, strconv.FormatInt(typical.Microseconds(), 10)+"/"+strconv.FormatInt(safe.Microseconds(), 10))
	setIf(h, HeaderServedBy, b.cfg.Name)
}

// runTimes returns how long requests of the kind run; 0 if that is not known.
func (b *Backend) runTimes(kind string) (typical, safe time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs.Quantile(kind, overload.TypicalRun), b.runs.Quantile(kind, overload.SafeRun)
}

// patience is how long a request may wait for a slot; false if any time.
func (b *Backend) patience(env Envelope) (time.Duration, bool) {
	if env.Aim == nil {
		return 0, false
	}
	_, safe := b.runTimes(env.Kind)
	return overload.Patience(env.Aim.Left, safe, b.gate.SlotEvery(), env.Aim.Late), true
}

// backendCall is one request on its way through the backend.
type backendCall struct {
	b       *Backend
	env     Envelope
	req     *http.Request
	start   time.Time
	key     ledger.Key
	keyed   bool
	started time.Time // when the slot was taken
	left    bool      // the slot was given back
	remote  bool      // from another node
	// received is when the body was here, if it was received first.
	received time.Time
}

func (c *backendCall) run() (*http.Response, *Problem) {
	ctx, cancel := context.WithDeadline(c.req.Context(), c.start.Add(c.env.Timeout))
	resp, problem := c.admitted(ctx, cancel)
	if problem != nil {
		cancel()
	}
	return resp, problem
}

func (c *backendCall) admitted(ctx context.Context, cancel context.CancelFunc) (*http.Response, *Problem) {
	if c.keyed = c.env.Key != "" && !c.env.Idempotent; c.keyed {
		resp, problem := c.beginKey(ctx)
		if resp != nil || problem != nil {
			if resp != nil {
				c.b.inflight.Add(-1)
				cancel()
			}
			return resp, problem
		}
	}
	problem := c.receive(ctx)
	if problem == nil {
		problem = c.enter(ctx)
	}
	if problem != nil {
		c.finishKey(ledger.NotRun, nil)
		return nil, problem
	}
	c.announce()
	resp, problem := c.dispatch(ctx, cancel)
	if problem != nil {
		c.leave()
		outcome := ledger.Lost
		if problem.class.NotRun() {
			outcome = ledger.NotRun
		}
		c.finishKey(outcome, nil)
	}
	return resp, problem
}

// enter passes limits and the gate.
func (c *backendCall) enter(ctx context.Context) *Problem {
	b := c.b
	b.mu.Lock()
	reason, after := b.limits.Start(time.Now())
	b.mu.Unlock()
	if reason != admission.ReasonNone {
		return refusedBy(admission.Verdict{Reason: reason, RetryAfter: max(after, defaultRetryAfter/10)})
	}
	if problem := c.linkFull(); problem != nil {
		b.limitDone()
		return problem
	}
	ticket := &admission.Ticket{
		Kind:     c.env.queueKind(),
		Tenant:   c.env.Tenant,
		Weight:   c.env.KindWeight,
		Deadline: c.start.Add(c.env.Timeout),
		NoWait:   c.env.NoWait && c.received.IsZero(),
	}
	if patience, bounded := b.patience(c.env); bounded {
		// A body that is here is not sent again elsewhere for a short wait.
		ticket.Latest = latest(c.start, c.received).Add(patience)
	}
	v := b.gate.Enter(ctx, ticket)
	b.metrics.queued(c.env.Kind, time.Since(c.start))
	if !v.Started {
		b.limitDone()
		return refusedBy(v)
	}
	c.started = time.Now()
	// The process may have been paused between the grant and now.
	if !c.started.Before(c.start.Add(c.env.Timeout)) || ctx.Err() != nil {
		c.leave()
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonDeadline, defaultRetryAfter)
	}
	return nil
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (b *Backend) limitDone() {
	b.mu.Lock()
	b.limits.Done()
	b.mu.Unlock()
}

// leave gives the slot back, once.
func (c *backendCall) leave() {
	if c.left {
		return
	}
	c.left = true
	c.b.limitDone()
	c.b.gate.Leave(time.Since(c.started))
}

// ran takes the time of a request that ran to its end into those of its kind.
func (c *backendCall) ran() {
	if c.left {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.runs.Observe(c.env.Kind, time.Since(c.started))
}

// announce tells a sender that holds back its body to send it.
func (c *backendCall) announce() {
	if f, ok := c.req.Context().Value(admittedHook{}).(func()); ok && c.env.Await {
		f()
	}
}

// admittedHook is the context key of the function called on admission.
type admittedHook struct{}
