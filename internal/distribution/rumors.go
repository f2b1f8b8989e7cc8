package distribution

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

func (e *Engine) receiveRumors(actions *Actions, now time.Time, from string, rumors []membership.Rumor) {
	for _, r := range rumors {
		changed, refutation := e.View.Apply(r, now)
		if changed {
			e.queueRumor(actions, from, r)
		}
		if refutation != nil {
			e.queueRumor(actions, "", *refutation)
		}
	}
}

// pendingRumor is a rumor to be sent to all neighbours except the one it came from.
type pendingRumor struct {
	rumor membership.Rumor
	from  string
}

// queueRumor queues a rumor for the next Flush. When many instances start or fail at
// once, rumors arrive in bursts; batching sends them in one message per link.
func (e *Engine) queueRumor(actions *Actions, from string, r membership.Rumor) {
	actions.MembersChanged = true
	actions.Flush = actions.Flush || len(e.pendingRumors) == 0
	e.pendingRumors = append(e.pendingRumors, pendingRumor{r, from})
}

// Flush returns the messages that send the queued rumors.
func (e *Engine) Flush() Actions {
	var actions Actions
	for _, peer := range e.neighbours() {
		var batch []membership.Rumor
		for _, p := range e.pendingRumors {
			if p.from != peer {
				batch = append(batch, p.rumor)
			}
		}
		if len(batch) > 0 {
			actions.addMessage(peer, CauseMembership, &Message{Rumors: batch})
		}
	}
	e.pendingRumors = nil
	return actions
}
