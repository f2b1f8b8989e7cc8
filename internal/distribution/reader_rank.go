package distribution

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

// UpdateReaderRank computes this node's position among the possible readers of its data
// centre.
func (e *Engine) UpdateReaderRank(members []membership.Member) {
	e.rank = membership.ReaderRank(e.self, members)
}

// ShouldRead reports whether this node reads the platform now: the first ranks of its
// data centre always do, the others one after another once the platform has not responded
// for a while.
func (e *Engine) ShouldRead(now time.Time) bool {
	e.isReader = e.isReaderAt(now, e.rank)
	return e.isReader
}

func (e *Engine) isReaderAt(now time.Time, rank int) bool {
	if rank < e.cfg.Readers {
		return true
	}
	lastContact := e.lastSourceContact
	if lastContact.IsZero() {
		lastContact = e.started
	}
	extra := time.Duration(rank-e.cfg.Readers) * e.cfg.TakeoverStep
	return now.Sub(lastContact) > e.cfg.TakeoverAge+extra
}
