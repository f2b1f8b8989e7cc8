package sidecar

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
)

// connEndRecorder counts ended connections by close cause. It logs those that left a
// request without a response or bytes unread, within the rate limit of limiter.
type connEndRecorder struct {
	log     *log.Logger
	limiter *logLimiter
	state   func(now time.Time) nodeState
	counts  map[http1.EndCause]connEndCounters
	side    string
}

// nodeState is the state of the node that a log line about a connection includes.
type nodeState struct {
	tableAge time.Duration
	leaving  bool
}

type connEndCounters struct{ all, unread, unanswered tally.Counter }

// newConnEndRecorder returns the recorder of one listening side.
func newConnEndRecorder(l *log.Logger, scope tally.Scope, side string, state func(time.Time) nodeState) *connEndRecorder {
	e := &connEndRecorder{
		log:     l,
		limiter: newLogLimiter(),
		state:   state,
		counts:  make(map[http1.EndCause]connEndCounters),
		side:    side,
	}
	for _, cause := range http1.EndCauses() {
		tagged := scope.Tagged(map[string]string{"side": side, "cause": string(cause)})
		e.counts[cause] = connEndCounters{
			all:        tagged.Counter("connections_ended"),
			unread:     tagged.Counter("connections_ended_unread"),
			unanswered: tagged.Counter("requests_unanswered"),
		}
	}
	return e
}

func (e *connEndRecorder) record(end http1.ConnEnd) {
	c := e.counts[end.Cause]
	c.all.Inc(1)
	c.unanswered.Inc(int64(end.Unanswered))
	if end.Unread {
		c.unread.Inc(1)
	}
	// A caller that disconnected, or received an announced close, expects no more
	// responses.
	affected := end.Unread || end.Unanswered > 0 || end.BytesAfterClose > 0 && end.Cause != http1.EndHeadRejected
	if !affected || end.Cause == http1.EndCallerDisconnected || end.Cause == http1.EndAnnounced && end.Unanswered == 0 {
		return
	}
	suppressed, ok := e.limiter.allow()
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
		"left_out", suppressed,
	)
}

// state returns the state of the node at a time.
func (s *Sidecar) state(at time.Time) nodeState {
	return nodeState{tableAge: s.follower.TableAge(at), leaving: s.leaving.Load()}
}
