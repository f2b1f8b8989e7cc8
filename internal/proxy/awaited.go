package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/link"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
)

// awaitedResponses is what a frontend has seen of the responses of other nodes, by route.
// A route is narrower than a kind, so that short responses are not taken for long ones.
type awaitedResponses struct {
	mu    sync.Mutex
	sizes *overload.ResponseSizes
	runs  map[string]time.Duration // typical run time of routes with a known size
}

func newAwaitedResponses() *awaitedResponses {
	return &awaitedResponses{sizes: overload.NewResponseSizes(), runs: make(map[string]time.Duration)}
}

// observe records the response of an upstream.
func (a *awaitedResponses) observe(route string, resp *http.Response) {
	if resp.ContentLength < 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sizes.Observe(route, resp.ContentLength)
	if run := readRunTimes(resp.Header).Typical; run > 0 && a.sizes.Mean(route) > 0 {
		a.runs[route] = run
	}
}

// expect returns the response size and the typical run time of a route; zero if unknown.
func (a *awaitedResponses) expect(route string) (size transferSize, run time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return expectedSize(a.sizes, route), a.runs[route]
}

// localTargets is implemented by dispatchers that know which instances are on this
// machine, so that no link lies between.
type localTargets interface {
	Local(in membership.Instance) bool
}

// overLink reports whether requests to the target pass the machine's link and its rate is
// known.
func (f *Frontend) overLink(target membership.Instance) bool {
	if f.cfg.Links == nil {
		return false
	}
	d, ok := f.dispatcher.(localTargets)
	return !ok || !d.Local(target)
}

// awaitResponse commits this machine's link to the response of a try whose route has long
// responses. It refuses the request if the response can't arrive within the objective.
func (ex *exchange) awaitResponse(target membership.Instance) *Problem {
	ex.awaiting = nil
	if !ex.f.overLink(target) || ex.req.Method == http.MethodHead {
		return nil
	}
	size, run := ex.f.awaited.expect(ex.route.Name)
	if size.mean < link.LongThreshold {
		return nil
	}
	bounded := !ex.objectiveDeadline.IsZero()
	var left time.Duration
	if bounded {
		left = clock.Until(ex.objectiveDeadline)
	}
	commitment, d := ex.f.cfg.Links.receive.admit(size, run, left, bounded)
	if commitment == nil {
		p := ex.f.metrics.linkProblem(linkCauseAwaited, d)
		ex.linkDecision = p.link
		return p
	}
	ex.awaiting = commitment
	return nil
}

// countRequest counts a request that is sent to another node.
func (f *Frontend) countRequest(target membership.Instance, out *http.Request) {
	if !f.overLink(target) {
		return
	}
	f.cfg.Links.send.short(headBytes)
	if out.Body != nil && out.Body != http.NoBody {
		out.Body = &countedBody{ReadCloser: out.Body, m: f.cfg.Links.send}
	}
}

// countRefusal counts the response by which another node refuses a request.
func (f *Frontend) countRefusal(target membership.Instance, resp *http.Response) {
	if f.overLink(target) {
		f.cfg.Links.receive.short(headBytes + min(max(resp.ContentLength, 0), link.LongThreshold))
	}
}

// receiveResponse counts the response of an upstream as it arrives.
func (ex *exchange) receiveResponse(target membership.Instance, resp *http.Response) {
	if !ex.f.overLink(target) || ex.req.Method == http.MethodHead {
		return
	}
	ex.f.awaited.observe(ex.route.Name, resp)
	receive := ex.f.cfg.Links.receive
	receive.short(headBytes)
	if resp.ContentLength < link.LongThreshold {
		ex.awaiting.release()
		resp.Body = &countedBody{ReadCloser: resp.Body, m: receive}
		return
	}
	if ex.awaiting == nil {
		ex.awaiting, _ = receive.admit(exactly(resp.ContentLength), 0, 0, false)
	}
	ex.awaiting.resize(resp.ContentLength)
	resp.Body = &arrivingBody{ReadCloser: resp.Body, commitment: ex.awaiting}
}

// arrivingBody subtracts the bytes that arrive from a commitment.
type arrivingBody struct {
	io.ReadCloser
	commitment *linkCommitment
}

func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.commitment.transferred(int64(n))
	}
	return n, err
}
