package distribution

import (
	"strings"
	"time"
)

// CountSent adds sent bytes to the traffic counters.
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
		Reader:     e.isReader,
		SourceAge:  e.sourceAge(now),
		Bytes:      e.traffic,
		Links:      len(e.links),
	}
	if !t.since.IsZero() {
		s.HeldFor = uint64(now.Sub(t.since).Milliseconds())
	}
	s.Refused = e.rejectedVersion()
	s.Waiting = e.waitingFor(now)
	return s
}

// rejectedVersion describes the version that this node rejected, or the platform's
// version if it is older than the held one; empty if neither.
func (e *Engine) rejectedVersion() string {
	t, read := e.docs[DocTable], e.lastRead[DocTable]
	if refusal := t.lastRefusal(); refusal != nil {
		return refusal.ID.String() + ": " + firstLine(refusal.Err)
	}
	switch {
	case read.Err != nil:
		return read.ID.String() + ": " + firstLine(read.Err)
	case t.held.Newer(read.ID) && !read.ID.IsZero() && e.isReader:
		return read.ID.String() + ": the platform offers it, overtaken by the held version"
	}
	return ""
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// waitingFor describes what the node waits for; empty if nothing. Of several neighbours
// that hold a newer table it names the one that was asked for it.
func (e *Engine) waitingFor(now time.Time) string {
	t := e.docs[DocTable]
	for _, peer := range append([]string{t.wantSentTo}, e.neighbours()...) {
		if peerVersion := t.peerVersions[peer]; peerVersion.Newer(t.held) && t.refusalOf(peerVersion) == nil {
			return "version " + peerVersion.String() + " from " + peer
		}
	}
	switch {
	case t.held.IsZero():
		return "a first table"
	case now.Sub(e.lastSourceContact) > e.cfg.TakeoverAge:
		return "the platform to answer"
	}
	return ""
}
