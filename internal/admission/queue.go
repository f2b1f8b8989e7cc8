// Package admission decides which requests an upstream instance gets. Only the node
// beside an upstream admits requests to it, so that its count of free slots is exact.
//
// Queue is pure: time is passed in and it starts no goroutines. Gate makes it usable from
// many goroutines. The invariants are: never are more than Slots requests started at
// once, a refused request was never started, and every offered request is started or
// refused exactly once.
package admission

import (
	"math"
	"time"

	"github.com/walldrift/walldrift/internal/decay"
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonQueueFull       Reason = "queue-full"       // the queue has no room
	ReasonTooLate         Reason = "too-late"         // can't finish before its deadline
	ReasonOutweighed      Reason = "outweighed"       // displaced by a request of a heavier kind
	ReasonRate            Reason = "rate"             // rate limit of the table row
	ReasonConcurrency     Reason = "concurrency"      // concurrency limit of the table row
	ReasonBusy            Reason = "busy"             // no free slot, and the sender prefers to try another upstream
	ReasonDraining        Reason = "draining"         // the instance is leaving
	ReasonEvacuated       Reason = "evacuated"        // the data centre is evacuated
	ReasonCold            Reason = "cold"             // the cold upstream has got the requests that its rate allows
	ReasonAdvertisedLimit Reason = "advertised-limit" // the upstream has got the requests that its advertised limit allows
	ReasonLink            Reason = "link-full"        // the response would wait too long for the link
	ReasonMoved           Reason = "moved"            // the sender has a better choice than to wait here
	ReasonCancelled       Reason = "cancelled"        // the caller gave up while the request waited
	ReasonWrongTarget     Reason = "wrong-target"     // the node isn't beside the requested upstream
)

// Ticket is one request for a slot. It is identified by its pointer.
type Ticket struct {
	Kind   string
	Tenant string
	// Weight is the weight of the kind. Kinds share the slots in proportion to their
	// weights.
	Weight float64
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Latest is when the request must have been started; after that it is refused. Zero
	// means that only Deadline limits the wait.
	Latest time.Time
	// NoWait requests a slot at once or a refusal.
	NoWait bool
	// Bound is how long the request should wait before it is returned to its sender with
	// ReasonMoved; zero means that it isn't moved.
	Bound WaitBound

	arrived time.Time
}

// Config holds the limits of a Queue.
type Config struct {
	// Slots is the number of requests that the upstream works on at the same time.
	Slots int
	// QueueLimit is the number of requests that may wait. A higher limit absorbs bursts,
	// a lower one keeps waits short. Default: Slots.
	QueueLimit int
	// StartedAt is when this process started. An earlier process may have started
	// requests just before that. Default zero: there was none.
	StartedAt time.Time
}

// Verdict is the result for an offered request.
type Verdict struct {
	Started bool
	Waiting bool
	Reason  Reason
	// RetryAfter is when to retry a refused request.
	RetryAfter time.Duration
	// Queued reports whether a request that is refused with ReasonMoved had been queued.
	Queued bool
}

// Smoothing of the measured service time.
const (
	serviceTimeSmoothing = 0.05 // weight of a sample when samples are frequent
	// serviceTimeDecay is the time constant with which the smoothed service time is
	// replaced when samples are rare. It spans some of the trial requests that an
	// upstream gets.
	serviceTimeDecay = 3 * time.Second
)

// Bounds of Verdict.RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Queue shares the slots of one upstream among kinds in proportion to their weights, and
// within a kind equally among tenants.
type Queue struct {
	cfg           Config
	inUse         int
	waiting       int
	bounded       bool         // false if no waiting request has a WaitBound
	kinds         []*kindQueue // with waiting requests, or idle and kept
	pass          float64      // pass of the kind that was served last
	serviceTimeAt time.Time    // last update of serviceTime
	serviceTime   float64      // smoothed, at usual speed, in seconds; 0 before the first sample
	slowdown      Slowdown
	limit         startLimit
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg, limit: startLimit{since: cfg.StartedAt}} }

// SetSlots changes the number of slots. Requests in progress continue.
func (q *Queue) SetSlots(n int) { q.cfg.Slots = n }

