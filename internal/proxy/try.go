package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
)

// try makes one try at target and returns its response, made up if there was none.
func (x *exchange) try(ctx context.Context, target membership.Instance) (*http.Response, retry.Class) {
	x.tries++
	x.tried = append(x.tried, target.Name)
	x.f.began(target)
	x.begins(false)
	sent := clock.Now()
	resp, class := x.tryAt(ctx, target, sent)
	x.noteTry(target.Name, sent, class, resp)
	return resp, class
}

// tryAt makes one try at an upstream, and tells the router how it ended.
func (x *exchange) tryAt(ctx context.Context, target membership.Instance, sent time.Time) (*http.Response, retry.Class) {
	resp, problem := x.send(ctx, target)
	if problem != nil {
		x.f.ended(target.Name, routing.Outcome{Generation: target.Generation, Failed: ctx.Err() == nil})
		return x.f.answer(problem, x.req), problem.class
	}
	class := classOf(resp.Header)
	way := readWay(resp.Header, clock.Since(sent))
	if class != retry.Answered {
		failed := class == retry.NeverDispatched || class == retry.Rejected || class == retry.Ambiguous
		x.f.ended(target.Name, routing.Outcome{Generation: target.Generation, Failed: failed, WrongInstance: denied(resp.Header), Load: readLoad(resp.Header), Kind: x.kind, Late: x.env.late(), NetworkTime: way})
		return resp, class
	}
	x.begins(true)
	limit, kept := x.f.wholeLimit(resp.ContentLength)
	x.f.held.Add(kept)
	if resp.Body, _ = whole(resp, limit); resp.Body == nil {
		x.f.held.Add(-kept)
		x.f.ended(target.Name, routing.Outcome{Generation: target.Generation, Failed: true})
		problem := unknownOutcome(http.StatusBadGateway, reasonLost)
		return x.f.answer(problem, x.req), problem.class
	}
	latency := clock.Since(sent)
	x.f.heard(target.Name)
	told := readLoad(resp.Header)
	resp.Body = &endingBody{ReadCloser: resp.Body, want: resp.ContentLength, end: func(bool) {
		x.f.held.Add(-kept)
		x.f.ended(target.Name, routing.Outcome{Generation: target.Generation, Failed: resp.StatusCode >= http.StatusInternalServerError, Latency: latency, Load: told, Kind: x.kind, Late: x.env.late(), NetworkTime: way})
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
		if c.Wait > 0 { // all that are left are cold
			return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, string(admission.ReasonCold), c.Wait)
		}
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
		Service:           x.service,
		Pinned:            x.route.Upstream,
		Tried:             x.tried,
		Kind:              x.kind,
		ObjectiveDeadline: x.aim,
		CallerRetry:       x.first.Before(x.start),
	})
}

func (x *exchange) chooseHome() (membership.Instance, *Problem) {
	key := ledger.Key{Service: x.env.Service, Tenant: x.env.Tenant, Value: x.env.Key}
	m, ok := x.f.members(ledger.Owner(x.service, key))
	if !ok || m.Status == membership.Gone {
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonHome, defaultRetryAfter)
	}
	return m.Instance, nil
}

// send hands the request to the node beside the target.
func (x *exchange) send(ctx context.Context, target membership.Instance) (*http.Response, *Problem) {
	way, err := x.f.dispatch.TransportTo(ctx, target)
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
	env.Timeout = clock.Until(x.deadline)
	env.AwaitsAdmission = x.body.streams()
	env.EmptyBody = x.body.length == 0
	env.NoWait = x.noWait
	if env.AwaitsAdmission {
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
	if d.CustomerKey != "" {
		out.Header.Del(d.CustomerKey)
	}
	if d.CallerService != "" {
		out.Header.Set(d.CallerService, x.f.cfg.CallerService())
	}
	if d.ExpectedInstance != "" {
		out.Header.Del(d.ExpectedInstance)
	}
	return out
}
