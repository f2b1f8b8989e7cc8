package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
)

// storeResponse is the result of a call of the store.
type storeResponse struct {
	call   *storeCall
	update Update
	err    error
}

// errResponseOverdue reports a call of the store that has no response yet.
var errResponseOverdue = errors.New("store did not respond in time")

// followStore reads the store as long as this node is a reader or has no fresh peer
// updates.
func (f *Follower) followStore(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	calls := schedule{cfg: f.cfg, jitter: randomUpTo}
	responses := make(chan storeResponse)
	due := clock.Now() // when this iteration was due
	for ctx.Err() == nil {
		f.drainResponses(ctx, &calls, responses, stallGraceFor(clock.Since(due)))
		now := clock.Now()
		due = now
		kind, pause, updated := f.neededCall(now)
		if kind != callNone {
			start, until := calls.next(now, kind, f.backoffMax())
			if start {
				f.startCall(ctx, &group, &calls, f.newCall(now, kind, calls.newestInFlight(kind) != nil), responses)
				continue
			}
			pause = until
		}
		pause = max(min(pause, f.checkUnreachable(ctx, now, &calls)), time.Millisecond)
		timer := time.NewTimer(pause)
		select {
		case r := <-responses:
			due = clock.Now()
			f.handleResponse(ctx, &calls, r)
		case <-updated:
			due = clock.Now()
		case <-timer.C:
			due = now.Add(pause)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Handling of responses after a stall of this process.
const (
	// stallThreshold is the delay of the loop that counts as a stall: many times the
	// scheduling latency, and a third of the time after which a call is overdue.
	stallThreshold = 100 * time.Millisecond
	// stallGrace is the time to read and decode responses that are still in kernel
	// buffers: a fortieth of ChangeBound.
	stallGrace = 50 * time.Millisecond
)

// stallGraceFor returns how long to wait for responses before any call is treated as
// overdue, given the delay of the loop.
func stallGraceFor(late time.Duration) time.Duration {
	if late < stallThreshold {
		return 0
	}
	return stallGrace
}

// drainResponses handles the responses that are ready, and those that arrive within the
// grace time. After a stall it must run before the clock is compared with any due time:
// a small machine stalls for 0.7 to 0.9 s when it takes over a table of thousands of
// routes. With the clock read first, calls that were answered during the stall were sent
// again, 18 in 20 stalls of 0.9 s, and the store counted as unreachable, 3 in 20.
func (f *Follower) drainResponses(ctx context.Context, calls *schedule, responses <-chan storeResponse, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for len(calls.inFlight) > 0 {
		select {
		case r := <-responses:
			f.handleResponse(ctx, calls, r)
			continue
		default:
		}
		if grace == 0 {
			return
		}
		select {
		case r := <-responses:
			f.handleResponse(ctx, calls, r)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startCall starts a call of the store in the background.
func (f *Follower) startCall(ctx context.Context, group *sync.WaitGroup, calls *schedule, c *storeCall, responses chan<- storeResponse) {
	callCtx, cancel := context.WithTimeout(WithProgress(ctx, c.recordProgress), calls.timeout(c))
	c.cancel = cancel
	calls.recordStart(c)
	group.Go(func() {
		defer cancel()
		r := f.executeCall(callCtx, c)
		select {
		case responses <- r:
		case <-ctx.Done():
		}
	})
}

// checkUnreachable marks the store as unreachable when a call has been overdue for
// Config.UnreachableAfter without any part of a response. It returns the time until the
// next check is needed.
func (f *Follower) checkUnreachable(ctx context.Context, now time.Time, calls *schedule) time.Duration {
	c := calls.firstUnanswered()
	if c == nil || f.unreachableSinceAtomic.Load() != nil {
		return rolePollInterval
	}
	remaining := c.due().Add(f.cfg.UnreachableAfter).Sub(now)
	if remaining <= 0 {
		f.markStoreUnreachable(ctx, c.startedAt, errResponseOverdue)
		return rolePollInterval
	}
	return remaining
}

// executeCall calls the source as the kind of the call requires, and waits for the result.
func (f *Follower) executeCall(ctx context.Context, c *storeCall) storeResponse {
	f.callCount.Add(1)
	r := storeResponse{call: c}
	switch c.kind {
	case callCheck:
		r.err = f.source.Check(ctx)
	case callList:
		if c.stale {
			r.update, r.err = f.source.ListStale(ctx)
			break
		}
		r.update, r.err = f.source.List(ctx)
	case callWatch:
		r.update, r.err = f.source.Watch(ctx, c.after, c.wait)
	}
	return r
}

// handleResponse processes the result of a call.
func (f *Follower) handleResponse(ctx context.Context, calls *schedule, r storeResponse) {
	now := clock.Now()
	switch {
	case r.err == nil:
		f.logSlowCall(r.call, nil)
		calls.recordResponse(r.call)
		f.applyResponse(now, r)
	case errors.Is(r.err, ErrHistoryGone), errors.Is(r.err, ErrUpdateTooLong):
		calls.recordHistoryGone(now, r.call)
		f.relist(r.err)
	case calls.recordFailure(r.call, f.backoffMax()):
		f.logSlowCall(r.call, r.err)
		f.markStoreUnreachable(ctx, r.call.startedAt, r.err)
	}
}

// neededCall returns the kind of call of the store that is needed now: a check if peer
// updates provide the data and only the store's reachability has to be tested; a listing
// if the changes since the last revision cannot be used; otherwise a watch. If no call is
// needed, it returns for how long. The returned channel is closed when that may have
// changed. It also removes upstreams that expired while the store is not read.
func (f *Follower) neededCall(now time.Time) (callKind, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	freshFor := f.cfg.PeerMaxStaleness - now.Sub(f.syncedAt)
	if f.syncedAt.IsZero() {
		freshFor = f.firstUpdateDeadline.Sub(now)
	}
	byPeerUpdates := !f.reader && freshFor > 0
	idle := byPeerUpdates && f.listed && f.unreachableSince.IsZero() && !f.registry.HasUnconfirmedRemovals()
	f.logReading(now, !idle)
	switch {
	case idle:
	case byPeerUpdates && (f.listed || f.registry.HasUnconfirmedRemovals()):
		return callCheck, 0, f.updated
	case !f.listed, f.knowsNoPeers():
		return callList, 0, f.updated
	default:
		return callWatch, 0, f.updated
	}
	if f.registry.Expire(now) {
		f.refresh("")
	}
	if at, ok := f.registry.NextExpiry(); ok {
		freshFor = min(freshFor, at.Sub(now))
	}
	return callNone, min(max(freshFor, time.Millisecond), rolePollInterval), f.updated
}

// knowsNoPeers reports whether this node knows no upstream yet, and so no other node.
// Until it does, it requests stale listings repeatedly. The lock is held.
//
// If all nodes start before the first upstream is published, each one considers itself a
// reader: with watches and full listings, the calls of the store would grow with the
// fleet.
func (f *Follower) knowsNoPeers() bool {
	return f.peers != nil && f.staleListed && f.registry.Sequence() == 0
}

// firstUpdateWait is how long a node that has just started serves from a stale listing
// and waits for a first peer update before it reads the store itself. It allows two peer
// requests, because nodes that start together do not accept connections at once.
const firstUpdateWait = 600 * time.Millisecond

// rolePollInterval is how often an idle node checks whether it has become a reader.
const rolePollInterval = 200 * time.Millisecond

// logReading logs when this node starts or stops reading the store.
func (f *Follower) logReading(now time.Time, reading bool) {
	if reading == f.readingStore {
		return
	}
	f.readingStore = reading
	f.log.Info("store reading", "reading", reading, "reader", f.reader, "news_age", f.stalenessText(now), "revision", f.registry.Revision())
}

// backoffMax is short only for a reader without fresh peer updates: other nodes need not
// be the first to notice the store's recovery.
func (f *Follower) backoffMax() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader && clock.Since(f.syncedAt) > f.cfg.PeerMaxStaleness {
		return f.cfg.BackoffMax
	}
	return f.cfg.FollowerBackoffMax
}

// relist makes the next call a listing, because the changes since the known revision cannot
// be had. cause says why.
func (f *Follower) relist(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.historyLostAt = false, f.registry.Revision()
	message := "store dropped its history, listing anew"
	if errors.Is(cause, ErrUpdateTooLong) {
		message = "changes are too long, listing anew"
	}
	f.log.Info(message, "news_age", f.stalenessText(clock.Now()), "revision", f.historyLostAt)
}

// newCall returns the call to make now. A hedged watch must be answered at once.
func (f *Follower) newCall(now time.Time, kind callKind, hedged bool) *storeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &storeCall{kind: kind, startedAt: now}
	switch kind {
	case callList:
		c.expected = f.cfg.ListTime
		// At startup, knowing which nodes to ask matters more than having the latest
		// state.
		c.stale = f.peers != nil && (!f.staleListed || f.knowsNoPeers())
		if !f.syncedAt.IsZero() {
			// Peer updates provide the changes meanwhile, and two concurrent listings
			// would take longer than one.
			c.expected += f.cfg.CallTimeout
		}
	case callWatch:
		c.after, c.wait = f.registry.Revision(), f.watchWait(now, now.Sub(f.syncedAt), hedged)
		c.expected = c.wait
	}
	return c
}

// watchWait returns how long the store may hold a watch. The watch ends, and a hedged
// call is sent if no response came, before the staleness reaches PeerMaxStaleness.
func (f *Follower) watchWait(now time.Time, staleness time.Duration, hedged bool) time.Duration {
	if hedged || !f.unreachableSince.IsZero() {
		return time.Millisecond
	}
	longest := min(f.cfg.WatchWait, f.cfg.PeerMaxStaleness-f.cfg.HedgeDelay-staleness)
	if at, ok := f.registry.NextExpiry(); ok {
		longest = min(longest, at.Sub(now))
	}
	return max(longest, time.Millisecond)
}

// randomUpTo returns a random duration of at most d.
func randomUpTo(d time.Duration) time.Duration { return rand.N(d + 1) }

func sleepContext(ctx context.Context, d time.Duration) {
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
