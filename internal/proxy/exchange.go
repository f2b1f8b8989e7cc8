package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/version"
)

// exchange is one request of a caller with its tries.
type exchange struct {
	f        *Frontend
	route    *snapshot.Route
	service  *snapshot.Service // of the route, or its share of a split
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
	aim time.Time
	// late says that it waits among those which are more likely late than not.
	late    bool
	tried   []string
	tries   int
	arrived int // tries that reached an upstream
	// mayHaveRun is set once a try ended ambiguously; from then on nothing may
	// be reported as not run.
	mayHaveRun bool
	trail      []TryRecord
	ended      retry.Reason // why no further try was made
	version    version.ID
	// noWait asks the next admitting node for a slot at once.
	noWait bool
}

func (x *exchange) serve(ctx context.Context, w http.ResponseWriter) {
	var err error
	_ = http.NewResponseController(w).SetReadDeadline(x.deadline)
	x.body, err = newRequestBody(x.req, x.f.bufferLimit(), x.f.cfg.BodyLimit())
	if err != nil {
		x.finish(w, x.f.answer(bodyProblem(err), x.req))
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
		if class.Arrived() {
			x.arrived++
		}
		if class == retry.Answered {
			x.finish(w, resp)
			return
		}
		reason := x.f.again(x.service.Name, retry.Try{
			Class:      class,
			Idempotent: x.route.Idempotent,
			Arrived:    x.arrived,
			Number:     x.tries,
			Retries:    x.retries(),
			Remaining:  x.remaining(class),
			Replayable: x.body.replayable(),
		})
		if reason != retry.Go || ctx.Err() != nil {
			x.f.metrics.notRetried(reason)
			x.ended = reason
			x.finish(w, resp)
			return
		}
	}
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
	if x.arrived == 0 && class.NotRun() && !x.aim.IsZero() && !x.late {
		return time.Until(x.aim)
	}
	return time.Until(x.deadline)
}

// asksForSlot reports whether the request first asks for a slot at once. Where the
// waits are told, the choice knows them already: asking first sent calls from the
// quickest upstream on to one that could not run them in time, and their parents
// failed. Without it 5.0% in place of 11.2% of the answers were failures of the
// upstream itself on a day with a service of two upstreams left (one play each).
func (x *exchange) asksForSlot() bool {
	return !x.f.cfg.Routing.ByTime && x.mayGoElsewhere()
}

