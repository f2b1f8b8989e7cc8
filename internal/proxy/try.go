package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
)

// try makes one try at target and returns its response, or a response made by this node
// if there was none.
func (ex *exchange) try(ctx context.Context, target membership.Instance) (*http.Response, retry.Class) {
	ex.tries++
	ex.tried = append(ex.tried, target.Name)
	ex.env.KnownLimit = ex.f.tryStarted(target)
	ex.setResponding(false)
	sent := clock.Now()
	resp, class := ex.tryUpstream(ctx, target, sent)
	if class != retry.Answered {
		ex.awaiting.release()
		ex.body.endTry()
	}
	ex.recordTry(target.Name, sent, class, resp)
	return resp, class
}

// tryUpstream makes one try at an upstream and reports the result to the router.
func (ex *exchange) tryUpstream(ctx context.Context, target membership.Instance, sent time.Time) (*http.Response, retry.Class) {
	ex.steps = newTrySteps(ex.start)
	resp, problem := ex.send(ex.steps.trace(ctx), target)
	if problem != nil {
		ex.f.tryEnded(target.Name, routing.Outcome{Generation: target.Generation, Failed: ctx.Err() == nil && !problem.abandoned()})
		return ex.f.problemResponse(problem, ex.req), problem.class
	}
	class := classOf(resp.Header)
	load := readLoadReport(resp.Header)
	ex.f.recordLeaving(target, load)
	networkTime := readNetworkTime(resp.Header, clock.Since(sent))
	ex.f.acceptPeerLoads(ex.service.Name, networkTime, resp.Header)
	if class != retry.Answered {
		ex.f.countRefusal(target, resp)
		failed := class == retry.NeverDispatched || class == retry.Rejected || class == retry.Ambiguous
		ex.f.tryEnded(target.Name, routing.Outcome{Generation: target.Generation, Failed: failed, WrongInstance: reportsWrongInstance(resp.Header), OverLimit: resp.Header.Get(HeaderReason) == string(admission.ReasonAdvertisedLimit), Load: load, Kind: ex.kind, Late: ex.env.late(), NetworkTime: networkTime})
		return resp, class
	}
	ex.setResponding(true)
	ex.receiveResponse(target, resp)
	limit, reserved := ex.f.responseBufferLimit(resp.ContentLength)
	ex.f.shutdownBuffered.Add(reserved)
	if resp.Body, _ = bufferResponse(resp, limit); resp.Body == nil {
		ex.f.shutdownBuffered.Add(-reserved)
		ex.f.tryEnded(target.Name, routing.Outcome{Generation: target.Generation, Failed: true})
		problem := unknownOutcome(http.StatusBadGateway, reasonConnectionLost)
		return ex.f.problemResponse(problem, ex.req), problem.class
	}
	latency := clock.Since(sent)
	ex.f.responseStarted(target.Name)
	resp.Body = &trackedBody{ReadCloser: resp.Body, expected: resp.ContentLength, onEnd: func(bool) {
		ex.awaiting.release()
		ex.f.shutdownBuffered.Add(-reserved)
		ex.f.tryEnded(target.Name, routing.Outcome{Generation: target.Generation, Failed: resp.StatusCode >= http.StatusInternalServerError, Latency: latency, Load: load, Kind: ex.kind, Late: ex.env.late(), NetworkTime: networkTime})
	}}
	if ex.req.Method == http.MethodHead {
		resp.Body.(*trackedBody).expected = -1
	}
	return resp, class
}

// reportsWrongInstance reports whether a refusal says that another instance answers at
// the target's address.
func reportsWrongInstance(h http.Header) bool {
	reason := h.Get(HeaderReason)
	return reason == reasonWrongInstance || reason == string(admission.ReasonWrongTarget)
}

// chooseInTime is choose for a request that would not be cut by the shutdown of this node.
func (ex *exchange) chooseInTime() (membership.Instance, *Problem) {
	if problem := ex.refuseBeforeShutdown(clock.Now()); problem != nil {
		return membership.Instance{}, problem
	}
	return ex.choose()
}

// choose picks the upstream of the next try: the owner of its key for a keyed
// non-idempotent request, otherwise the router's choice.
func (ex *exchange) choose() (membership.Instance, *Problem) {
	if ex.hasOwner() {
		return ex.chooseOwner()
	}
	c, ok := ex.pick()
	if !ok {
		if c.Wait > 0 { // all upstreams left are cold
			return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, string(admission.ReasonCold), c.Wait)
		}
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonNoUpstream, defaultRetryAfter)
	}
	ex.applyCandidate(c)
	if exceedsMaxWait(c) {
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonAllBusy, c.Wait)
	}
	ex.boundWait(c)
	return c.Instance, nil
}

// pick asks the router for an upstream that has not been tried yet.
func (ex *exchange) pick() (routing.Candidate, bool) {
	return ex.f.pick(routing.Request{
		Service:           ex.service,
		Pinned:            ex.route.Upstream,
		Tried:             ex.tried,
		MovedFrom:         ex.movedFrom,
		Kind:              ex.kind,
		ObjectiveDeadline: ex.objectiveDeadline,
		CallerRetry:       ex.firstAttempt.Before(ex.start),
	})
}

func (ex *exchange) chooseOwner() (membership.Instance, *Problem) {
	key := ledger.Key{Service: ex.env.Service, Tenant: ex.env.Tenant, Value: ex.env.Key}
	m, ok := ex.f.members(ledger.Owner(ex.service, key))
	if !ok || m.Status == membership.Gone {
		return membership.Instance{}, notRun(http.StatusServiceUnavailable, retry.Limited, reasonOwnerUnavailable, defaultRetryAfter)
	}
	return m.Instance, nil
}

// send forwards the request to the node beside the target.
func (ex *exchange) send(ctx context.Context, target membership.Instance) (*http.Response, *Problem) {
	transport, err := ex.f.dispatcher.TransportTo(ctx, target)
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, retry.NeverDispatched, reasonUnreachable, defaultRetryAfter)
	}
	admitted := make(chan struct{})
	out := ex.peerRequest(ctx, target, admitted)
	ex.f.countRequest(target, out)
	resp, err := transport.RoundTrip(out)
	switch {
	case errors.Is(err, http1.ErrAbandoned):
		return nil, ex.abandonedProblem(err)
	case err != nil:
		return nil, sendFailure(ctx, err)
	}
	return resp, nil
}

// peerRequest builds the request to the admitting node.
func (ex *exchange) peerRequest(ctx context.Context, target membership.Instance, admitted chan struct{}) *http.Request {
	env := ex.env
	env.Target = target.Name
	env.Timeout = clock.Until(ex.deadline)
	env.AwaitsAdmission = ex.body.streamed()
	env.EmptyBody = ex.body.length == 0
	env.NoWait = ex.noWait
	if env.AwaitsAdmission {
		ctx = withAdmitted(ctx, sync.OnceFunc(func() { close(admitted) }))
	}
	out := ex.req.Clone(ctx)
	out.URL.Scheme = "https"
	out.URL.Host = target.Name
	out.Host = ex.req.Host
	out.Body = ex.body.open(ctx, admitted)
	out.ContentLength = ex.body.length
	out.GetBody = nil
	stripHop(out.Header)
	env.write(out.Header)
	d := ex.f.cfg.Dialect
	if d.CustomerKey != "" {
		out.Header.Del(d.CustomerKey)
	}
	if d.CallerService != "" {
		out.Header.Set(d.CallerService, ex.f.cfg.CallerService())
	}
	if d.ExpectedInstance != "" {
		out.Header.Del(d.ExpectedInstance)
	}
	return out
}
