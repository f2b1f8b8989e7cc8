package distribution

import (
	"strings"
	"time"
)

// CountSent adds sent bytes to the counters.
func (e *Engine) CountSent(c Cause, n int) {
	switch c {
	case CausePush:
		e.traffic.Push += uint64(n)
	case CauseHeal:
		e.traffic.Heal += uint64(n)
	case CauseDigest:
		e.traffic.Digest += uint64(n)
	case CauseMembership:
		e.traffic.Membership += uint64(n)
	case CauseCensus:
		e.traffic.Census += uint64(n)
	}
}

// Status returns this node's own status.
func (e *Engine) Status(now time.Time) NodeStatus {
	t := e.docs[DocTable]
	s := NodeStatus{
		Name:       e.self.Name,
		DataCentre: e.self.DataCentre,
		Table:      t.held,
		From:       t.from,
		List:       e.docs[DocList].held,
		Reader:     e.reading,
		SourceAge:  e.sourceAge(now),
		Bytes:      e.traffic,
		Links:      len(e.links),
	}
	if !t.since.IsZero() {
		s.HeldFor = uint64(now.Sub(t.since).Milliseconds())
	}
	s.Refused = e.refusal()
	s.Waiting = e.waiting(now)
	return s
}

// refusal says which version this node refused, or which one of the platform's
// was overtaken by the held one; empty if neither.
func (e *Engine) refusal() string {
	t, offered := e.docs[DocTable], e.offered[DocTable]
	if f := t.lastRefusal(); f != nil {
		return f.ID.String() + ": " + firstLine(f.Err)
	}
	switch {
	case offered.Err != nil:
		return offered.ID.String() + ": " + firstLine(offered.Err)
	case t.held.Newer(offered.ID) && !offered.ID.IsZero() && e.reading:
		return offered.ID.String() + ": the platform offers it, overtaken by the held version"
	}
	return ""
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// waiting says what the node waits for, empty if nothing.
func (e *Engine) waiting(now time.Time) string {
	t := e.docs[DocTable]
	for _, peer := range e.neighbours() {
		if known := t.known[peer]; known.Newer(t.held) && t.refusal(known) == nil {
			return "version " + known.String() + " from " + t.asked
		}
	}
	switch {
	case t.held.IsZero():
		return "a first table"
	case now.Sub(e.source) > e.cfg.TakeoverAge:
		return "the platform to answer"
	}
	return ""
}
