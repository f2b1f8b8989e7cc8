package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
)

// storeAnswer is how a call of the store ended.
type storeAnswer struct {
	call   *storeCall
	update Update
	err    error
}

// errOverdue reports a call of the store that has no answer yet.
var errOverdue = errors.New("no answer of the store in time")

// followStore reads the store as long as this node is a reader or has no fresh
// news.
func (f *Follower) followStore(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	calls := schedule{cfg: f.cfg, draw: upToRandom}
	answers := make(chan storeAnswer)
	due := clock.Now() // when this loop was to go on
	for ctx.Err() == nil {
		f.takeReady(ctx, &calls, answers, graceAfter(clock.Since(due)))
		now := clock.Now()
		due = now
		kind, pause, moved := f.need(now)
		if kind != callNone {
			due, until := calls.next(now, kind, f.backoffMax())
			if due {
				f.start(ctx, &group, &calls, f.newCall(now, kind, calls.newest(kind) != nil), answers)
				continue
			}
			pause = until
		}
		pause = max(min(pause, f.noteUnanswered(ctx, now, &calls)), time.Millisecond)
		timer := time.NewTimer(pause)
		select {
		case a := <-answers:
			due = clock.Now()
			f.ended(ctx, &calls, a)
		case <-moved:
			due = clock.Now()
		case <-timer.C:
			due = now.Add(pause)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Timing of the first look after a stall of this process.
const (
	// stallNoticed is how late the loop goes on after a stall: many times what the
	// scheduler takes, and a third of the time after which a call is overdue.
	stallNoticed = 100 * time.Millisecond
	// stallGrace is the time for answers that lie in the kernel to be read and
	// decoded: a fortieth of the bound of changes.
	stallGrace = 50 * time.Millisecond
)

// graceAfter is how long answers are waited for before calls are judged, by how late
// the loop goes on.
func graceAfter(late time.Duration) time.Duration {
	if late < stallNoticed {
		return 0
	}
	return stallGrace
}

// takeReady takes over the answers that are here, and those that come within a
// grace. After a stall it precedes any look at the clock: a table of thousands of
// routes takes a small machine 0.7 to 0.9 s, and calls answered meanwhile were made
// again, 18 in 20 stalls of 0.9 s, and the store taken for lost, 3 times.
func (f *Follower) takeReady(ctx context.Context, calls *schedule, answers <-chan storeAnswer, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for len(calls.flying) > 0 {
		select {
		case a := <-answers:
			f.ended(ctx, calls, a)
			continue
		default:
		}
		if grace == 0 {
			return
		}
		select {
		case a := <-answers:
			f.ended(ctx, calls, a)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// start makes a call of the store in the background.
func (f *Follower) start(ctx context.Context, group *sync.WaitGroup, calls *schedule, c *storeCall, answers chan<- storeAnswer) {
	call, cancel := context.WithTimeout(WithProgress(ctx, c.arrived), calls.timeout(c))
	c.cancel = cancel
	calls.started(c)
	group.Go(func() {
		defer cancel()
		a := f.make(call, c)
		select {
		case answers <- a:
		case <-ctx.Done():
		}
	})
}

// noteUnanswered takes the store for lost when a call has had no answer for
// Config.LostAfter beyond its time, nor any part of one. It returns how long that need not be looked at.
func (f *Follower) noteUnanswered(ctx context.Context, now time.Time, calls *schedule) time.Duration {
	c := calls.unanswered()
	if c == nil || f.away.Load() != nil {
		return rolePoll
	}
	left := c.due().Add(f.cfg.UnreachableAfter).Sub(now)
	if left <= 0 {
		f.lost(ctx, c.began, errOverdue)
		return rolePoll
	}
	return left
}

// make makes one call of the store.
func (f *Follower) make(ctx context.Context, c *storeCall) storeAnswer {
	f.calls.Add(1)
	a := storeAnswer{call: c}
	switch c.kind {
	case callCheck:
		a.err = f.source.Check(ctx)
	case callList:
		if c.glance {
			a.update, a.err = f.source.ListStale(ctx)
			break
		}
		a.update, a.err = f.source.List(ctx)
	case callWatch:
		a.update, a.err = f.source.Watch(ctx, c.after, c.wait)
	}
	return a
}

// ended takes over how a call ended.
func (f *Follower) ended(ctx context.Context, calls *schedule, a storeAnswer) {
	now := clock.Now()
	switch {
	case a.err == nil:
		f.noteCall(a.call, nil)
		calls.answered(a.call)
		f.takeAnswer(now, a)
	case errors.Is(a.err, ErrHistoryGone):
		calls.refused(now, a.call)
		f.relist()
	case calls.failed(a.call, f.backoffMax()):
		f.noteCall(a.call, a.err)
		f.lost(ctx, a.call.began, a.err)
	}
}

// need returns which call of the store is needed: one that only shows that it
// answers, where news tell the rest; all anew, where its changes cannot be gone on
// from; otherwise what has changed. Where none is, it returns for how long. The
// channel is closed when that may have changed. need also takes out upstreams whose
// time is over while the store is not read.
func (f *Follower) need(now time.Time) (callKind, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.cfg.PeerMaxStaleness - now.Sub(f.current)
	if f.current.IsZero() {
		fresh = f.firstNews.Sub(now)
	}
	byNews := !f.reader && fresh > 0
	idle := byNews && f.listed && f.awaySince.IsZero() && !f.registry.HasUnconfirmedRemovals()
	f.noteReading(now, !idle)
	switch {
	case idle:
	case byNews && (f.listed || f.registry.HasUnconfirmedRemovals()):
		return callCheck, 0, f.tick
	case !f.listed, f.alone():
		return callList, 0, f.tick
	default:
		return callWatch, 0, f.tick
	}
	if f.registry.Expire(now) {
		f.changed("")
	}
	if at, ok := f.registry.NextExpiry(); ok {
		fresh = min(fresh, at.Sub(now))
	}
	return callNone, min(max(fresh, time.Millisecond), rolePoll), f.tick
}

// alone reports whether this node has not heard of any upstream yet, and so of no other
// node. It looks at the store now and then until it has. The lock is held.
//
// The load pattern: where all nodes start before the first upstream is published, each takes
// itself for a reader, and the calls of the store grow with the fleet.
func (f *Follower) alone() bool { return f.peers != nil && f.glanced && f.registry.Sequence() == 0 }

// firstNewsWait is how long a node that has just started serves by what it saw at a
// glance and waits for news of others, before it reads the store itself: time for
// two questions, as those that start together do not listen at once.
const firstNewsWait = 600 * time.Millisecond

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
	if f.reader && clock.Since(f.current) > f.cfg.PeerMaxStaleness {
		return f.cfg.BackoffMax
	}
	return f.cfg.FollowerBackoffMax
}

// relist makes the next call list all that is published.
func (f *Follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.dropped = false, f.registry.Revision()
	f.log.Info("store dropped its history, listing anew", "news_age", f.newsAge(clock.Now()), "revision", f.dropped)
}

// newCall returns the call to make now. A watch beside another call must be
// answered at once.
func (f *Follower) newCall(now time.Time, kind callKind, beside bool) *storeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &storeCall{kind: kind, began: now}
	switch kind {
	case callList:
		c.expected = f.cfg.ListTime
		// A start needs to know whom to ask more than what is newest.
		c.glance = f.peers != nil && (!f.glanced || f.alone())
		if !f.current.IsZero() {
			// News tell the rest: two listings beside each other would take longer.
			c.expected += f.cfg.CallTimeout
		}
	case callWatch:
		c.after, c.wait = f.registry.Revision(), f.watchWait(now, now.Sub(f.current), beside)
		c.expected = c.wait
	}
	return c
}

// watchWait returns how long the store may hold a watch. It is over, and a further
// call has gone out if no answer came, before what is known gets older than
// NewsMaxAge.
func (f *Follower) watchWait(now time.Time, age time.Duration, beside bool) time.Duration {
	if beside || !f.awaySince.IsZero() {
		return time.Millisecond
	}
	longest := min(f.cfg.WatchWait, f.cfg.PeerMaxStaleness-f.cfg.HedgeDelay-age)
	if at, ok := f.registry.NextExpiry(); ok {
		longest = min(longest, at.Sub(now))
	}
	return max(longest, time.Millisecond)
}

// upToRandom returns a random duration of up to d.
func upToRandom(d time.Duration) time.Duration { return rand.N(d + 1) }

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
