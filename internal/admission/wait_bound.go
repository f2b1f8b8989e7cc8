package admission

import "time"

// WaitBound is how long a request should wait for a slot at an upstream before another
// upstream is a better choice. The zero value is no bound.
type WaitBound struct {
	// Worthwhile is the longest wait that is worthwhile. It includes RoundTrip.
	Worthwhile time.Duration
	// RoundTrip is the time from the sender of the request to the node and back.
	RoundTrip time.Duration
}

// worthMoving reports whether a request that is expected to wait for the given time is
// better returned to its sender: the wait exceeds its bound by more than the tolerance,
// and there is time to start the request at another upstream.
func (q *Queue) worthMoving(now time.Time, t *Ticket, wait, tolerance time.Duration) bool {
	if t.Bound.Worthwhile == 0 || wait <= t.Bound.Worthwhile+tolerance {
		return false
	}
	latest := q.LatestStart(t)
	return latest.IsZero() || !now.Add(t.Bound.RoundTrip).After(latest)
}

// movesAtOnce reports whether a request that is offered should be returned instead of
// queued.
func (q *Queue) movesAtOnce(now time.Time, t *Ticket) bool {
	return t.Bound.Worthwhile > 0 && q.worthMoving(now, t, q.waitBehind(now, q.countAhead(t)), 0)
}

// TakeMovable removes and returns the waiting requests whose remaining wait has risen
// beyond their bound by more than a round trip; the caller must refuse them. The round
// trip keeps small changes of the forecast from moving requests.
//
// It evaluates each waiting request once, and once more for each one that it returns.
func (q *Queue) TakeMovable(now time.Time) (moved []*Ticket) {
	for q.bounded {
		t, bounded := q.firstMovable(now)
		q.bounded = bounded
		if t == nil {
			break
		}
		q.Remove(t)
		moved = append(moved, t)
	}
	return moved
}

// firstMovable returns a waiting request that TakeMovable should return, nil if there is
// none, and whether any waiting request has a bound.
func (q *Queue) firstMovable(now time.Time) (movable *Ticket, bounded bool) {
	for _, k := range q.kinds {
		for turn, tn := range k.tenants {
			for i, t := range tn.tickets {
				if t.Bound.Worthwhile == 0 {
					continue
				}
				bounded = true
				ahead := q.countAheadAt(k.name, t.Weight, k.position(turn, i))
				if q.worthMoving(now, t, q.waitBehind(now, ahead), t.Bound.RoundTrip) {
					return t, true
				}
			}
		}
	}
	return nil, bounded
}

// position returns which of the waiting requests of the kind is served as the given one
// of a tenant, counted from 1. Tenants are served round-robin; turn is the index of the
// tenant and i that of the request among the tenant's own.
func (k *kindQueue) position(turn, i int) int {
	n := 1
	for other, tn := range k.tenants {
		if other < turn {
			n += min(len(tn.tickets), i+1)
		} else {
			n += min(len(tn.tickets), i)
		}
	}
	return n
}
