package proxy

import (
	"net/http"

	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/routing"
)

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
	var oneShot bool
	x.first, oneShot = x.f.firstAttempt(x.start, x.route.Name, x.identity(), x.expiry)
	x.aim = x.first.Add(x.route.Objective)
	if oneShot && x.deadline.After(x.aim) {
		// Late is better than refused for good.
		x.aim = x.deadline
	}
}

func (x *exchange) identity() overload.Identity {
	return overload.Identity{Host: x.req.Host, Method: x.req.Method, Target: x.req.URL.RequestURI()}
}

// remember notes a request that its caller may send again.
func (x *exchange) remember(status int) {
	if x.expiry.IsZero() || x.aim.IsZero() {
		return
	}
	if status >= http.StatusInternalServerError || impliesNotRun(status) {
		x.f.refused(x.route.Name, x.identity(), x.first, x.expiry)
	}
}

// place notes how the request stands to its objective at the chosen upstream.
func (x *exchange) place(c routing.Candidate) {
	x.env.KindWeight = x.route.KindWeight * overload.Weight(x.priority, x.route.Objective, c.Late)
	if !x.aim.IsZero() {
		x.env.Objective = &ObjectiveState{Left: c.TimeLeft, Late: c.Late}
	}
}

// hopeless reports whether even the best upstream is known to have so many
// waiting that the request would be refused there.
func hopeless(c routing.Candidate) bool { return c.MaxWait > 0 && c.Wait > c.MaxWait }
