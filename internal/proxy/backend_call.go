package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
)

// backendCall is one request on its way through the backend.
type backendCall struct {
	b       *Backend
	env     Envelope
	req     *http.Request
	start   time.Time
	key     ledger.Key
	keyed   bool
	started time.Time // when the slot was taken
	sent    time.Time // when it was passed to the upstream
	left    bool      // the slot was given back
	remote  bool      // from another node
	// received is when the body was here, if it was received first.
	received time.Time
}

func (c *backendCall) run() (*http.Response, *Problem) {
	ctx, cancel := clock.WithDeadline(c.req.Context(), c.start.Add(c.env.Timeout))
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
		c.leave(false)
		outcome := ledger.OutcomeUnknown
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
	if problem := c.heldBack(); problem != nil {
		return problem
	}
	b.mu.Lock()
	reason, after := b.limits.Start(clock.Now())
	b.mu.Unlock()
	if reason != admission.ReasonNone {
		return refusedBy(admission.Verdict{Reason: reason, RetryAfter: max(after, defaultRetryAfter/10)})
	}
	if problem := c.answeredTooLate(); problem != nil {
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
	v := b.gate.Acquire(ctx, ticket)
	b.metrics.queued(c.env.Kind, clock.Since(c.start))
	if !v.Started {
		b.limitDone()
		return refusedBy(v)
	}
	c.started = clock.Now()
	// The process may have been paused between the grant and now, and the sender may
	// have gone meanwhile.
	if !c.started.Before(c.start.Add(c.env.Timeout)) || http1.CallerDisconnected(ctx) {
		c.leave(false)
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonDeadline, defaultRetryAfter)
	}
	if problem := c.heldAtStart(); problem != nil {
		c.leave(false)
		return problem
	}
	return nil
}

// answeredTooLate refuses a request that is known not to be answered in time, before it
// takes a slot.
func (c *backendCall) answeredTooLate() *Problem {
	if problem := c.outlivesNode(); problem != nil {
		return problem
	}
	return c.linkFull()
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

// leave gives the slot back, once. whole says that the request ran to its end, so
// that its time counts among those of its kind.
func (c *backendCall) leave(whole bool) {
	if c.left {
		return
	}
	c.left = true
	c.b.falls.ended(c)
	if whole {
		c.b.cfg.Quarantine.Answered(c.env.Fingerprint, c.env.Service)
	}
	held := clock.Since(c.started)
	c.b.mu.Lock()
	c.b.limits.Done()
	if whole {
		c.b.runs.Observe(c.env.Kind, held)
	}
	c.b.mu.Unlock()
	c.b.gate.Release(held)
}

// announce tells a sender that holds back its body to send it.
func (c *backendCall) announce() {
	if f, ok := c.req.Context().Value(admittedHook{}).(func()); ok && c.env.AwaitsAdmission {
		f()
	}
}

// admittedHook is the context key of the function called on admission.
type admittedHook struct{}
