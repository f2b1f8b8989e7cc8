package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// exchange is one request of a caller together with its tries.
type exchange struct {
	f        *Frontend
	route    *snapshot.Route
	service  *snapshot.Service // the route's service, or the one chosen from its split
	customer *table.Customer   // nil if the route needs no customer
	// kind and priority are the route's, unless the customer's priority overrides them.
	kind       string
	priority   int
	quotaTaken bool // counted against the customer's limit
	req        *http.Request
	body       *requestBody
	env        Envelope
	start      time.Time
	deadline   time.Time
	// firstAttempt is when the caller's first attempt arrived, callerExpiry is when the
	// caller gives up; callerExpiry is zero if the caller did not say.
	firstAttempt, callerExpiry time.Time
	// objectiveDeadline is when the request should be answered; zero if its route has
	// no objective.
	objectiveDeadline time.Time
	refusalIsFinal    bool // the callers of its route do not retry
	tried             []string
	tries             int
	upstreamTries     int // tries that may have reached an upstream
	// mayHaveRun is set once a try ended ambiguously; from then on the outcome must not
	// be reported as not run.
	mayHaveRun       bool
	tryRecords       []TryRecord
	cut              CutRecord
	notRetriedReason retry.Reason // why no further try was made
	retry            *RetryRecord // the last decision by rank; nil if there was none
	version          version.ID
	// noWait makes the next try ask for a slot without waiting for one.
	noWait bool
	// moves counts how often the request was returned while it waited, movedFrom lists by
	// which upstreams. reports is what the wait bound of the last try was based on.
	moves     int
	movedFrom []string
	reports   ReportAges
	// chosenBy is the load report by which the upstream was chosen; see TryRecord.Load.
	chosenBy string
	// shutdown is the request's record during a shutdown of this node; nil if the node
	// did not shut down when the request arrived.
	shutdown *ShutdownRecord
	// responseStarted says that the response of the last try has begun to arrive;
	// responding says that it is still arriving.
	responseStarted bool
	responding      atomic.Bool
	steps           *trySteps       // of the last try; nil before the first
	awaiting        *linkCommitment // for the response of the last try; nil if none is needed
	linkDecision    string          // inputs of the last refusal because of the link
}

func (ex *exchange) serve(ctx context.Context, w http.ResponseWriter) {
	if problem := ex.takeQuota(ctx); problem != nil {
		ex.finish(w, ex.f.problemResponse(problem, ex.req))
		return
	}
	arrival, problem := ex.receiveBody(w)
	defer arrival.end()
	if problem != nil {
		ex.finish(w, ex.f.problemResponse(problem, ex.req))
		return
	}
	if ex.body.streamed() {
		defer ex.f.streams.Add(-1)
	}
	ex.env.Fingerprint = ex.fingerprint()
	if problem := ex.abandonedBeforeTry(ctx); problem != nil {
		ex.finish(w, ex.f.problemResponse(problem, ex.req))
		return
	}
	if problem := ex.refuseQuarantined(); problem != nil {
		ex.finish(w, ex.f.problemResponse(problem, ex.req))
		return
	}
	if !ex.body.streamed() {
		arrival.end()
	}
	ex.f.bufferedBodies.Add(ex.body.bufferedBytes())
	defer func() { ex.f.bufferedBodies.Add(-ex.body.bufferedBytes()) }()
	ex.f.depositRetryTokens(ex.service.Name)
	ex.noWait = ex.triesWithoutWait() && ex.f.withdrawNoWaitToken()
	var last *http.Response // response of the previous try; nil for none
	for {
		target, problem := ex.chooseInTime()
		if problem == nil {
			problem = ex.awaitResponse(target)
		}
		if problem != nil {
			ex.dropWaitBound()
			ex.finishWithoutUpstream(w, last, problem)
			return
		}
		discardResponse(last)
		resp, class := ex.try(ctx, target)
		if ex.movesOn(ctx, class, resp) {
			last = nil
			continue
		}
		last = resp
		ex.f.metrics.tryEnded(class)
		if ex.skipsBusyUpstream(ctx, class, resp) {
			continue
		}
		ex.mayHaveRun = ex.mayHaveRun || class == retry.Ambiguous
		if class.MayHaveReachedUpstream() {
			ex.upstreamTries++
			ex.observeArrival(class, resp)
		}
		if class == retry.Answered {
			ex.finish(w, resp)
			return
		}
		reason := ex.decideRetry(resp, retry.Try{
			Class:             class,
			Idempotent:        ex.route.Idempotent,
			Arrived:           ex.upstreamTries,
			Number:            ex.tries,
			Retries:           ex.retries(),
			Remaining:         ex.remaining(class),
			Replayable:        ex.body.replayable(),
			RefusedEverywhere: resp.Header.Get(HeaderReason) == reasonQuarantined,
		})
		if reason != retry.Allowed || ex.retriesStopped(ctx) {
			ex.f.metrics.notRetried(reason)
			ex.notRetriedReason = reason
			ex.finish(w, resp)
			return
		}
	}
}

