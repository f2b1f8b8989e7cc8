package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// followStore reads the store as long as this node is a reader or has no fresh
// news.
func (f *Follower) followStore(ctx context.Context) {
	backoff := f.cfg.BackoffMin
	for ctx.Err() == nil {
		if idle := f.idleFor(time.Now()); idle > 0 {
			wait(ctx, idle)
			continue
		}
		began := time.Now()
		err := f.call(ctx)
		switch {
		case err == nil:
			backoff = f.cfg.BackoffMin
			wait(ctx, f.cfg.MinGap-time.Since(began))
		case errors.Is(err, ErrHistoryGone):
			f.relist()
		default:
			f.lost(ctx, err)
			f.pause(ctx, backoff)
			backoff = min(2*backoff, f.backoffMax())
		}
	}
}

// idleFor returns how long the store need not be read; 0 if it must be now. It
// also takes out upstreams whose time is over while the store is not read.
func (f *Follower) idleFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.cfg.NewsMaxAge - now.Sub(f.current)
	idle := f.mayIdle(fresh) && f.awaySince.IsZero() && !f.registry.Unconfirmed()
	f.noteReading(now, !idle)
	if !idle {
		return 0
	}
	if f.registry.Expire(now) {
		f.changed("")
	}
	if at, ok := f.registry.NextExpiry(); ok {
		fresh = min(fresh, at.Sub(now))
	}
	return min(max(fresh, time.Millisecond), rolePoll)
}

// mayIdle reports whether news of the given time left keep this node up to date.
func (f *Follower) mayIdle(fresh time.Duration) bool { return !f.reader && f.listed && fresh > 0 }

// rolePoll is how often a node that is idle looks whether it has become a
// reader.
const rolePoll = 200 * time.Millisecond

// noteReading logs when this node begins or stops to read the store.
func (f *Follower) noteReading(now time.Time, reading bool) {
	if reading == f.reading {
		return
	}
	f.reading = reading
	f.log.Info("store reading", "reading", reading, "reader", f.reader, "news_age", f.newsAge(now), "revision", f.registry.Revision())
}

// backoffMax is short only for a reader that has no fresh news either: the
// others need not be the first to see the store's return.
func (f *Follower) backoffMax() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader && time.Since(f.current) > f.cfg.NewsMaxAge {
		return f.cfg.BackoffMax
	}
	return f.cfg.FollowerBackoffMax
}

// relist makes the next step list all that is published.
func (f *Follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	f.log.Info("store dropped its history, listing anew", "news_age", f.newsAge(time.Now()), "revision", f.registry.Revision())
}

// call makes one call of the store: one that only shows that it answers, where
// news tell the rest, otherwise a step.
func (f *Follower) call(ctx context.Context) error {
	f.mu.Lock()
	check := f.mayIdle(f.cfg.NewsMaxAge - time.Since(f.current))
	f.mu.Unlock()
	if !check {
		return f.step(ctx)
	}
	call, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	f.calls.Add(1)
	began := time.Now()
	err := f.source.Check(call)
	f.noteCall("check", began, 0, err)
	if err != nil {
		return err
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained(now, Update{Revision: f.registry.Revision()})
	if f.registry.Confirm(now) {
		f.changed(SourceStore)
	}
	return nil
}

// step makes one call and takes over what it brought.
func (f *Follower) step(ctx context.Context) error {
	after, whole, longest := f.nextCall(time.Now())
	call, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout+longest)
	defer cancel()
	var u Update
	var err error
	f.calls.Add(1)
	began := time.Now()
	if whole {
		u, err = f.source.List(call)
		f.noteCall("list", began, 0, err)
	} else {
		u, err = f.source.Watch(call, after, longest)
		f.noteCall("watch", began, longest, err)
	}
	if err != nil {
		return err
	}
	f.take(time.Now(), u, whole)
	return nil
}

// nextCall returns the revision to watch from, whether to list in place of
// that, and the longest wait.
func (f *Follower) nextCall(now time.Time) (after uint64, whole bool, longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest = f.cfg.WatchWait
	if at, ok := f.registry.NextExpiry(); ok {
		longest = min(longest, max(at.Sub(now), time.Millisecond))
	}
	return f.registry.Revision(), !f.listed, longest
}

// take takes over an answer of the store.
func (f *Follower) take(now time.Time, u Update, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained(now, u)
	for _, finding := range u.Findings {
		f.log.Warn("published entry left out", "finding", finding)
	}
	changed := false
	if whole {
		changed = f.registry.Replace(now, u)
		f.listed = true
	} else {
		changed = f.registry.Apply(now, u)
	}
	changed = f.registry.Confirm(now) || changed
	changed = f.registry.Expire(now) || changed
	changed = f.takeDocument(u.Document, SourceStore) || changed
	if changed {
		f.changed(SourceStore)
	}
	f.know(now)
	f.announce()
}

// takeDocument puts a newer table in force, and reports whether it is one.
func (f *Follower) takeDocument(d *Document, from string) bool {
	if d == nil || f.document != nil && !d.ID.Newer(f.document.ID) {
		return false
	}
	f.document, f.deflated = d, nil
	f.since, f.from = time.Now(), from
	f.limits.Store(&d.Limits)
	f.log.Info("table version taken", "version", d.ID, "routes", len(d.Table.Routes), "from", from, "news_age", f.newsAge(f.since), "revision", f.registry.Revision())
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
	f.away.Store(0)
}

func (f *Follower) lost(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.Lost()
	if f.awaySince.IsZero() && ctx.Err() == nil {
		f.awaySince = time.Now()
		f.away.Store(f.awaySince.UnixMilli())
		f.log.Warn("store lost", "err", err, "news_age", f.newsAge(f.awaySince), "revision", f.registry.Revision())
	}
}

// pause waits for a random part of d, half of it at least.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	wait(ctx, d/2+rand.N(d/2+1))
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
