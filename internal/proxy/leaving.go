package proxy

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/overload"
)

// ShutdownSchedule is the course of a node's leaving, as far as callers' requests know it.
type ShutdownSchedule struct {
	Start       time.Time
	AnnouncedBy time.Time // callers have been told that the node leaves
	Deadline    time.Time // what runs is cut
}

// takes reports whether a request that came at a time, and is given up at its
// deadline, is taken. usual is how long its kind takes; 0 if that is not known.
//
// The load pattern: requests grow longer than those before them as nodes leave, by
// a burst, full links or a new table. Callers that were not told yet can only come
// here, so theirs are taken unless they usually last too long. Afterwards requests
// are few, most of them calls of what still runs, and one that is taken rests on a
// bound: it is answered or given up before the end, however long it takes. By the
// usual time alone three callers had 7 requests cut that took 1.5 s in place of 3 ms.
func (l ShutdownSchedule) takes(now, deadline time.Time, usual time.Duration) bool {
	if now.Add(usual).After(l.Deadline) {
		return false
	}
	return now.Before(l.AnnouncedBy) || !deadline.After(l.Deadline)
}

// BeginShutdown says that this node ends. From now on it refuses what cannot be
// answered before its end. It also reads longer answers whole before it passes any
// of them on, so that one which does not come in the time that is left can still be
// reported as failed. Of 61 nodes with links of 15 Mbit/s one in a day's rolling
// restart ended amid an answer whose run had ended 2.9 s before.
func (f *Frontend) BeginShutdown(l ShutdownSchedule) { f.leaving.Store(&l) }

// RefuseAll answers all further requests with a refusal that says that they have not
// run.
func (f *Frontend) RefuseAll() { f.refusing.Store(true) }

// taken reports whether this node takes the request, which it does not if it would
// be cut as the node leaves.
func (x *exchange) taken() bool {
	if x.f.refusing.Load() {
		return false
	}
	l := x.f.leaving.Load()
	return l == nil || l.takes(x.start, x.deadline, x.f.usualTime(x.kind))
}

// usualTime is how long requests of a kind take at this node, from the first byte
// to the last; 0 if that is not known.
func (f *Frontend) usualTime(kind string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.took.Quantile(kind, overload.SafeRunQuantile)
}

// noteTime counts how long a request took that was answered.
func (f *Frontend) noteTime(kind string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took.Observe(kind, took)
}

// CancelUnanswered ends the tries of all requests in progress whose answer does not come yet.
// Their callers are told what is known of them, in place of a closed connection that
// tells nothing. Answers on their way go on.
func (f *Frontend) CancelUnanswered() { f.endRuns() }

// CancelAll ends what EndRuns has left.
func (f *Frontend) CancelAll() {
	f.endRuns()
	f.end()
}

// untilEnd returns a context of the request that also ends with EndRuns, but while an
// answer comes, and with EndAll.
func (x *exchange) untilEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := clock.WithDeadline(ctx, x.deadline)
	stopRun := context.AfterFunc(x.f.endingRuns, func() {
		if !x.answering.Load() {
			cancel()
		}
	})
	stop := context.AfterFunc(x.f.ending, cancel)
	return ctx, func() { stopRun(); stop(); cancel() }
}

// begins notes that a try begins, or with answer that its answer does.
func (x *exchange) begins(answer bool) {
	x.begun = answer
	x.answering.Store(answer)
}

// endsNow reports whether no further try may be made as this node leaves.
func (x *exchange) endsNow(ctx context.Context) bool {
	x.answering.Store(false)
	return ctx.Err() != nil || x.f.endingRuns.Err() != nil
}

// wholeLimit is the longest answer that is read to its end now, and how many bytes
// one of the length adds to what a leaving node keeps. One of no known length counts
// as the longest.
func (f *Frontend) wholeLimit(length int64) (limit, kept int64) {
	if length < 0 {
		length = f.cfg.ShutdownBufferLimit
	}
	switch {
	case f.leaving.Load() == nil,
		length <= f.cfg.ResponseBufferLimit,
		length > f.cfg.ShutdownBufferLimit,
		f.held.Load()+length > f.cfg.ShutdownBufferTotal:
		return f.cfg.ResponseBufferLimit, 0
	}
	return f.cfg.ShutdownBufferLimit, length
}

// outlivesNode refuses a request of another node whose answer usually comes after
// the end of this one, before it takes a slot.
//
// The load pattern: other nodes hear of the end with the next answers and go on to
// send here during the announcement, whatever waits before them for slots and for the
// link: 12 or more had no answer in half a busy minute in which 52 processes ended.
// Their nodes know other upstreams, so a refusal costs them a way. The limit is the
// usual time: a bound by the request's own deadline would refuse nearly all while the
// announcement lasts.
func (c *backendCall) outlivesNode() *Problem {
	end := c.b.end.Load()
	if end == nil || !c.remote {
		return nil
	}
	wait := c.b.gate.Forecast(c.env.queueKind(), c.env.KindWeight).Wait + c.b.sendWait(c.env.Kind)
	usual := wait + c.b.runTime(c.env.Kind, overload.SafeRunQuantile)
	if !clock.Now().Add(usual).After(*end) {
		return nil
	}
	return refusedBy(admission.Verdict{Reason: admission.ReasonDraining, RetryAfter: defaultRetryAfter})
}
