package proxy

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// Step is what a request waits for at a node.
type Step string

// Steps of a request, in their order.
const (
	StepAdmission Step = "admission" // the choice of an upstream, or a slot of the own one
	StepDial      Step = "dial"      // a connection to the next hop
	StepWrite     Step = "write"     // the write of the request
	StepResponse  Step = "response"
)

// Sides from which a node gets requests.
const (
	sideCallers = "callers"
	sideNodes   = "nodes"
)

// notReached is the time of a step that a request has not reached.
const notReached = time.Duration(-1)

// AbandonedRequest describes a request whose caller disconnected before the end of its
// response, for logs. Times count from its arrival at this node and are those of its last
// try; they are negative if it has not got that far.
type AbandonedRequest struct {
	ID   string // sent by the caller
	Kind string
	// Side is "callers", or "nodes" for a request of another node, whose connection ended.
	Side     string
	Upstream string // chosen last; empty if none was
	Tries    int
	Step     Step // in which the disconnect was noticed
	// Admitted is when the upstream was chosen, or on the side of nodes its slot granted.
	Admitted time.Duration
	// Connected and Written are of the next hop: another node, or the upstream.
	Connected, Written time.Duration
	Noticed            time.Duration // when the disconnect was noticed
}

// AbandonedRecorder receives abandoned requests. It must not block.
type AbandonedRecorder func(AbandonedRequest)

// trySteps records when a try was connected and written. A transport may report that
// concurrently with its round trip.
type trySteps struct {
	start              time.Time // the request's arrival
	admitted           time.Time
	connected, written atomic.Int64 // nanoseconds from start, plus 1; 0 if not reached
}

func newTrySteps(start time.Time) *trySteps {
	return &trySteps{start: start, admitted: clock.Now()}
}

// trace returns a context by which the transport reports its steps.
func (s *trySteps) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { s.connected.Store(int64(clock.Since(s.start)) + 1) },
		WroteRequest: func(httptrace.WroteRequestInfo) { s.written.Store(int64(clock.Since(s.start)) + 1) },
	})
}

// isConnected reports whether the try has got a connection to the next hop.
func (s *trySteps) isConnected() bool { return s.connected.Load() > 0 }

// describe fills in the steps that a request has reached by now. A request without a try
// has none.
func (s *trySteps) describe(r *AbandonedRequest, start time.Time) {
	r.Admitted, r.Connected, r.Written, r.Noticed = notReached, notReached, notReached, clock.Since(start)
	r.Step = StepAdmission
	if s == nil {
		return
	}
	r.Admitted, r.Step = s.admitted.Sub(start), StepDial
	if at := s.connected.Load(); at > 0 {
		r.Connected, r.Step = time.Duration(at), StepWrite
	}
	if at := s.written.Load(); at > 0 {
		r.Written, r.Step = time.Duration(at), StepResponse
	}
}

// noteAbandoned records and counts the request if its caller has disconnected.
func (ex *exchange) noteAbandoned(reason string) {
	if ex.req.Context().Err() == nil && reason != reasonCallerLeft {
		return
	}
	r := AbandonedRequest{ID: ex.req.Header.Get(ex.f.cfg.Dialect.RequestID), Kind: ex.kind, Side: sideCallers, Tries: ex.tries}
	if len(ex.tried) > 0 {
		r.Upstream = ex.tried[len(ex.tried)-1]
	}
	ex.steps.describe(&r, ex.start)
	ex.f.metrics.abandoned(r)
	ex.f.cfg.OnAbandoned(r)
}

// noteAbandoned records and counts the request of another node if that has disconnected.
func (c *backendCall) noteAbandoned(reason string) {
	if !c.remote || c.req.Context().Err() == nil && reason != reasonCallerLeft {
		return
	}
	r := AbandonedRequest{ID: c.req.Header.Get(c.b.cfg.Dialect.RequestID), Kind: c.env.Kind, Side: sideNodes, Upstream: c.env.Target, Tries: 1}
	c.steps.describe(&r, c.start)
	c.b.metrics.abandoned(r)
	c.b.cfg.OnAbandoned(r)
}

// abandoned counts a request whose caller disconnected.
func (m *Metrics) abandoned(r AbandonedRequest) {
	m.scope.Tagged(map[string]string{"side": r.Side, "step": string(r.Step)}).Counter("requests_abandoned").Inc(1)
}
