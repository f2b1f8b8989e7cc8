package proxy

import (
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/overload"
)

// commitBody commits the link to a body that is received before its request is admitted.
// It refuses the request, whose body the sender still withholds, if the body can't arrive
// early enough for the request to run within its objective. The commitment is nil if the
// link's rate is not known.
func (c *backendCall) commitBody() (*linkCommitment, *Problem) {
	if c.b.cfg.Links == nil {
		return nil, nil
	}
	var left time.Duration
	if c.env.Objective != nil {
		run := c.b.runTimeQuantile(c.env.Kind, overload.SafeRunQuantile)
		left = c.env.Objective.Left - clock.Since(c.start) - run
	}
	slotWait := c.b.gate.Forecast(c.env.queueKind(), c.env.KindWeight).Wait
	commitment, d := c.b.cfg.Links.receive.admit(exactly(c.req.ContentLength), slotWait, left, c.env.Objective != nil)
	if commitment == nil {
		return nil, c.b.metrics.linkProblem(linkCauseBody, d)
	}
	return commitment, nil
}

// waitWithBody returns the expected wait of a request with a long body. While the link has
// a backlog, the bodies received at once wait for it too, so the longest of the waits
// counts. Otherwise a body is received before the wait for a slot, and both count.
func (b *Backend) waitWithBody(forSlot time.Duration) time.Duration {
	limited := b.receiveLimiter.expectedWait()
	if b.cfg.Links == nil {
		return forSlot + limited
	}
	forLink := b.cfg.Links.receive.wait(0)
	if forLink == 0 {
		return forSlot + limited
	}
	return max(forSlot, limited, forLink)
}
