package proxy

import (
	"net/http"

	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/routing"
)

// setObjective determines when the caller's first attempt arrived, and from it the
// objective deadline.
func (ex *exchange) setObjective() {
	if ex.route.Objective == 0 {
		return
	}
	ex.objectiveDeadline = ex.start.Add(ex.route.Objective)
	wait, ok := ex.f.cfg.Dialect.callerWait(ex.req.Header)
	if !ok {
		return
	}
	ex.callerExpiry = ex.start.Add(wait)
	ex.firstAttempt, ex.refusalIsFinal = ex.f.lookupFirstAttempt(ex.start, ex.route.Name, ex.identity(), ex.callerExpiry)
	ex.objectiveDeadline = ex.firstAttempt.Add(ex.route.Objective)
	if ex.refusalIsFinal && ex.deadline.After(ex.objectiveDeadline) {
		// A refusal would be final, so a late response is better.
		ex.objectiveDeadline = ex.deadline
	}
}

func (ex *exchange) identity() overload.Identity {
	return overload.Identity{Host: ex.req.Host, Method: ex.req.Method, Target: ex.req.URL.RequestURI()}
}

// rememberRefusal remembers a refused or failed request that its caller may retry.
func (ex *exchange) rememberRefusal(status int) {
	if ex.callerExpiry.IsZero() || ex.objectiveDeadline.IsZero() {
		return
	}
	if status >= http.StatusInternalServerError || impliesNotRun(status) {
		ex.f.addRefused(ex.route.Name, ex.identity(), ex.firstAttempt, ex.callerExpiry)
	}
}

// applyCandidate sets the request's objective state and weight for the chosen upstream.
func (ex *exchange) applyCandidate(c routing.Candidate) {
	ex.chosenBy = formatReport(c.Report)
	ex.env.KindWeight = ex.route.KindWeight * overload.Weight(ex.priority, ex.route.Objective, c.Late)
	if !ex.objectiveDeadline.IsZero() {
		ex.env.Objective = &ObjectiveState{Left: c.TimeLeft, Late: c.Late}
	}
}

// exceedsMaxWait reports whether even the best upstream is known to have so long a
// queue that it would refuse the request.
func exceedsMaxWait(c routing.Candidate) bool { return c.MaxWait > 0 && c.Wait > c.MaxWait }
