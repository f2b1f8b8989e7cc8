package admission

import (
	"context"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// Gate is a Queue for use from many goroutines.
type Gate struct {
	mu      sync.Mutex
	queue   *Queue
	waiters map[*Ticket]chan Verdict
	closed  Reason // why all is refused; ReasonNone if the gate is open
	// reopening starts what waits for the pace of a cold upstream; nil if nothing does.
	reopening *time.Timer
}

// NewGate returns a gate with an empty queue.
func NewGate(cfg Config) *Gate {
	return &Gate{queue: NewQueue(cfg), waiters: make(map[*Ticket]chan Verdict)}
}

// Acquire waits for a slot. If the verdict is Started, the caller must call
// Leave once. It returns at once when the request is refused, displaced, can
// no longer finish in time, or ctx ends.
func (g *Gate) Acquire(ctx context.Context, t *Ticket) Verdict {
	g.mu.Lock()
	if g.closed != ReasonNone {
		defer g.mu.Unlock()
		return g.queue.Refusal(clock.Now(), g.closed)
	}
	v, displaced := g.queue.Offer(clock.Now(), t)
	if displaced != nil {
		g.settle(displaced, g.queue.Refusal(clock.Now(), ReasonOutweighed))
	}
	if !v.Waiting {
		g.mu.Unlock()
		return v
	}
	ch := make(chan Verdict, 1)
	g.waiters[t] = ch
	latest := g.queue.LatestStart(t)
	g.arm()
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
		return g.giveUp(t, ch, ReasonTooLate)
	case <-ctx.Done():
		return g.giveUp(t, ch, ReasonCancelled)
	}
}

// giveUp takes a waiting request out; if it was settled meanwhile, that stands.
func (g *Gate) giveUp(t *Ticket, ch chan Verdict, r Reason) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(t) {
		return <-ch // buffered: settled before the lock was taken
	}
	delete(g.waiters, t)
	return g.queue.Refusal(clock.Now(), r)
}

// settle tells a waiting request its verdict. The lock is held.
func (g *Gate) settle(t *Ticket, v Verdict) {
	ch, ok := g.waiters[t]
	if !ok {
		return
	}
	delete(g.waiters, t)
	ch <- v
}

// Release frees the slot of a started request that held it for the given time.
func (g *Gate) Release(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settleAll(g.queue.Release(clock.Now(), held))
}

func (g *Gate) settleAll(start, late []*Ticket) {
	for _, t := range start {
		g.settle(t, Verdict{Started: true})
	}
	for _, t := range late {
		g.settle(t, g.queue.Refusal(clock.Now(), ReasonTooLate))
	}
	g.arm()
}

// arm starts what waits for the pace of a cold upstream when that allows it. The lock
// is held.
func (g *Gate) arm() {
	now := clock.Now()
	at, waits := g.queue.Reopens(now)
	if !waits || g.reopening != nil {
		return
	}
	g.reopening = time.AfterFunc(max(at.Sub(now), 0), func() {
		g.change(func(*Queue) { g.reopening = nil })
	})
}

// change changes what the queue may start, and starts what waited for that.
func (g *Gate) change(apply func(*Queue)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply(g.queue)
	g.settleAll(g.queue.Fill(clock.Now()))
}

// SetColdRate bounds the requests that the upstream gets in any second while it is
// cold; 0 sets no bound.
func (g *Gate) SetColdRate(perSecond float64) {
	g.change(func(q *Queue) { q.SetColdRate(perSecond) })
}

// SetCold says until when the upstream is cold.
func (g *Gate) SetCold(until time.Time) { g.change(func(q *Queue) { q.SetCold(until) }) }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(n int) { g.change(func(q *Queue) { q.SetSlots(n) }) }

// SetDraining refuses further requests, or takes them again; those that wait
// or run go on.
func (g *Gate) SetDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = ReasonNone
	if on {
		g.closed = ReasonDraining
	}
}

// RefuseAll refuses further requests and those that wait, for a reason; those that run
// go on. SetDraining takes requests again.
func (g *Gate) RefuseAll(why Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = why
	for t := range g.waiters {
		g.queue.Remove(t)
		g.settle(t, g.queue.Refusal(clock.Now(), why))
	}
}

// Closed returns why all requests are refused; ReasonNone if the gate is open.
func (g *Gate) Closed() Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Forecast is what a gate expects of the next request of a kind.
type Forecast struct {
	Load
	Service time.Duration // smoothed time that a request holds a slot
	Wait    time.Duration // until it gets a slot
	Cold    time.Duration // the upstream stays cold; 0 if it is warm or bears any rate
}

// Forecast returns the present state, as the next request of a kind meets it.
func (g *Gate) Forecast(kind string, weight float64) Forecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	return Forecast{
		Load:    g.queue.Load(),
		Service: g.queue.ServiceTime(),
		Wait:    g.queue.Wait(now, kind, weight),
		Cold:    g.queue.Cold(now),
	}
}

// SlotInterval is the time between two slots that come free while all are in use;
// 0 if that is not known.
func (g *Gate) SlotInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.waitBehind(clock.Now(), 1)
}

// Refusal returns the verdict for a reason, with the advice when to come back.
func (g *Gate) Refusal(r Reason) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Refusal(clock.Now(), r)
}

// Load returns the present state.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}
