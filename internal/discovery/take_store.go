package discovery

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/table"
)

// What a follower takes over from the store, and what its silence says.

// takeAnswer takes over an answer of the store.
func (f *Follower) takeAnswer(now time.Time, a storeAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := a.update
	if a.call.kind == callCheck {
		u.Revision = f.registry.Revision()
	}
	f.noteOutage(a.call.began, now)
	f.regained(now, u)
	f.reportFindings(u.Findings)
	changed := false
	switch a.call.kind {
	case callList:
		f.listed = true
		if !a.call.glance {
			changed = f.registry.Replace(now, u)
		} else {
			changed = f.registry.ReplaceStale(now, u)
			f.glanced, f.firstNews = true, now.Add(firstNewsWait)
		}
	case callWatch:
		changed = f.registry.Apply(now, u)
	}
	changed = f.registry.ConfirmRemovals(now) || changed
	changed = f.registry.Expire(now) || changed
	changed = f.takeDocument(u.Document, SourceStore) || changed
	if changed {
		f.changed(SourceStore)
	}
	if a.call.kind != callCheck && !a.call.glance {
		f.know(givenAt(now, a))
	}
	f.announce()
}

// givenAt returns the earliest time at which the store may have given an answer:
// the start of the call, or the end of its wait if the store held it for all of
// that. Counted from when the answer was read, behind a full link a change of
// 140 ms ago was missing in news that claimed an age of 0.1 ms.
func givenAt(now time.Time, a storeAnswer) time.Time {
	c := a.call
	if c.kind == callWatch && a.update.empty() && now.Sub(c.began) >= c.wait {
		return c.began.Add(c.wait)
	}
	return c.began
}

// takeDocument puts a newer table in force, and reports whether it is one.
func (f *Follower) takeDocument(d *Document, from string) bool {
	if d == nil || f.document != nil && !d.ID.Newer(f.document.ID) {
		return false
	}
	f.before = f.document
	f.remember(d)
	f.hold(d)
	f.since, f.from = clock.Now(), from
	f.reportDefects(d)
	f.log.Info("table version taken", "version", d.ID, "routes", len(d.Table.Routes), "from", from, "news_age", f.newsAge(f.since), "revision", f.registry.Revision())
	return true
}

// askedLately is the time after its last question during which a node that asks others
// for news is expected to ask again: many times the pause between two.
const askedLately = 10 * time.Second

// remember keeps the difference of a newer table for nodes that ask for it. The lock is
// held.
func (f *Follower) remember(next *Document) {
	if f.document == nil || clock.Since(f.asked) > askedLately {
		f.steps.Forget()
		return
	}
	f.steps.Add(table.Step{From: f.document.ID, To: next.ID, Splices: table.Between(f.document.Raw, next.Raw)})
}

// hold makes a table the one from which snapshots are built. The lock is held.
func (f *Follower) hold(d *Document) {
	f.document, f.services, f.deflated, f.patches = d, servicesOf(d.Table), nil, nil
	f.limits.Store(&d.Limits)
	f.starts.Store(&d.ColdStarts)
}

// refuse goes back from a table of which no snapshot can be built to the one before,
// which goes on with the upstreams as they change. It reports whether there is one.
// The lock is held.
func (f *Follower) refuse(err error) bool {
	f.reportFindings([]Finding{{Entry: "table " + f.document.ID.String(), Err: err}})
	before := f.before
	f.before = nil
	f.steps.Forget()
	if before == nil {
		f.document, f.services, f.deflated = nil, nil, nil
		return false
	}
	f.hold(before)
	return true
}

// announce wakes those who wait for news. The lock is held.
func (f *Follower) announce() {
	close(f.tick)
	f.tick = make(chan struct{})
}

// regained notes that the store answers. The lock is held.
func (f *Follower) regained(now time.Time, u Update) {
	if f.awaySince.IsZero() {
		return
	}
	f.log.Info("store reached again", "away", now.Sub(f.awaySince), "revision", u.Revision)
	f.awaySince = time.Time{}
	f.away.Store(nil)
}

// lost notes that no call made since a time was answered.
func (f *Follower) lost(ctx context.Context, since time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaySince.IsZero() && ctx.Err() == nil {
		f.awaySince = since
		f.away.Store(&since)
		f.log.Warn("store lost", "err", err, "news_age", f.newsAge(clock.Now()), "revision", f.registry.Revision())
	}
}

// shortestLease is the least time without the store in which an entry can lapse:
// the platform gives no shorter lease.
const shortestLease = time.Second

// noteOutage tells the registry that the store was away, if it was until a time:
// for this node for so long that entries may have lapsed, and for the sources of
// its news as well. A lost call or a slow way is no outage: taken for one, entries
// that ended were believed for LapseGrace more, and requests reached an upstream
// 2.66 s after it was gone. The lock is held.
func (f *Follower) noteOutage(until, now time.Time) {
	if !f.awaySince.IsZero() && until.Sub(f.awaySince) >= shortestLease && now.Sub(f.current) > f.cfg.PeerMaxStaleness {
		f.registry.MarkUnreachable()
	}
}
