// Package admission decides which requests an upstream instance takes. One
// node alone admits the work of its upstream, so its count of free slots is
// exact.
//
// Queue is pure: time is passed in and it has no goroutines. Gate, the edge,
// makes it usable from many goroutines. The invariants: never more than Slots
// requests are started at once, a refused request was never started, and every
// offered request is started or refused exactly once.
package admission

import (
	"math"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonQueueFull   Reason = "queue-full"   // no room to wait
	ReasonTooLate     Reason = "too-late"     // could not finish before its deadline
	ReasonOutweighed  Reason = "outweighed"   // gave its place to a heavier kind
	ReasonRate        Reason = "rate"         // the row's rate limit
	ReasonConcurrency Reason = "concurrency"  // the row's concurrency limit
	ReasonBusy        Reason = "busy"         // no slot free, and the sender would rather try another upstream
	ReasonDraining    Reason = "draining"     // the instance leaves
	ReasonEvacuated   Reason = "evacuated"    // nothing is to be sent to its data centre
	ReasonCold        Reason = "cold"         // the upstream is cold and has got what it can take
	ReasonLink        Reason = "link-full"    // the answer would wait too long for the link
	ReasonCancelled   Reason = "cancelled"    // the caller gave up while it waited
	ReasonWrongTarget Reason = "wrong-target" // sent to a node that is not beside the upstream
)

// Ticket is one request that asks for a slot. The caller keeps the pointer.
type Ticket struct {
	Kind   string
	Tenant string
	// Weight is the value of the kind; kinds share the slots in proportion.
	Weight float64
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Latest is when it must have started; later it is refused. Zero means that
	// only Deadline bounds the wait.
	Latest time.Time
	// NoWait asks for a slot at once or a refusal.
	NoWait bool

	arrived time.Time
}

// Config bounds a Queue.
type Config struct {
	// Slots is the number of requests the upstream works on at once.
	Slots int
	// QueueLimit is the number of requests that may wait. More smooths bursts,
	// fewer keeps the wait short. Default: Slots.
	QueueLimit int
}

// Verdict is the answer to an offer.
type Verdict struct {
	Started bool
	Waiting bool
	Reason  Reason
	// RetryAfter is when to come back, for a refused request.
	RetryAfter time.Duration
}

// Smoothing of the measured service time.
const (
	serviceSmoothing = 0.05 // weight of a sample among many
	// serviceMemory is how long a smoothed service time counts where samples are
	// few: some of the requests that an upstream gets as a trial.
	serviceMemory = 3 * time.Second
)

// Bounds of the advice when to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Queue shares the slots of one upstream among kinds, in proportion to their
// weights, and inside a kind evenly among tenants.
type Queue struct {
	cfg      Config
	inUse    int
	waiting  int
	kinds    []*kindQueue // those with requests waiting or remembered
	pass     float64      // progress of the fair order
	observed time.Time    // when service was last updated
	service  float64      // smoothed service time in seconds; 0 before the first
	pace     pace
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// SetSlots changes the number of slots. Requests in progress stay.
func (q *Queue) SetSlots(n int) { q.cfg.Slots = n }

// SetColdRate bounds the requests that the upstream gets in any second while it is
// cold; 0 sets no bound.
func (q *Queue) SetColdRate(perSecond float64) { q.pace.setRate(perSecond) }

// SetCold says until when the upstream is cold.
func (q *Queue) SetCold(until time.Time) { q.pace.until = until }

// Cold is how long the upstream stays cold; 0 if it is warm or bears any rate.
func (q *Queue) Cold(now time.Time) time.Duration { return q.pace.left(now) }

// Reopens returns when Fill may start a request that waits for nothing but the pace of
// a cold upstream; false if none does.
func (q *Queue) Reopens(now time.Time) (time.Time, bool) {
	if q.waiting == 0 || q.inUse >= q.cfg.Slots {
		return time.Time{}, false
	}
	return now.Add(q.pace.wait(now, 1)), true
}

// Load is the state of a queue, told to callers.
type Load struct {
	InUse   int
	Slots   int
	Waiting int
}

// Load returns the present state.
func (q *Queue) Load() Load { return Load{InUse: q.inUse, Slots: q.cfg.Slots, Waiting: q.waiting} }

// ServiceTime returns the smoothed time a request holds a slot; 0 if unknown.
func (q *Queue) ServiceTime() time.Duration { return time.Duration(q.service * float64(time.Second)) }

// Offer asks for a slot. If the queue is full, the request that its kind can
// best spare may be displaced; the caller refuses it.
func (q *Queue) Offer(now time.Time, t *Ticket) (v Verdict, displaced *Ticket) {
	t.arrived = now
	if q.inUse < q.cfg.Slots && q.waiting == 0 && q.pace.open(now) {
		q.start(now)
		return Verdict{Started: true}, nil
	}
	if t.NoWait {
		return q.Refusal(now, ReasonBusy), nil
	}
	if q.tooLate(now, t) {
		return q.Refusal(now, q.lateReason(now)), nil
	}
	if q.waiting >= q.cfg.QueueLimit {
		displaced = q.displace(t)
		if displaced == nil {
			return q.Refusal(now, ReasonQueueFull), nil
		}
	}
	q.kind(t).push(t)
	q.waiting++
	return Verdict{Waiting: true}, displaced
}

// start takes a slot.
func (q *Queue) start(now time.Time) {
	q.inUse++
	q.pace.started(now)
}

// lateReason says why a request would start too late.
func (q *Queue) lateReason(now time.Time) Reason {
	if q.pace.open(now) {
		return ReasonTooLate
	}
	return ReasonCold
}

// Release frees the slot of a request that held it for the given time, and
// returns the requests to start now and those to refuse as too late.
func (q *Queue) Release(now time.Time, held time.Duration) (start, late []*Ticket) {
	q.inUse--
	q.observe(now, held)
	return q.Fill(now)
}

// Fill starts waiting requests while slots are free.
func (q *Queue) Fill(now time.Time) (start, late []*Ticket) {
	for q.inUse < q.cfg.Slots && q.waiting > 0 && q.pace.open(now) {
		t := q.take()
		if q.expired(now, t) {
			late = append(late, t)
			continue
		}
		q.start(now)
		start = append(start, t)
	}
	return start, late
}

// Remove takes a waiting request out, and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	for _, k := range q.kinds {
		if k.name == t.Kind && k.remove(t) {
			q.waiting--
			return true
		}
	}
	return false
}

