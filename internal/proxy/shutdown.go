package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
)

// ShutdownSchedule holds the times of a node's shutdown that matter for callers'
// requests.
type ShutdownSchedule struct {
	Start       time.Time
	AnnouncedBy time.Time // when callers have been told of the shutdown
	Deadline    time.Time // when requests that still run are cut
}

// accepts reports whether a request that could be sent to an upstream at now, with the
// given deadline, is accepted. usualTime is how long requests of its kind take; 0 if unknown.
//
// Load pattern: requests take longer than those before them while nodes shut down,
// because of a burst, saturated links or a new table. Until AnnouncedBy, callers that
// do not know of the shutdown yet can only use this node, so their requests are
// accepted unless they usually take longer than the time left. After that there are few
// requests, most of them calls made by requests that still run, and one is accepted
// only if its own deadline is not after the shutdown deadline: it is then answered or
// given up in time, however long it takes. With the usual time as the only limit, three
// callers had 7 requests cut that took 1.5 s instead of 3 ms.
func (s ShutdownSchedule) accepts(now, deadline time.Time, usualTime time.Duration) bool {
	if now.Add(usualTime).After(s.Deadline) {
		return false
	}
	return now.Before(s.AnnouncedBy) || !deadline.After(s.Deadline)
}

// BeginShutdown starts the shutdown. From now on the frontend refuses requests that
// cannot be answered before the shutdown deadline. It also buffers longer responses
// before it forwards any part of them, so that one that does not arrive in time can
// still be reported as failed. Without that, in a rolling restart of 61 nodes with
// links of 15 Mbit/s, one node ended in the middle of a response 2.9 s after the
// upstream had finished it.
func (f *Frontend) BeginShutdown(s ShutdownSchedule) { f.shutdown.Store(&s) }

// RefuseAll refuses all further requests as not run.
func (f *Frontend) RefuseAll() { f.refusing.Store(true) }

// accepted reports whether this node accepts the request, which has just arrived.
func (ex *exchange) accepted() bool {
	return !ex.f.refusing.Load() && ex.refuseBeforeShutdown(ex.start) == nil
}

// refuseBeforeShutdown refuses a request that would be cut by the shutdown of this node if
// it were sent to an upstream now. It decides again for each try: a body may arrive
// slowly, and earlier tries take time.
func (ex *exchange) refuseBeforeShutdown(now time.Time) *Problem {
	s := ex.f.shutdown.Load()
	if s == nil || s.accepts(now, ex.deadline, ex.f.usualTime(ex.kind)) {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, retry.Refused, reasonNodeLeaves, defaultRetryAfter)
}

// usualTime returns how long requests of a kind take at this node, from the first byte
// to the last; 0 if unknown.
func (f *Frontend) usualTime(kind string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.responseTimes.Quantile(kind, overload.SafeRunQuantile)
}

// observeResponseTime records how long an answered request took.
func (f *Frontend) observeResponseTime(kind string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responseTimes.Observe(kind, took)
}

// CancelUnanswered cancels the tries of all requests whose response has not begun to
// arrive. Their callers get a response with what is known of the outcome, instead of a
// closed connection. Responses that are arriving go on.
func (f *Frontend) CancelUnanswered() { f.cancelUnanswered() }

// CancelAll cancels all requests, including those that CancelUnanswered has left.
func (f *Frontend) CancelAll() {
	f.cancelUnanswered()
	f.cancelRequests()
}

// withShutdown returns a context for the request that is also cancelled by
// CancelUnanswered, unless a response is arriving, and by CancelAll.
func (ex *exchange) withShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := clock.WithDeadline(ctx, ex.deadline)
	stopUnanswered := context.AfterFunc(ex.f.unansweredCtx, func() {
		if !ex.responding.Load() {
			cancel()
		}
	})
	stopAll := context.AfterFunc(ex.f.requestsCtx, cancel)
	return ctx, func() { stopUnanswered(); stopAll(); cancel() }
}

// setResponding records that a try has started or, if started is set, that its response
// has begun to arrive.
func (ex *exchange) setResponding(started bool) {
	ex.responseStarted = started
	ex.responding.Store(started)
}

// retriesStopped reports whether no further try may be made, because the request's
// context has ended, its caller has disconnected or this node is shutting down.
func (ex *exchange) retriesStopped(ctx context.Context) bool {
	ex.responding.Store(false)
	return http1.CallerDisconnected(ctx) || ex.f.unansweredCtx.Err() != nil
}

// responseBufferLimit returns the longest response that is buffered now, and how many
// bytes a response of the given length reserves of ShutdownBufferTotal. A response of
// unknown length reserves the maximum.
func (f *Frontend) responseBufferLimit(length int64) (limit, reserved int64) {
	if length < 0 {
		length = f.cfg.ShutdownBufferLimit
	}
	switch {
	case f.shutdown.Load() == nil,
		length <= f.cfg.ResponseBufferLimit,
		length > f.cfg.ShutdownBufferLimit,
		f.shutdownBuffered.Load()+length > f.cfg.ShutdownBufferTotal:
		return f.cfg.ResponseBufferLimit, 0
	}
	return f.cfg.ShutdownBufferLimit, length
}

// refuseAfterShutdown refuses a request of another node, before it waits for a slot and
// again when it has got one, if its response would usually come after this node's shutdown
// deadline. The wait may have been longer than forecast.
//
// Load pattern: other nodes learn of the shutdown only with the next responses, and
// keep sending requests during the announcement, however many requests already wait
// here for slots and for the link. When 52 processes ended in half a busy minute, 12 or
// more such requests got no response. Their nodes know other upstreams, so a refusal
// costs them only a network round trip. The limit is the usual time: a limit by the
// request's own deadline would refuse nearly all requests during the announcement.
func (c *backendCall) refuseAfterShutdown() *Problem {
	deadline := c.b.shutdownDeadline.Load()
	if deadline == nil || !c.remote {
		return nil
	}
	forSlot := time.Duration(0)
	if c.startedAt.IsZero() {
		forSlot = c.b.gate.Forecast(c.env.queueKind(), c.env.KindWeight).Wait
	}
	expected := forSlot + c.b.expectedSendWait(c.env.Kind) + c.b.runTimeQuantile(c.env.Kind, overload.SafeRunQuantile)
	if !clock.Now().Add(expected).After(*deadline) {
		return nil
	}
	return admissionProblem(admission.Verdict{Reason: admission.ReasonDraining, RetryAfter: defaultRetryAfter})
}
