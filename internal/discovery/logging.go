package discovery

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
)

// slowCallThreshold is the time beyond its wait from which a call of the store is logged:
// many times the response time of a healthy store.
const slowCallThreshold = 300 * time.Millisecond

// logSlowCall logs a call of the store that failed or was slow, so that the cost of a
// lost call can be told from the cost of the network path to the store.
func (f *Follower) logSlowCall(c *storeCall, err error) {
	took := clock.Since(c.startedAt)
	if err == nil && took < c.wait+slowCallThreshold {
		return
	}
	f.log.Info("store call slow", "call", c.kind, "took", took, "wait", c.wait, "err", err)
}

// logStaleness logs when the staleness exceeds Config.ChangeBound, within which a change
// must be in force, and when it no longer does.
func (f *Follower) logStaleness(time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	stale := !f.syncedAt.IsZero() && now.Sub(f.syncedAt) > f.cfg.ChangeBound
	if stale == f.stalenessLogged {
		return
	}
	f.stalenessLogged = stale
	if stale {
		f.log.Warn("news older than the bound", "news_age", f.stalenessText(now), "reader", f.reader, "sources", instanceNames(f.sources), "away", !f.unreachableSince.IsZero(), "revision", f.registry.Revision())
		return
	}
	f.log.Info("news within the bound again", "news_age", f.stalenessText(now))
}

// findingLog has the revisions of the entries whose findings were logged, by key.
type findingLog map[string]uint64

// maxLoggedFindings bounds the entries that are remembered; beyond it, findings may be
// logged again. About 100 KB.
const maxLoggedFindings = 1000

// isNew reports whether a finding is new, and remembers it.
func (r *findingLog) isNew(found Finding) bool {
	if at, ok := (*r)[found.Entry]; ok && at == found.Revision {
		return false
	}
	if *r == nil || len(*r) >= maxLoggedFindings {
		*r = make(findingLog)
	}
	(*r)[found.Entry] = found.Revision
	return true
}

// logFindings logs each finding once, however often it is read. The lock is held.
func (f *Follower) logFindings(found []Finding) {
	for _, one := range found {
		if f.loggedFindings.isNew(one) {
			f.log.Warn("published entry left out", "finding", one)
		}
	}
}

// logTableFindings logs each defect of a table that is in force. The lock is held.
func (f *Follower) logTableFindings(d *Document) {
	for i, one := range d.Findings {
		entry := fmt.Sprintf("table %s, defect %d", d.ID, i+1)
		f.logFindings([]Finding{{Entry: entry, Err: errors.New(one.String())}})
	}
}
