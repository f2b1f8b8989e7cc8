package discovery

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
)

// slowCall is the time beyond its wait from which a call of the store is worth a
// line: many times what a healthy store takes.
const slowCall = 300 * time.Millisecond

// noteCall writes a line for a call of the store that failed or was slow, so that
// what a lost call cost can be told from what the way to the store costs.
func (f *Follower) noteCall(c *storeCall, err error) {
	took := clock.Since(c.began)
	if err == nil && took < c.wait+slowCall {
		return
	}
	f.log.Info("store call slow", "call", c.kind, "took", took, "wait", c.wait, "err", err)
}

// noteAge writes a line when the news become older than Config.ChangeBound, in
// which a change must be in force, and when they no longer are.
func (f *Follower) noteAge(time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	stale := !f.current.IsZero() && now.Sub(f.current) > f.cfg.ChangeBound
	if stale == f.stale {
		return
	}
	f.stale = stale
	if stale {
		f.log.Warn("news older than the bound", "news_age", f.newsAge(now), "reader", f.reader, "sources", names(f.sources), "away", !f.awaySince.IsZero(), "revision", f.registry.Revision())
		return
	}
	f.log.Info("news within the bound again", "news_age", f.newsAge(now))
}

// reported holds the revisions of the entries whose defects have a line, by key.
type reported map[string]uint64

// maxReported bounds the entries that are remembered; with more of them lines may
// come again. About 100 KB.
const maxReported = 1000

// first reports whether a defect is new, and remembers it.
func (r *reported) first(found Finding) bool {
	if at, ok := (*r)[found.Entry]; ok && at == found.Revision {
		return false
	}
	if *r == nil || len(*r) >= maxReported {
		*r = make(reported)
	}
	(*r)[found.Entry] = found.Revision
	return true
}

// reportFindings writes one line for each defect, however often it is read. The
// lock is held.
func (f *Follower) reportFindings(found []Finding) {
	for _, one := range found {
		if f.reported.first(one) {
			f.log.Warn("published entry left out", "finding", one)
		}
	}
}

// reportDefects writes one line for each defect of a table that is in force. The lock is
// held.
func (f *Follower) reportDefects(d *Document) {
	for i, one := range d.Findings {
		entry := fmt.Sprintf("table %s, defect %d", d.ID, i+1)
		f.reportFindings([]Finding{{Entry: entry, Err: errors.New(one.String())}})
	}
}
