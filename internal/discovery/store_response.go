package discovery

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/table"
)

// How a follower applies responses of the store, and what it concludes from missing ones.

// applyResponse applies a response of the store.
func (f *Follower) applyResponse(now time.Time, r storeResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := r.update
	if r.call.kind == callCheck {
		u.Revision = f.registry.Revision()
	}
	f.recordOutage(r.call.startedAt, now)
	f.markStoreReachable(now, u)
	f.logFindings(u.Findings)
	changed := false
	switch r.call.kind {
	case callList:
		f.listed = true
		if !r.call.stale {
			changed = f.registry.Replace(now, u)
		} else {
			changed = f.registry.ReplaceStale(now, u)
			f.staleListed, f.firstUpdateDeadline = true, now.Add(firstUpdateWait)
		}
	case callWatch:
		changed = f.registry.Apply(now, u)
	}
	changed = f.registry.ConfirmRemovals(now) || changed
	changed = f.registry.Expire(now) || changed
	changed = f.setDocument(u.Document, SourceStore) || changed
	if changed {
		f.refresh(SourceStore)
	}
	if r.call.kind != callCheck && !r.call.stale {
		f.markSynced(responseAsOf(now, r))
	}
	f.notifyUpdated()
}

// responseAsOf returns the earliest time at which the store may have given a response:
// the start of the call, or the end of its wait if the store held the call that long. The
// time at which the response was read must not be used: over a saturated link, a peer
// update that claimed a staleness of 0.1 ms lacked a change of 140 ms before.
func responseAsOf(now time.Time, r storeResponse) time.Time {
	c := r.call
	if c.kind == callWatch && r.update.empty() && now.Sub(c.startedAt) >= c.wait {
		return c.startedAt.Add(c.wait)
	}
	return c.startedAt
}

// setDocument puts a table in force if it is newer, and reports whether it is. The lock
// is held.
func (f *Follower) setDocument(d *Document, from string) bool {
	if d == nil || f.document != nil && !d.ID.Newer(f.document.ID) {
		return false
	}
	f.previousDocument = f.document
	f.recordTableStep(d)
	f.useDocument(d)
	f.documentSince, f.documentFrom = clock.Now(), from
	f.logTableFindings(d)
	f.log.Info("table version taken", "version", d.ID, "routes", len(d.Table.Routes), "from", from, "news_age", f.stalenessText(f.documentSince), "revision", f.registry.Revision())
	return true
}

// recentPeerRequest is the time after its last request during which a node that polls
// others is expected to poll again: many times the interval of its requests.
const recentPeerRequest = 10 * time.Second

// recordTableStep keeps the patch to a newer table for nodes that request it. The lock is
// held.
func (f *Follower) recordTableStep(next *Document) {
	if f.document == nil || clock.Since(f.lastPeerRequest) > recentPeerRequest {
		f.tableSteps.Clear()
		return
	}
	f.tableSteps.Add(table.Step{From: f.document.ID, To: next.ID, Splices: table.ComputeSplices(f.document.Raw, next.Raw)})
}

// useDocument makes a table the one from which snapshots are built. The lock is held.
func (f *Follower) useDocument(d *Document) {
	f.document, f.services, f.deflatedDocument, f.patches = d, servicesOf(d.Table), nil, nil
	f.callerLimits.Store(&d.Limits)
	f.coldStarts.Store(&d.ColdStarts)
}

// revertDocument goes back from a table of which no snapshot can be built to the previous
// one, which stays in force and follows changes of the upstreams. It reports whether
// there is a previous one. The lock is held.
func (f *Follower) revertDocument(err error) bool {
	f.logFindings([]Finding{{Entry: "table " + f.document.ID.String(), Err: err}})
	previous := f.previousDocument
	f.previousDocument = nil
	f.tableSteps.Clear()
	if previous == nil {
		f.document, f.services, f.deflatedDocument = nil, nil, nil
		return false
	}
	f.useDocument(previous)
	return true
}

// notifyUpdated wakes all goroutines that wait for a change. The lock is held.
func (f *Follower) notifyUpdated() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// markStoreReachable records that the store responds. The lock is held.
func (f *Follower) markStoreReachable(now time.Time, u Update) {
	if f.unreachableSince.IsZero() {
		return
	}
	f.log.Info("store reached again", "away", now.Sub(f.unreachableSince), "revision", u.Revision)
	f.unreachableSince = time.Time{}
	f.unreachableSinceAtomic.Store(nil)
}

// markStoreUnreachable records that no call started since the given time got a response.
func (f *Follower) markStoreUnreachable(ctx context.Context, since time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachableSince.IsZero() && ctx.Err() == nil {
		f.unreachableSince = since
		f.unreachableSinceAtomic.Store(&since)
		f.log.Warn("store lost", "err", err, "news_age", f.stalenessText(clock.Now()), "revision", f.registry.Revision())
	}
}

// minLease is the shortest time without the store in which an entry can expire: the
// platform grants no shorter lease.
const minLease = time.Second

// recordOutage tells the registry that the store was unreachable until the given time, if
// that lasted long enough for entries to expire and the update sources of this node could
// not reach the store either. A lost call or a slow network is not an outage: if it
// counted as one, removed entries would be kept for OutageGrace, and requests reached an
// upstream 2.66 s after its end. The lock is held.
func (f *Follower) recordOutage(until, now time.Time) {
	if !f.unreachableSince.IsZero() && until.Sub(f.unreachableSince) >= minLease && now.Sub(f.syncedAt) > f.cfg.PeerMaxStaleness {
		f.registry.MarkUnreachable()
	}
}