// LatestStart returns the time after which the request is refused: when it
// cannot finish before its deadline, by the measured service time, or has waited
// as long as it may. Zero means never.
func (q *Queue) LatestStart(t *Ticket) time.Time {
	if t.Deadline.IsZero() {
		return t.Latest
	}
	latest := t.Deadline.Add(-q.ServiceTime())
	if !t.Latest.IsZero() && t.Latest.Before(latest) {
		return t.Latest
	}
	return latest
}

// Refusal returns the verdict for a reason, with the advice when to come back.
func (q *Queue) Refusal(now time.Time, r Reason) Verdict {
	return Verdict{Reason: r, RetryAfter: q.retryAfter(now)}
}

// Wait is the time that a further request of the kind is expected to wait for a
// slot.
func (q *Queue) Wait(now time.Time, kind string, weight float64) time.Duration {
	if q.inUse < q.cfg.Slots && q.waiting == 0 {
		return q.pace.wait(now, 1)
	}
	return q.waitBehind(now, q.ahead(&Ticket{Kind: kind, Weight: weight}))
}

// retryAfter is the time in which the present queue drains.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	wait := q.waitBehind(now, q.waiting+1)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// waitBehind is the time until n requests ahead have been started.
func (q *Queue) waitBehind(now time.Time, n int) time.Duration {
	if q.cfg.Slots <= 0 {
		return maxRetryAfter
	}
	seconds := float64(n) * q.service / float64(q.cfg.Slots)
	return max(time.Duration(seconds*float64(time.Second)), q.pace.wait(now, n))
}

func (q *Queue) tooLate(now time.Time, t *Ticket) bool {
	latest := q.LatestStart(t)
	return !latest.IsZero() && now.Add(q.waitBehind(now, q.ahead(t))).After(latest)
}

// expired reports whether a request that waited has no time left.
func (q *Queue) expired(now time.Time, t *Ticket) bool {
	latest := q.LatestStart(t)
	return !latest.IsZero() && now.After(latest)
}

// observe takes a service time into the smoothed one. A sample counts for more
// the longer the one before is ago, so that an upstream that was slow and got
// little work since is not taken for slow for long.
func (q *Queue) observe(now time.Time, held time.Duration) {
	s := held.Seconds()
	if s <= 0 || math.IsNaN(s) {
		return
	}
	part := 1.0
	if q.service > 0 {
		ago := now.Sub(q.observed).Seconds() / serviceMemory.Seconds()
		part = max(serviceSmoothing, 1-math.Exp(-max(ago, 0)))
	}
	q.observed = now
	q.service += part * (s - q.service)
}
