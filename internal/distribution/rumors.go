package distribution

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

func (e *Engine) receiveRumors(fx *Actions, now time.Time, from string, rumors []membership.Rumor) {
	for _, r := range rumors {
		news, refute := e.View.Apply(r, now)
		if news {
			e.spread(fx, from, r)
		}
		if refute != nil {
			e.spread(fx, "", *refute)
		}
	}
}

// pendingRumor is a rumor on its way to all neighbours but the one it came
// from.
type pendingRumor struct {
	rumor membership.Rumor
	from  string
}

// spread queues a rumor for the next Flush. Rumors come in herds, when many
// instances start or fail at once; one message a link then carries them all.
func (e *Engine) spread(fx *Actions, from string, r membership.Rumor) {
	fx.MembersChanged = true
	fx.Flush = fx.Flush || len(e.pending) == 0
	e.pending = append(e.pending, pendingRumor{r, from})
}

// Flush sends the queued rumors.
func (e *Engine) Flush() Actions {
	var fx Actions
	for _, peer := range e.neighbours() {
		var batch []membership.Rumor
		for _, p := range e.pending {
			if p.from != peer {
				batch = append(batch, p.rumor)
			}
		}
		if len(batch) > 0 {
			fx.send(peer, CauseMembership, &Message{Rumors: batch})
		}
	}
	e.pending = nil
	return fx
}
