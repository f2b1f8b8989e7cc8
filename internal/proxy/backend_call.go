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

// backendCall is the state of one request in the backend.
type backendCall struct {
	b         *Backend
	env       Envelope
	req       *http.Request
	start     time.Time
	key       ledger.Key
	keyed     bool
	startedAt time.Time // when the slot was acquired
	// slowdownAtStart is admission.Slowdown.Factor when the slot was acquired.
	slowdownAtStart float64
	steps           *trySteps // of the call to the upstream; nil before it
	sentAt          time.Time // when the request was sent to the upstream
	// limitReport is what the response advertises; zero before it arrived.
	limitReport limitReport
	released    bool // the slot was released
	remote      bool // sent by another node
	// receivedAt is when the body was complete, if it was received before admission.
	receivedAt time.Time
	sending    *linkCommitment // for the response; nil if none is needed
	// releaseStream releases the place of a streamed body; nil if it has none.
	releaseStream func()
}

func (c *backendCall) run() (*http.Response, *Problem) {
	ctx, cancel := clock.WithDeadline(c.req.Context(), c.start.Add(c.env.Timeout))
	resp, problem := c.process(ctx, cancel)
	if problem != nil {
		cancel()
	}
	return resp, problem
}

func (c *backendCall) process(ctx context.Context, cancel context.CancelFunc) (*http.Response, *Problem) {
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
		problem = c.acquireStream(ctx)
	}
	if problem == nil {
		problem = c.acquireSlot(ctx)
	}
	if problem != nil {
		c.endStream()
		c.sending.release()
		c.finishKey(ledger.NotRun, nil)
		return nil, problem
	}
	c.signalAdmitted()
	resp, problem := c.dispatch(ctx, cancel)
	if problem != nil {
		c.sending.release()
		c.releaseSlot(false)
		outcome := ledger.OutcomeUnknown
		if problem.class.NotRun() {
			outcome = ledger.NotRun
		}
		c.finishKey(outcome, nil)
	}
	return resp, problem
}

// acquireSlot checks quarantine and limits and waits for a slot.
func (c *backendCall) acquireSlot(ctx context.Context) *Problem {
	b := c.b
	if problem := c.refuseQuarantined(); problem != nil {
		return problem
	}
	b.mu.Lock()
	reason, after := b.limits.Start(clock.Now())
	b.mu.Unlock()
	if reason != admission.ReasonNone {
		return admissionProblem(admission.Verdict{Reason: reason, RetryAfter: max(after, defaultRetryAfter/10)})
	}
	if problem := c.refuseLate(); problem != nil {
		b.releaseLimit()
		return problem
	}
	ticket := &admission.Ticket{
		Kind:     c.env.queueKind(),
		Tenant:   c.env.Tenant,
		Weight:   c.env.KindWeight,
		Deadline: c.start.Add(c.env.Timeout),
		NoWait:   c.env.NoWait && c.receivedAt.IsZero(),
	}
	if maxWait, bounded := b.maxWait(c.env); bounded {
		// A body that has been received is not sent again to another upstream to save a
		// short wait.
		ticket.Latest = laterOf(c.start, c.receivedAt).Add(maxWait)
	}
	ticket.Bound = c.waitBound()
	v := b.gate.Acquire(ctx, ticket)
	b.metrics.queued(c.env.Kind, clock.Since(c.start))
	if !v.Started {
		b.metrics.returned(v)
		b.releaseLimit()
		return admissionProblem(v)
	}
	c.startedAt = clock.Now()
	c.slowdownAtStart = b.gate.Slowdown().Factor(c.startedAt)
	// The process may have been paused between the grant of the slot and now, and the
	// sender may have disconnected meanwhile.
	problem := c.refuseAbandoned(ctx)
	if problem == nil {
		problem = c.refuseAfterShutdown()
	}
	if problem == nil {
		problem = c.refuseQuarantinedAtStart()
	}
	if problem != nil {
		c.releaseSlot(false)
	}
	return problem
}

// refuseAbandoned refuses a request that got its slot when nobody waits for its response
// any more.
func (c *backendCall) refuseAbandoned(ctx context.Context) *Problem {
	switch {
	case !c.startedAt.Before(c.start.Add(c.env.Timeout)):
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonDeadline, defaultRetryAfter)
	case http1.CallerDisconnected(ctx):
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonCallerLeft, defaultRetryAfter)
	}
	return nil
}

// refuseLate refuses a request whose response is known to come too late, before it
// takes a slot.
func (c *backendCall) refuseLate() *Problem {
	if problem := c.refuseAfterShutdown(); problem != nil {
		return problem
	}
	return c.refuseFullLink()
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (b *Backend) releaseLimit() {
	b.mu.Lock()
	b.limits.Done()
	b.mu.Unlock()
}

// releaseSlot releases the slot once; further calls do nothing. complete says that the
// request ran to its end, so that its run time counts for its kind.
func (c *backendCall) releaseSlot(complete bool) {
	if c.released {
		return
	}
	c.released = true
	c.endStream()
	c.b.detector.requestEnded(c)
	if complete {
		c.b.cfg.Quarantine.Answered(c.env.Fingerprint, c.env.Service)
		c.observeUnlimited()
	}
	now := clock.Now()
	held := admission.UsualTime(now.Sub(c.startedAt), c.slowdownAtStart, c.b.gate.Slowdown().Factor(now))
	c.b.mu.Lock()
	c.b.limits.Done()
	if complete {
		c.b.runTimes.Observe(c.env.Kind, held)
	}
	c.b.mu.Unlock()
	c.b.gate.Release(held)
}

// signalAdmitted tells a sender that withholds its body to send it.
func (c *backendCall) signalAdmitted() {
	if f, ok := c.req.Context().Value(admissionHookKey{}).(func()); ok && c.env.AwaitsAdmission {
		f()
	}
}

// admissionHookKey is the context key of the function that is called on admission.
type admissionHookKey struct{}
