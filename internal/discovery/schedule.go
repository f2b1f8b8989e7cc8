package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// callKind is what a call of the store asks for.
type callKind string

const (
	callNone  callKind = ""
	callCheck callKind = "check" // only whether the store answers
	callWatch callKind = "watch" // what has changed
	callList  callKind = "list"  // all
)

// storeCall is one call of the store.
type storeCall struct {
	kind callKind
	// glance says that a listing may be seconds old.
	glance bool
	after  uint64        // revision that a watch goes on from
	wait   time.Duration // for which the store may hold a watch
	// expected is when an answer is due after the start, if the way takes no time.
	expected time.Duration
	began    time.Time
	cancel   context.CancelFunc
	heard    atomic.Pointer[time.Time] // when a part of leastPart came last; nil for none
	unnoted  int                       // bytes that came since then
}

// maxCalls bounds the calls of the store in flight: one that the way may have
// lost, one that it may have lost too, and one that is answered.
const maxCalls = 3

// schedule decides when the store is called. It is pure: time and randomness are
// passed in.
//
// A call that is overdue may be lost or only slow, so it is neither waited for nor
// given up: another one goes out beside it, and what is answered first is taken.
// One lost call so costs Config.CallOverdue in place of its whole timeout, which
// was 1.5 s of the 2 s in which a change must be in force. One whose answer is coming
// is not overdue: a call beside it would bring a table of 0.9 MB once more, over the
// same link.
type schedule struct {
	cfg Config
	// draw returns a random duration of up to its argument.
	draw      func(time.Duration) time.Duration
	flying    []*storeCall // in the order of their starts
	failures  int          // calls in a row that failed or were overdue
	notBefore time.Time    // the next call
	proven    time.Time    // start of the last call that was answered
}

// next returns whether a call of a kind is to be made now, and otherwise how long
// nothing need be done. slowest is the longest pause between calls without an
// answer.
func (s *schedule) next(now time.Time, kind callKind, slowest time.Duration) (start bool, pause time.Duration) {
	at := s.notBefore
	if newest := s.newest(kind); newest != nil {
		at = later(at, newest.due().Add(s.patience(slowest)))
	}
	if len(s.flying) >= maxCalls {
		at = later(at, s.flying[0].began.Add(s.timeout(s.flying[0])))
	}
	return !now.Before(at), at.Sub(now)
}

// newest returns the call in flight that a call of a kind would be made beside;
// nil for none. A listing takes long and keeps no other call waiting.
func (s *schedule) newest(kind callKind) *storeCall {
	for _, c := range slices.Backward(s.flying) {
		if c.kind != callList || kind == callList {
			return c
		}
	}
	return nil
}

// patience is how long after its time an answer is waited for before another call
// is made. It doubles with each failure: a store that is away is not flooded.
func (s *schedule) patience(slowest time.Duration) time.Duration {
	return doubled(s.cfg.HedgeDelay, s.failures, max(s.cfg.HedgeDelay, slowest))
}

// timeout is the time after its start at which a call is given up.
func (s *schedule) timeout(c *storeCall) time.Duration { return c.expected + s.cfg.CallTimeout }

// started notes a call. One made beside another says that that is overdue.
func (s *schedule) started(c *storeCall) {
	if s.newest(c.kind) != nil {
		s.failures++
	}
	s.flying = append(s.flying, c)
}

// answered notes the answer of a call. Calls made before it are of no use any
// more, unless they bring what a check does not.
func (s *schedule) answered(c *storeCall) {
	if !slices.Contains(s.flying, c) {
		return
	}
	s.flying = slices.DeleteFunc(s.flying, func(o *storeCall) bool {
		useless := !o.began.After(c.began) && (c.kind != callCheck || o.kind == callCheck)
		if useless {
			o.cancel()
		}
		return useless
	})
	s.failures = 0
	s.proven = later(s.proven, c.began)
	s.notBefore = c.began.Add(s.cfg.MinGap)
}

// failed notes that a call ended without an answer. It reports whether that says
// anything of the store: not if a call made later was answered.
func (s *schedule) failed(c *storeCall, slowest time.Duration) bool {
	i := slices.Index(s.flying, c)
	if i < 0 {
		return false
	}
	s.flying = slices.Delete(s.flying, i, i+1)
	if i == len(s.flying) { // it was the newest, so no other one was made since
		pause := doubled(s.cfg.BackoffMin, s.failures, slowest)
		s.failures++
		s.notBefore = later(s.notBefore, c.began.Add(pause/2+s.draw(pause/2)))
	}
	return c.began.After(s.proven)
}

// refused notes an answer that asks for another call at once.
func (s *schedule) refused(now time.Time, c *storeCall) {
	s.answered(c)
	s.notBefore = now
}

// unanswered returns the first call in flight that was made after the last one that
// was answered; nil for none.
func (s *schedule) unanswered() *storeCall {
	for _, c := range s.flying {
		if c.began.After(s.proven) {
			return c
		}
	}
	return nil
}

// doubled doubles d so many times, up to a limit.
func doubled(d time.Duration, times int, limit time.Duration) time.Duration {
	for range times {
		if d >= limit {
			break
		}
		d *= 2
	}
	return min(d, limit)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
