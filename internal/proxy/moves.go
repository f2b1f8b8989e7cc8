package proxy

import (
	"context"
	"net/http"
	"strconv"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
)

// maxMoves is the number of times that a request may be moved. Its first choice may be
// wrong by one upstream's change, its second one by another's; a request that is moved
// more often spends the time that it could wait.
const maxMoves = 2

// movePolicy bounds the moves of a node. They add forwarded requests, but never work at
// an upstream. The ratio admits one move for every second request while an upstream with
// up to half of the node's requests is slow. The reserve covers the requests in flight of
// a node that has just started, as each of them holds a token.
var movePolicy = retry.Policy{Ratio: 0.5, Reserve: 20}

// movable reports whether the request may be returned by the upstream that it goes to
// next, and sent to another one.
func (ex *exchange) movable() bool {
	return ex.moves < maxMoves && ex.hasAlternative() && !ex.body.streamed()
}

// boundWait sets how long the request should wait at the chosen upstream. The bound holds
// a token of the move budget until the try has ended or is not made. Without a token the
// request queues.
func (ex *exchange) boundWait(c routing.Candidate) {
	bound := routing.WorthwhileWait(c)
	if bound.Worthwhile == 0 || !ex.movable() {
		return
	}
	if !ex.f.withdrawMoveToken() {
		ex.f.metrics.moveWithheld()
		return
	}
	ex.env.WaitBound, ex.reports = bound, ReportAges{Chosen: c.Report.Age, Second: c.SecondAge}
}

// dropWaitBound refunds the token of a bound whose try is not made, or was not moved.
func (ex *exchange) dropWaitBound() {
	if ex.env.WaitBound.Worthwhile > 0 {
		ex.env.WaitBound = admission.WaitBound{}
		ex.f.refundMoveToken()
	}
}

// movesOn reports whether the upstream of the last try has returned the request, so that
// it goes to the next choice. That is not a try: the request has not run, and the
// upstream may be chosen again.
func (ex *exchange) movesOn(ctx context.Context, class retry.Class, resp *http.Response) bool {
	if ex.env.WaitBound.Worthwhile == 0 {
		return false
	}
	if class != retry.Limited || resp.Header.Get(HeaderReason) != string(admission.ReasonMoved) || ex.retriesStopped(ctx) {
		ex.dropWaitBound()
		return false
	}
	ex.env.WaitBound = admission.WaitBound{}
	last := len(ex.tried) - 1
	ex.movedFrom = append(ex.movedFrom, ex.tried[last])
	ex.tried = ex.tried[:last]
	ex.tries--
	ex.moves++
	ex.f.metrics.moved(ex.moves)
	discardResponse(resp)
	return true
}

func (f *Frontend) withdrawMoveToken() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moveBudget.Withdraw()
}

func (f *Frontend) refundMoveToken() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moveBudget.Return()
}

// moved counts the nth move of a request.
func (m *Metrics) moved(n int) {
	m.scope.Tagged(map[string]string{"move": strconv.Itoa(n)}).Counter("requests_moved").Inc(1)
}

// moveWithheld counts a request that was sent without a bound because the move budget was
// used up.
func (m *Metrics) moveWithheld() {
	m.scope.Tagged(map[string]string{"cause": string(retry.ReasonBudget)}).Counter("moves_withheld").Inc(1)
}
