package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// exchange is one request of a caller with its tries.
type exchange struct {
	f        *Frontend
	route    *snapshot.Route
	service  *snapshot.Service // of the route, or its share of a split
	customer *table.Customer   // nil if the route needs none
	// kind and priority are those of the route, or of the customer on it.
	kind     string
	priority int
	counted  bool // against the limit of the customer
	req      *http.Request
	body     *requestBody
	env      Envelope
	start    time.Time
	deadline time.Time
	// first is when the caller's first attempt came, expiry when the caller gives
	// up: zero if it did not say.
	first, expiry time.Time
	// aim is when the request should be answered; zero if its route has no
	// objective.
	aim     time.Time
	tried   []string
	tries   int
	arrived int // tries that reached an upstream
	// mayHaveRun is set once a try ended ambiguously; from then on nothing may
	// be reported as not run.
	mayHaveRun bool
	trail      []TryRecord
	cut        CutRecord
	ended      retry.Reason // why no further try was made
	version    version.ID
	// noWait asks the next admitting node for a slot at once.
	noWait bool
	// leaving is how the request stood to the end of this node when it came; nil
	// if the node did not leave then.
	leaving *ShutdownRecord
	// begun says that the answer of the last try began to come, answering that it
	// still comes.
	begun     bool
	answering atomic.Bool
}

func (x *exchange) serve(ctx context.Context, w http.ResponseWriter) {
	if problem := x.takeQuota(ctx); problem != nil {
		x.finish(w, x.f.answer(problem, x.req))
		return
	}
	var err error
	_ = http.NewResponseController(w).SetReadDeadline(clock.Steady(x.deadline))
	x.body, err = newRequestBody(x.req, x.f.bufferLimit(), x.f.cfg.BodyLimit())
	if err != nil {
		x.finish(w, x.f.answer(bodyProblem(err), x.req))
		return
	}
	x.env.Fingerprint = x.fingerprint()
	if problem := x.overBeforeTry(ctx); problem != nil {
		x.finish(w, x.f.answer(problem, x.req))
		return
	}
	if problem := x.heldBack(); problem != nil {
		x.finish(w, x.f.answer(problem, x.req))
		return
	}
	x.f.buffered.Add(x.body.kept())
	defer func() { x.f.buffered.Add(-x.body.kept()) }()
	x.f.earn(x.service.Name)
	x.noWait = x.asksForSlot() && x.f.takeSpare()
	var last *http.Response // of the try before; nil for none
	for {
		target, problem := x.choose()
		if problem != nil {
			x.giveUp(w, last, problem)
			return
		}
		drop(last)
		resp, class := x.try(ctx, target)
		last = resp
		x.f.metrics.tried(class)
		if x.sendOn(ctx, class, resp) {
			continue
		}
		x.mayHaveRun = x.mayHaveRun || class == retry.Ambiguous
		if class.MayHaveReachedUpstream() {
			x.arrived++
		}
		if class == retry.Answered {
			x.finish(w, resp)
			return
		}
		reason := x.f.again(x.service.Name, retry.Try{
			Class:             class,
			Idempotent:        x.route.Idempotent,
			Arrived:           x.arrived,
			Number:            x.tries,
			Retries:           x.retries(),
			Remaining:         x.remaining(class),
			Replayable:        x.body.replayable(),
			RefusedEverywhere: resp.Header.Get(HeaderReason) == reasonQuarantined,
		})
		if reason != retry.Allowed || x.endsNow(ctx) {
			x.f.metrics.notRetried(reason)
			x.ended = reason
			x.finish(w, resp)
			return
		}
	}
}

// fingerprint tells all attempts of the request from other requests.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	r := quarantine.Request{RequestInfo: about(x.req, x.env.Tenant), Body: x.body.buffered}
	if x.body.streams() {
		r.Length = x.body.length
	}
	return r.Fingerprint()
}

// overBeforeTry says why a request whose body has come is not tried at all; nil if
// it is. A body that lay in the kernel during a stall of this process is read after
// the time of its request is over, or with the close of its caller behind it: 33 to 73
// of 200 requests that came in one packet with the close were handed on, 0 with this
// look.
func (x *exchange) overBeforeTry(ctx context.Context) *Problem {
	switch {
	case !http1.CallerDisconnected(ctx):
		return nil
	case x.f.endingRuns.Err() != nil:
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonLeaving, defaultRetryAfter)
	}
	return notRun(http.StatusRequestTimeout, retry.Refused, reasonDeadline, 0)
}