// SetColdRate limits the requests started in any second while the upstream is cold; 0
// means no limit.
func (q *Queue) SetColdRate(perSecond float64) { q.limit.setColdRate(perSecond) }

// SetCold sets the time until which the upstream is cold.
func (q *Queue) SetCold(until time.Time) { q.limit.coldUntil = until }

// Cold returns how long the upstream stays cold; 0 if it is warm or has no cold rate.
func (q *Queue) Cold(now time.Time) time.Duration { return q.limit.coldRemaining(now) }

// SetAdvertisedLimit sets the limit that the upstream advertises. It returns the waiting
// requests that can no longer start in time; the caller must refuse them.
func (q *Queue) SetAdvertisedLimit(now time.Time, a AdvertisedLimit) (late []*Ticket) {
	q.limit.setAdvertised(a)
	return q.removeHopeless(now)
}

// RecordStart counts a request that the upstream gets without a slot, such as a probe,
// against the limits.
func (q *Queue) RecordStart(now time.Time) { q.limit.recordStart(now) }

// removeHopeless removes the waiting requests that the limits do not let start in time
// even if no other tenant's request is started before them.
func (q *Queue) removeHopeless(now time.Time) (late []*Ticket) {
	for _, k := range q.kinds {
		for _, tn := range k.tenants {
			position := 1
			for _, t := range tn.tickets {
				latest := q.latestStart(now, t)
				if !latest.IsZero() && now.Add(q.limit.wait(now, position)).After(latest) {
					late = append(late, t)
					continue
				}
				position++
			}
		}
	}
	for _, t := range late {
		q.Remove(t)
	}
	return late
}

// LimitOpensAt returns when Fill may start a request that waits only for the limit of the
// upstream. It returns false if no request waits or no slot is free.
func (q *Queue) LimitOpensAt(now time.Time) (time.Time, bool) {
	if q.waiting == 0 || q.inUse >= q.cfg.Slots {
		return time.Time{}, false
	}
	return now.Add(q.limit.wait(now, 1)), true
}

// Load is the state of a queue, as reported to callers.
type Load struct {
	InUse   int
	Slots   int
	Waiting int
}

// Load returns the present state of the queue.
func (q *Queue) Load() Load { return Load{InUse: q.inUse, Slots: q.cfg.Slots, Waiting: q.waiting} }

// ServiceTime returns the smoothed time that a request holds a slot while the upstream has
// its usual speed; 0 if unknown.
func (q *Queue) ServiceTime() time.Duration {
	return time.Duration(q.serviceTime * float64(time.Second))
}

// Offer requests a slot. If the queue is full, another request may be displaced to make
// room; the caller must refuse that one.
func (q *Queue) Offer(now time.Time, t *Ticket) (v Verdict, displaced *Ticket) {
	t.arrived = now
	if q.inUse < q.cfg.Slots && q.waiting == 0 && q.limit.allows(now) {
		q.start(now)
		return Verdict{Started: true}, nil
	}
	if t.NoWait {
		return q.Refusal(now, ReasonBusy), nil
	}
	if q.movesAtOnce(now, t) {
		return q.Refusal(now, ReasonMoved), nil
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
	q.kindFor(t).push(t)
	q.waiting++
	q.bounded = q.bounded || t.Bound.Worthwhile > 0
	return Verdict{Waiting: true}, displaced
}

// start occupies a slot.
func (q *Queue) start(now time.Time) {
	q.inUse++
	q.limit.recordStart(now)
}

// lateReason returns the reason for refusing a request that would start too late.
func (q *Queue) lateReason(now time.Time) Reason {
	if reason := q.limit.reason(now); reason != ReasonNone {
		return reason
	}
	return ReasonTooLate
}

// Release frees the slot of a request that held it for the given time, at usual speed
// (UsualTime). It returns the requests to start now and those to refuse as too late.
func (q *Queue) Release(now time.Time, held time.Duration) (start, late []*Ticket) {
	q.inUse--
	q.observeServiceTime(now, held)
	return q.Fill(now)
}

// Fill starts waiting requests while slots are free. It returns the requests to start and
// those to refuse as too late.
func (q *Queue) Fill(now time.Time) (start, late []*Ticket) {
	for q.inUse < q.cfg.Slots && q.waiting > 0 && q.limit.allows(now) {
		t := q.popNext()
		if q.expired(now, t) {
			late = append(late, t)
			continue
		}
		q.start(now)
		start = append(start, t)
	}
	return start, late
}

// Remove removes a waiting request and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	for _, k := range q.kinds {
		if k.name == t.Kind && k.remove(t) {
			q.waiting--
			return true
		}
	}
	return false
}

