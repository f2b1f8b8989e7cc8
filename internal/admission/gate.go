package admission

import (
	"context"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// Gate is a Queue that is safe for concurrent use and lets callers block until they get a
// slot.
type Gate struct {
	mu      sync.Mutex
	queue   *Queue
	waiters map[*Ticket]chan Verdict
	closed  Reason // why all requests are refused; ReasonNone while the gate is open
	// limitTimer starts the requests that wait only for the limit of the upstream, at
	// limitTimerAt; nil if none do.
	limitTimer   *time.Timer
	limitTimerAt time.Time
}

// NewGate returns a gate with an empty queue.
func NewGate(cfg Config) *Gate {
	return &Gate{queue: NewQueue(cfg), waiters: make(map[*Ticket]chan Verdict)}
}

// Acquire waits for a slot. If the verdict is Started, the caller must call Release once.
// Acquire returns without a slot as soon as the request is refused or displaced, can no
// longer finish before its deadline, or ctx ends.
func (g *Gate) Acquire(ctx context.Context, t *Ticket) Verdict {
	g.mu.Lock()
	if g.closed != ReasonNone {
		defer g.mu.Unlock()
		return g.queue.Refusal(clock.Now(), g.closed)
	}
	v, displaced := g.queue.Offer(clock.Now(), t)
	if displaced != nil {
		g.resolve(displaced, g.queue.Refusal(clock.Now(), ReasonOutweighed))
	}
	if !v.Waiting {
		g.mu.Unlock()
		return v
	}
	ch := make(chan Verdict, 1)
	g.waiters[t] = ch
	latest := g.queue.LatestStart(t)
	g.returnMovable()
	g.armLimitTimer()
	g.mu.Unlock()
	return g.wait(ctx, t, ch, latest)
}

func (g *Gate) wait(ctx context.Context, t *Ticket, ch chan Verdict, latest time.Time) Verdict {
	var late <-chan time.Time
	if !latest.IsZero() {
		timer := time.NewTimer(clock.Until(latest))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case v := <-ch:
		return v
	case <-late:
		return g.stopWaiting(t, ch, ReasonTooLate)
	case <-ctx.Done():
		return g.stopWaiting(t, ch, ReasonCancelled)
	}
}

// stopWaiting removes a waiting request from the queue and refuses it. If it has received
// a verdict in the meantime, that verdict is returned instead.
func (g *Gate) stopWaiting(t *Ticket, ch chan Verdict, r Reason) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(t) {
		return <-ch // buffered: the verdict was sent before the lock was taken
	}
	delete(g.waiters, t)
	return g.queue.Refusal(clock.Now(), r)
}

// resolve sends a waiting request its verdict. The lock must be held.
func (g *Gate) resolve(t *Ticket, v Verdict) {
	ch, ok := g.waiters[t]
	if !ok {
		return
	}
	delete(g.waiters, t)
	ch <- v
}

// Release frees the slot of a started request that held it for the given time, at usual
// speed (UsualTime).
func (g *Gate) Release(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resolveAll(g.queue.Release(clock.Now(), held))
}

func (g *Gate) resolveAll(start, late []*Ticket) {
	for _, t := range start {
		g.resolve(t, Verdict{Started: true})
	}
	for _, t := range late {
		g.resolve(t, g.queue.Refusal(clock.Now(), ReasonTooLate))
	}
	g.returnMovable()
	g.armLimitTimer()
}

// returnMovable returns the waiting requests that are now better placed at another
// upstream. The lock must be held.
func (g *Gate) returnMovable() {
	now := clock.Now()
	for _, t := range g.queue.TakeMovable(now) {
		v := g.queue.Refusal(now, ReasonMoved)
		v.Queued = true
		g.resolve(t, v)
	}
}

// armLimitTimer schedules the start of requests that wait only for the limit of the
// upstream. The lock must be held.
func (g *Gate) armLimitTimer() {
	now := clock.Now()
	at, waits := g.queue.LimitOpensAt(now)
	if !waits || g.limitTimer != nil && !at.Before(g.limitTimerAt) {
		return
	}
	if g.limitTimer != nil {
		g.limitTimer.Stop() // a new limit opens earlier
	}
	g.limitTimerAt = at
	g.limitTimer = time.AfterFunc(max(at.Sub(now), 0), func() {
		g.update(func(*Queue) { g.limitTimer = nil })
	})
}

// update changes the queue's limits and starts the waiting requests that the change
// admits.
func (g *Gate) update(apply func(*Queue)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply(g.queue)
	g.resolveAll(g.queue.Fill(clock.Now()))
}

// SetColdRate limits the requests started in any second while the upstream is cold; 0
// means no limit.
func (g *Gate) SetColdRate(perSecond float64) {
	g.update(func(q *Queue) { q.SetColdRate(perSecond) })
}

// SetCold sets the time until which the upstream is cold.
func (g *Gate) SetCold(until time.Time) { g.update(func(q *Queue) { q.SetCold(until) }) }

// SetAdvertisedLimit sets the limit that the upstream advertises, and refuses the waiting
// requests that can no longer start in time.
func (g *Gate) SetAdvertisedLimit(a AdvertisedLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	for _, t := range g.queue.SetAdvertisedLimit(now, a) {
		g.resolve(t, g.queue.Refusal(now, ReasonAdvertisedLimit))
	}
	g.resolveAll(g.queue.Fill(now))
}

// RecordStart counts a request that the upstream gets without a slot, such as a probe,
// against the limits.
func (g *Gate) RecordStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordStart(clock.Now())
}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(n int) { g.update(func(q *Queue) { q.SetSlots(n) }) }

// SetDraining refuses all further requests, or with false opens the gate again. Waiting
// and running requests continue.
func (g *Gate) SetDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = ReasonNone
	if on {
		g.closed = ReasonDraining
	}
}

// RefuseAll refuses all further requests and those that wait, with the given reason.
// Running requests continue. SetDraining(false) opens the gate again.
func (g *Gate) RefuseAll(why Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = why
	for t := range g.waiters {
		g.queue.Remove(t)
		g.resolve(t, g.queue.Refusal(clock.Now(), why))
	}
}

// Closed returns why all requests are refused; ReasonNone if the gate is open.
func (g *Gate) Closed() Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Forecast is the state of a gate and what the next request of a kind can expect.
type Forecast struct {
	Load
	Service time.Duration // smoothed time that a request holds a slot at present
	Wait    time.Duration // expected time until the request gets a slot
	Cold    time.Duration // remaining time that the upstream is cold; 0 if it is warm or has no cold rate
}

// Forecast returns the present state and the expected wait of the next request of a kind.
func (g *Gate) Forecast(kind string, weight float64) Forecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	return Forecast{
		Load:    g.queue.Load(),
		Service: g.queue.presentServiceTime(now),
		Wait:    g.queue.Wait(now, kind, weight),
		Cold:    g.queue.Cold(now),
	}
}

// SlotInterval returns the mean time between two slots that become free while all are in
// use; 0 if unknown.
func (g *Gate) SlotInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.waitBehind(clock.Now(), 1)
}

// Refusal returns the verdict for a reason, with the time after which to retry.
func (g *Gate) Refusal(r Reason) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Refusal(clock.Now(), r)
}

// Load returns the present state of the queue.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}
