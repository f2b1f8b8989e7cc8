package sidecar

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
)

// ends counts the connections that ended by their cause, and writes a line for
// each that left a request without an answer or bytes unread, within a budget.
type ends struct {
	log    *log.Logger
	budget *lineBudget
	state  func(now time.Time) nodeState
	counts map[http1.EndCause]endCounts
	side   string
}

// nodeState is what a line tells of the node beside the connection.
type nodeState struct {
	tableAge time.Duration
	leaving  bool
}

type endCounts struct{ all, unread, unanswered tally.Counter }

// newEnds returns the ends of one listening side.
func newEnds(l *log.Logger, scope tally.Scope, side string, state func(time.Time) nodeState) *ends {
	e := &ends{
		log:    l,
		budget: newLineBudget(),
		state:  state,
		counts: make(map[http1.EndCause]endCounts),
		side:   side,
	}
	for _, cause := range http1.EndCauses() {
		tagged := scope.Tagged(map[string]string{"side": side, "cause": string(cause)})
		e.counts[cause] = endCounts{
			all:        tagged.Counter("connections_ended"),
			unread:     tagged.Counter("connections_ended_unread"),
			unanswered: tagged.Counter("requests_unanswered"),
		}
	}
	return e
}

func (e *ends) ended(end http1.ConnEnd) {
	c := e.counts[end.Cause]
	c.all.Inc(1)
	c.unanswered.Inc(int64(end.Unanswered))
	if end.Unread {
		c.unread.Inc(1)
	}
	// A caller that leaves or was told expects no more answers.
	left := end.Unread || end.Unanswered > 0 || end.BytesAfterClose > 0 && end.Cause != http1.EndHeadRejected
	if !left || end.Cause == http1.EndCallerDisconnected || end.Cause == http1.EndAnnounced && end.Unanswered == 0 {
		return
	}
	leftOut, ok := e.budget.take()
	if !ok {
		return
	}
	state := e.state(clock.Now())
	e.log.Info("connection ended under a request",
		"side", e.side,
		"cause", string(end.Cause),
		"unread", end.Unread,
		"unanswered", end.Unanswered,
		"crossed", end.BytesAfterClose,
		"late_ms", millis(end.DetectionDelay),
		"table_age_ms", millis(state.tableAge),
		"leaving", state.leaving,
		"left_out", leftOut,
	)
}

// state is the state of the node at a time.
func (s *Sidecar) state(at time.Time) nodeState {
	return nodeState{tableAge: s.follower.TableAge(at), leaving: s.leaving.Load()}
}