// mayGoElsewhere reports whether another upstream could take the request.
func (x *exchange) mayGoElsewhere() bool {
	return x.route.Pinned == nil && !x.homed() && len(x.service.Upstreams) > 1
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
	err := copyResponse(w, resp)
	if err != nil {
		outcome = outcomeNames[len(outcomeNames)-1]
	}
	x.f.metrics.finished(x.route.Kind, x.env.Tenant, outcome, time.Since(x.start), x.tries)
	x.record(resp.StatusCode, outcome, resp.Header.Get(HeaderReason))
	x.remember(resp.StatusCode)
	if err != nil {
		// The status is out; only a broken connection tells the caller that the
		// answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// recognise finds out when the caller's first attempt came and so when the
// request should be answered.
func (x *exchange) recognise() {
	if x.route.Objective == 0 {
		return
	}
	x.aim = x.start.Add(x.route.Objective)
	wait, ok := x.f.cfg.Dialect.callerWait(x.req.Header)
	if !ok {
		return
	}
	x.expiry = x.start.Add(wait)
	x.first = x.f.firstAttempt(x.start, x.identity(), x.expiry)
	x.aim = x.first.Add(x.route.Objective)
}

// remember notes a request that its caller may send again.
func (x *exchange) remember(status int) {
	if x.expiry.IsZero() || x.aim.IsZero() {
		return
	}
	if status >= http.StatusInternalServerError || impliesNotRun(status) {
		x.f.refused(x.identity(), x.first, x.expiry)
	}
}

func (x *exchange) identity() overload.Identity {
	return overload.Identity{Host: x.req.Host, Method: x.req.Method, Target: x.req.URL.RequestURI()}
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

// try makes one try at target and returns its response, made up if there was none.
func (x *exchange) try(ctx context.Context, target membership.Instance) (*http.Response, retry.Class) {
	x.tries++
	x.tried = append(x.tried, target.Name)
	x.f.began(target.Name)
	sent := time.Now()
	resp, class := x.tryAt(ctx, target, sent)
	x.noteTry(target.Name, sent, class, resp)
	return resp, class
}

// tryAt makes one try at an upstream, and tells the router how it ended.
func (x *exchange) tryAt(ctx context.Context, target membership.Instance, sent time.Time) (*http.Response, retry.Class) {
	resp, problem := x.send(ctx, target)
	if problem != nil {
		x.f.ended(target.Name, routing.Outcome{Failed: ctx.Err() == nil})
		return x.f.answer(problem, x.req), problem.class
	}
	class := classOf(resp.Header)
	way := readWay(resp.Header, time.Since(sent))
	if class != retry.Answered {
		failed := class == retry.NeverDispatched || class == retry.Rejected || class == retry.Ambiguous
		x.f.ended(target.Name, routing.Outcome{Failed: failed, Denied: denied(resp.Header), Told: readLoad(resp.Header), Kind: x.route.Kind, Late: x.late, Way: way})
		return resp, class
	}
	if resp.Body, _ = whole(resp, x.f.cfg.WholeAnswers); resp.Body == nil {
		x.f.ended(target.Name, routing.Outcome{Failed: true})
		problem := unknownOutcome(http.StatusBadGateway, reasonLost)
		return x.f.answer(problem, x.req), problem.class
	}
	latency := time.Since(sent)
	x.f.heard(target.Name)
	told := readLoad(resp.Header)
	resp.Body = &endingBody{ReadCloser: resp.Body, want: resp.ContentLength, end: func(bool) {
		x.f.ended(target.Name, routing.Outcome{Failed: resp.StatusCode >= http.StatusInternalServerError, Latency: latency, Told: told, Kind: x.route.Kind, Late: x.late, Way: way})
	}}
	if x.req.Method == http.MethodHead {
		resp.Body.(*endingBody).want = -1
	}
	return resp, class
}

// denied reports whether a refusal says that another instance stands at the
// target's address.
func denied(h http.Header) bool {
	reason := h.Get(HeaderReason)
	return reason == reasonMisdirected || reason == string(admission.ReasonWrongTarget)
}

// choose picks the upstream of the next try: the key's home for a keyed
// non-idempotent request, otherwise by the router.
func (x *exchange) choose() (membership.Instance, *Problem) {
	if x.homed() {
		return x.chooseHome()
	}
	c, ok := x.pick()
	if !ok {
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonNoUpstream, defaultRetryAfter)
	}
	x.place(c)
	if hopeless(c) {
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonBusy, c.Wait)
	}
	return c.Instance, nil
}

// pick asks the router for an upstream that was not tried yet.
func (x *exchange) pick() (routing.Candidate, bool) {
	return x.f.pick(routing.Request{
		Service:  x.service,
		Pinned:   x.route.Pinned,
		Tried:    x.tried,
		Kind:     x.route.Kind,
		Aim:      x.aim,
		Returned: x.first.Before(x.start),
	})
}

// hopeless reports whether even the best upstream is known to have so many
// waiting that the request would be refused there.
func hopeless(c routing.Candidate) bool { return c.Patience > 0 && c.Wait > c.Patience }

// place notes how the request stands to its objective at the chosen upstream.
func (x *exchange) place(c routing.Candidate) {
	x.late = c.Late
	x.env.KindWeight = x.route.KindWeight * overload.Weight(x.route.Priority, x.route.Objective, c.Late)
	if !x.aim.IsZero() {
		x.env.Aim = &Aim{Left: c.Left, Late: c.Late}
	}
}

func (x *exchange) chooseHome() (membership.Instance, *Problem) {
	key := ledger.Key{Service: x.env.Service, Tenant: x.env.Tenant, Value: x.env.Key}
	m, ok := x.f.members(ledger.Home(x.service, key))
	if !ok || m.Status == membership.Gone {
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonHome, defaultRetryAfter)
	}
	return m.Instance, nil
}

// send hands the request to the node beside the target.
func (x *exchange) send(ctx context.Context, target membership.Instance) (*http.Response, *Problem) {
	way, err := x.f.dispatch.To(ctx, target)
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, retry.NeverDispatched, reasonUnreachable, defaultRetryAfter)
	}
	admitted := make(chan struct{})
	out := x.request(ctx, target, admitted)
	resp, err := way.RoundTrip(out)
	if err != nil {
		return nil, sendFailure(ctx, err)
	}
	return resp, nil
}

// request builds the request to the admitting node.
func (x *exchange) request(ctx context.Context, target membership.Instance, admitted chan struct{}) *http.Request {
	env := x.env
	env.Target = target.Name
	env.Timeout = time.Until(x.deadline)
	env.Await = x.body.streams()
	env.Empty = x.body.length == 0
	env.NoWait = x.noWait
	if env.Await {
		ctx = withAdmitted(ctx, sync.OnceFunc(func() { close(admitted) }))
	}
	out := x.req.Clone(ctx)
	out.URL.Scheme = "https"
	out.URL.Host = target.Name
	out.Host = x.req.Host
	out.Body = x.body.open(ctx, admitted)
	out.ContentLength = x.body.length
	out.GetBody = nil
	stripHop(out.Header)
	env.write(out.Header)
	d := x.f.cfg.Dialect
	if d.CallerService != "" {
		out.Header.Set(d.CallerService, x.f.cfg.CallerService())
	}
	if d.ExpectedInstance != "" {
		out.Header.Del(d.ExpectedInstance)
	}
	return out
}