// receiveBody reads the request's body as far as it is buffered. The memory that it takes
// meanwhile is that of the returned arrival. If there is no problem and the body streams,
// it counts as one of the streams.
func (ex *exchange) receiveBody(w http.ResponseWriter) (*arrival, *Problem) {
	if !hasBody(ex.req) {
		ex.body = &requestBody{}
		return nil, nil
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(clock.ToMonotonic(ex.deadline))
	arrival := ex.f.arrivals.begin(clock.Now(), func() { _ = conn.SetReadDeadline(longPast) })
	body, err := newRequestBody(ex.req, ex.f.bufferLimit(), ex.f.cfg.BodyLimit(), arrival)
	if err != nil && arrival.end() {
		err = errBodyMemory
	}
	if err == nil && body.streamed() && ex.f.streams.Add(1) > maxStreams {
		ex.f.streams.Add(-1)
		err = errBodyMemory
	}
	if err != nil {
		return arrival, bodyProblem(err)
	}
	ex.body = body
	body.onLateRead = ex.f.metrics.lateBodyRead
	body.beforeRead = func() { _ = conn.SetReadDeadline(progressDeadline(ex.deadline)) }
	return arrival, nil
}

// longPast is a deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// maxStreams bounds the callers' requests whose bodies stream. Each of them takes a
// connection to the node that it waits at.
const maxStreams = 64

// fingerprint distinguishes this request from others; it is the same for all of its
// attempts.
func (ex *exchange) fingerprint() quarantine.Fingerprint {
	r := quarantine.Request{RequestInfo: requestInfo(ex.req, ex.env.Tenant), Body: ex.body.buffered}
	if ex.body.streamed() {
		r.Length = ex.body.length
	}
	return r.Fingerprint()
}

// abandonedBeforeTry returns the problem of a request that must not be tried although
// its body has arrived; nil if it may be tried. After a process pause, a body that the
// kernel had buffered is read when the request's deadline has passed, or when the
// caller has already disconnected. Without this check, 33 to 73 of 200 requests that
// arrived in one packet with the close of their connection were forwarded.
func (ex *exchange) abandonedBeforeTry(ctx context.Context) *Problem {
	if !http1.CallerDisconnected(ctx) {
		return nil
	}
	return ex.abandonedProblem(ctx.Err())
}

// abandonedProblem is the problem of a request that is not sent, as its context has ended
// with cause or its caller has disconnected.
func (ex *exchange) abandonedProblem(cause error) *Problem {
	switch {
	case ex.f.unansweredCtx.Err() != nil:
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonNodeLeaves, defaultRetryAfter)
	case errors.Is(cause, context.DeadlineExceeded):
		return notRun(http.StatusRequestTimeout, retry.Refused, reasonDeadline, 0)
	}
	return notRun(http.StatusRequestTimeout, retry.Refused, reasonCallerLeft, 0)
}

// finishWithoutUpstream answers a request for which no further upstream can be chosen:
// with the last try's response, or with the problem if there was no try.
func (ex *exchange) finishWithoutUpstream(w http.ResponseWriter, last *http.Response, problem *Problem) {
	ex.notRetriedReason = retry.ReasonNoUpstream
	ex.f.metrics.notRetried(ex.notRetriedReason)
	if last == nil {
		last = ex.f.problemResponse(problem, ex.req)
	}
	ex.finish(w, last)
}

// discardResponse closes a response that is not forwarded. A short one is read to its
// end, so that its connection can be reused.
func discardResponse(resp *http.Response) {
	if resp == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, discardLimit)
	_ = resp.Body.Close()
}

// discardLimit is the most bytes read from a discarded response.
const discardLimit = 4 << 10