// LatestStart returns the time after which a waiting request is refused: when it can no
// longer finish before its deadline, by the measured service time at usual speed, or when
// Latest has passed. Zero means never.
func (q *Queue) LatestStart(t *Ticket) time.Time { return t.latestStart(q.ServiceTime()) }

// latestStart is LatestStart at the present speed of the upstream.
func (q *Queue) latestStart(now time.Time, t *Ticket) time.Time {
	return t.latestStart(q.presentServiceTime(now))
}

// latestStart returns the latest start of a request that will hold a slot for the given
// time.
func (t *Ticket) latestStart(service time.Duration) time.Time {
	if t.Deadline.IsZero() {
		return t.Latest
	}
	latest := t.Deadline.Add(-service)
	if !t.Latest.IsZero() && t.Latest.Before(latest) {
		return t.Latest
	}
	return latest
}

// Refusal returns the verdict for a reason, with the time after which to retry.
func (q *Queue) Refusal(now time.Time, r Reason) Verdict {
	return Verdict{Reason: r, RetryAfter: q.retryAfter(now)}
}

// Wait returns the time that a further request of the kind is expected to wait for a
// slot.
func (q *Queue) Wait(now time.Time, kind string, weight float64) time.Duration {
	if q.inUse < q.cfg.Slots && q.waiting == 0 {
		return q.limit.wait(now, 1)
	}
	return q.waitBehind(now, q.countAhead(&Ticket{Kind: kind, Weight: weight}))
}

// retryAfter returns the time in which the present queue is expected to drain, within
// bounds.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	wait := q.waitBehind(now, q.waiting+1)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// waitBehind returns the expected time until n requests have been started.
func (q *Queue) waitBehind(now time.Time, n int) time.Duration {
	if q.cfg.Slots <= 0 {
		return maxRetryAfter
	}
	seconds := float64(n) * q.serviceTime * q.slowdown.Factor(now) / float64(q.cfg.Slots)
	return max(time.Duration(seconds*float64(time.Second)), q.limit.wait(now, n))
}

// limitTimerSlack is how long before its latest start a request that waits for a limit must
// be expected to start: a timer wakes it, and may be late. Without it a request whose turn
// came in its last millisecond waited in vain, while other upstreams had room.
const limitTimerSlack = 10 * time.Millisecond

func (q *Queue) tooLate(now time.Time, t *Ticket) bool {
	latest := q.latestStart(now, t)
	if latest.IsZero() {
		return false
	}
	ahead := q.countAhead(t)
	wait := q.waitBehind(now, ahead)
	if q.limit.wait(now, ahead) > 0 {
		wait += limitTimerSlack
	}
	return now.Add(wait).After(latest)
}

// expired reports whether a request is past its latest start.
func (q *Queue) expired(now time.Time, t *Ticket) bool {
	latest := q.latestStart(now, t)
	return !latest.IsZero() && now.After(latest)
}

// observeServiceTime adds a sample to the smoothed service time. A sample has more weight
// the longer ago the previous one was, so that an upstream that was slow and has got few
// requests since isn't considered slow for long.
func (q *Queue) observeServiceTime(now time.Time, held time.Duration) {
	s := held.Seconds()
	if s <= 0 || math.IsNaN(s) {
		return
	}
	part := 1.0
	if q.serviceTime > 0 {
		part = max(serviceTimeSmoothing, 1-decay.Factor(now.Sub(q.serviceTimeAt), serviceTimeDecay))
	}
	q.serviceTimeAt = now
	q.serviceTime += part * (s - q.serviceTime)
}