// giveUp answers a request for which no further upstream can be chosen: with
// what the last try brought, or the problem if there was none.
func (x *exchange) giveUp(w http.ResponseWriter, last *http.Response, problem *Problem) {
	x.ended = retry.ReasonNoUpstream
	x.f.metrics.notRetried(x.ended)
	if last == nil {
		last = x.f.answer(problem, x.req)
	}
	x.finish(w, last)
}

// drop ends a response that is not passed on. A short one is read to its end, so
// that its connection can be used again.
func drop(resp *http.Response) {
	if resp == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, dropLimit)
	_ = resp.Body.Close()
}

// dropLimit is the longest rest of a dropped response that is read.
const dropLimit = 4 << 10

// remaining is the time left for another try: until its objective while that can
// be met and no upstream has seen the request, otherwise until the deadline.
func (x *exchange) remaining(class retry.Class) time.Duration {
	if x.arrived == 0 && class.NotRun() && !x.aim.IsZero() && !x.env.late() {
		return clock.Until(x.aim)
	}
	return clock.Until(x.deadline)
}

// asksForSlot reports whether the request first asks for a slot at once. Where the
// waits are told, the choice knows them already: asking first sent calls from the
// quickest upstream on to one that could not run them in time, and their parents
// failed. Without it 5.0% in place of 11.2% of the answers were failures of the
// upstream itself on a day with a service of two upstreams left (one play each).
func (x *exchange) asksForSlot() bool {
	return !x.f.cfg.Routing.ByExpectedTime && x.mayGoElsewhere()
}

// mayGoElsewhere reports whether another upstream could take the request.
func (x *exchange) mayGoElsewhere() bool {
	return x.route.Upstream == "" && !x.homed() && len(x.service.Upstreams) > 1
}

// homed reports whether the request has one home, which alone may run it.
func (x *exchange) homed() bool { return x.env.Key != "" && !x.route.Idempotent }

// sendOn reports whether the request goes on to another upstream because the
// first one had no slot free. It happens once, and the next one may queue it.
func (x *exchange) sendOn(ctx context.Context, class retry.Class, resp *http.Response) bool {
	if !x.noWait {
		return false
	}
	x.noWait = false
	if class != retry.Limited || resp.Header.Get(HeaderReason) != string(admission.ReasonBusy) {
		x.f.returnSpare()
		return false
	}
	return x.body.replayable() && ctx.Err() == nil
}

// retries is the number of further tries. Where those that end at a node are
// not counted apart, one more is always allowed after a try that did not run, as
// the budget permits; otherwise the route's number holds for upstreams.
func (x *exchange) retries() int {
	if x.f.cfg.Retry.FreeTries > 0 {
		return x.route.Retries
	}
	return max(x.route.Retries, 1)
}

// finish sends the response to the caller and counts the request.
func (x *exchange) finish(w http.ResponseWriter, resp *http.Response) {
	outcome := resp.Header.Get(HeaderOutcome)
	if outcome != "" {
		x.speakTo(resp)
	}
	if x.mayHaveRun && Outcome(outcome) == OutcomeNotRun {
		// The last try did not run, an earlier one may have.
		drop(resp)
		resp = x.f.answer(unknownOutcome(http.StatusBadGateway, resp.Header.Get(HeaderReason)), x.req)
		outcome = string(OutcomeUnknown)
	}
	if outcome == "" {
		outcome = outcomeNames[0]
	}
	x.returnQuota(outcome)
	sent, err := copyResponse(w, resp)
	if err != nil {
		outcome = outcomeNames[len(outcomeNames)-1]
		x.noteCut(clock.Now(), sent, err)
	}
	took := clock.Since(x.start)
	if outcome == outcomeNames[0] {
		x.f.noteTime(x.kind, took)
	}
	x.f.metrics.finished(x.kind, x.env.Tenant, outcome, took, x.tries)
	x.endLeaving(outcome, resp.Header.Get(HeaderReason))
	x.record(resp.StatusCode, outcome, resp.Header.Get(HeaderReason))
	x.remember(resp.StatusCode)
	if err != nil {
		// The status is out; only a broken connection tells the caller that the
		// answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// speakTo puts an answer that a node made into the caller's dialect.
func (x *exchange) speakTo(resp *http.Response) {
	d := x.f.cfg.Dialect
	if ms, err := strconv.ParseInt(resp.Header.Get(HeaderRetryAfterMs), 10, 64); err == nil {
		resp.Header.Set("Retry-After", d.retryAfter(time.Duration(ms)*time.Millisecond))
	}
	if d.RequestID != "" {
		resp.Header.Set(d.RequestID, x.req.Header.Get(d.RequestID))
	}
}