// remaining returns the time left for another try: until the objective deadline as long
// as that can be met and no upstream has seen the request, otherwise until the
// request's deadline.
func (ex *exchange) remaining(class retry.Class) time.Duration {
	if ex.upstreamTries == 0 && class.NotRun() && !ex.objectiveDeadline.IsZero() && !ex.env.late() {
		return clock.Until(ex.objectiveDeadline)
	}
	return clock.Until(ex.deadline)
}

// triesWithoutWait reports whether the first try asks for a slot without waiting for
// one. If the router chooses by expected time, it already takes the waits from the load
// reports into account. A try without waiting would then move calls from the fastest
// upstream to one that cannot run them in time, and the requests that made these calls
// would fail: with a service reduced to two upstreams, 11.2% instead of 5.0% of the
// responses were failures of the upstream itself.
func (ex *exchange) triesWithoutWait() bool {
	return !ex.f.cfg.Routing.ByExpectedTime && ex.hasAlternative()
}

// hasAlternative reports whether another upstream could run the request.
func (ex *exchange) hasAlternative() bool {
	return ex.route.Upstream == "" && !ex.hasOwner() && len(ex.service.Upstreams) > 1
}

// hasOwner reports whether only the owner of the request's idempotency key may run it.
func (ex *exchange) hasOwner() bool { return ex.env.Key != "" && !ex.route.Idempotent }

// skipsBusyUpstream reports whether the request goes to another upstream because the
// first one had no free slot. That happens at most once per request; the next upstream
// may queue it.
func (ex *exchange) skipsBusyUpstream(ctx context.Context, class retry.Class, resp *http.Response) bool {
	if !ex.noWait {
		return false
	}
	ex.noWait = false
	if class != retry.Limited || resp.Header.Get(HeaderReason) != string(admission.ReasonBusy) {
		ex.f.refundNoWaitToken()
		return false
	}
	return ex.body.replayable() && ctx.Err() == nil
}

// retries returns the maximum number of further tries. If the retry policy counts tries
// that ended at a node separately (FreeTries), it is the route's number; otherwise it
// is at least 1, so that a try that did not run can be repeated as far as the budget
// permits.
func (ex *exchange) retries() int {
	if ex.f.cfg.Retry.FreeTries > 0 {
		return ex.route.Retries
	}
	return max(ex.route.Retries, 1)
}

// finish sends the response to the caller and records the request.
func (ex *exchange) finish(w http.ResponseWriter, resp *http.Response) {
	outcome := resp.Header.Get(HeaderOutcome)
	ex.noteAbandoned(resp.Header.Get(HeaderReason))
	if outcome != "" {
		ex.applyDialect(resp)
	}
	if ex.mayHaveRun && Outcome(outcome) == OutcomeNotRun {
		// The last try did not run, but an earlier one may have.
		discardResponse(resp)
		resp = ex.f.problemResponse(unknownOutcome(http.StatusBadGateway, resp.Header.Get(HeaderReason)), ex.req)
		outcome = string(OutcomeUnknown)
	}
	if outcome == "" {
		outcome = outcomeNames[0]
	}
	ex.returnQuota(outcome)
	sent, err := copyResponse(&progressingWriter{ResponseWriter: w, deadline: ex.deadline, stall: callerWriteStall}, resp)
	if err != nil {
		outcome = outcomeNames[len(outcomeNames)-1]
		ex.recordCut(clock.Now(), sent, err)
	}
	took := clock.Since(ex.start)
	if outcome == outcomeNames[0] {
		ex.f.observeResponseTime(ex.kind, took)
	}
	ex.f.metrics.finished(ex.kind, ex.env.Tenant, outcome, took, ex.tries)
	ex.finishShutdownRecord(outcome, resp.Header.Get(HeaderReason))
	ex.record(resp.StatusCode, outcome, resp.Header.Get(HeaderReason))
	ex.rememberRefusal(resp.StatusCode)
	if err != nil {
		// The status has been sent; only a broken connection tells the caller that the
		// response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// applyDialect adds the headers of the caller's dialect to a response that a node made.
func (ex *exchange) applyDialect(resp *http.Response) {
	d := ex.f.cfg.Dialect
	if ms, err := strconv.ParseInt(resp.Header.Get(HeaderRetryAfterMs), 10, 64); err == nil {
		resp.Header.Set("Retry-After", d.retryAfter(time.Duration(ms)*time.Millisecond))
	}
	if d.RequestID != "" {
		resp.Header.Set(d.RequestID, ex.req.Header.Get(d.RequestID))
	}
}
