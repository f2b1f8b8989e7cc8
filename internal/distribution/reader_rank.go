package distribution

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

// UpdateReaderRank computes this node's place among the possible readers of its data
// centre.
func (e *Engine) UpdateReaderRank(members []membership.Member) {
	e.rank = membership.ReaderRank(e.self, members)
}

// ShouldRead decides whether this node watches the platform: the first ranks
// of its data centre always, others one after another as the source falls
// silent.
func (e *Engine) ShouldRead(now time.Time) bool {
	e.reading = e.mayRead(now, e.rank)
	return e.reading
}

func (e *Engine) mayRead(now time.Time, rank int) bool {
	if rank < e.cfg.Readers {
		return true
	}
	heard := e.source
	if heard.IsZero() {
		heard = e.started
	}
	spare := time.Duration(rank-e.cfg.Readers) * e.cfg.TakeoverStep
	return now.Sub(heard) > e.cfg.TakeoverAge+spare
}
