package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// callKind is what a call of the store requests.
type callKind string

const (
	callNone  callKind = ""
	callCheck callKind = "check" // only whether the store responds
	callWatch callKind = "watch" // changes since a revision
	callList  callKind = "list"  // everything
)

// storeCall is one call of the store.
type storeCall struct {
	kind callKind
	// stale says that a listing may be seconds old.
	stale bool
	after uint64        // revision that a watch continues from
	wait  time.Duration // for which the store may hold a watch
	// expected is the time from the start to the response, without network time.
	expected        time.Duration
	startedAt       time.Time
	cancel          context.CancelFunc
	lastProgress    atomic.Pointer[time.Time] // when minProgressBytes last arrived; nil for none
	unrecordedBytes int                       // bytes that arrived since then
}

// maxCalls bounds the calls of the store in flight: two that may be lost and one that
// gets a response.
const maxCalls = 3

// schedule decides when the store is called. It has no side effects: time and randomness
// are passed in.
//
// An overdue call may be lost or only slow, so it is neither waited for nor cancelled: a
// hedged call is sent beside it, and the first response wins. A lost call then costs
// Config.HedgeDelay instead of its whole timeout; a timeout of 1.5 s used up most of the
// 2 s within which a change must be in force. A call whose response is arriving is not
// overdue: a hedged call would transfer a table of 0.9 MB a second time over the same
// link.
type schedule struct {
	cfg Config
	// jitter returns a random duration of at most its argument.
	jitter            func(time.Duration) time.Duration
	inFlight          []*storeCall // in the order of their starts
	failures          int          // consecutive calls that failed or were overdue
	notBefore         time.Time    // earliest start of the next call
	lastAnsweredStart time.Time    // start of the latest call that got a response
}

// next returns whether a call of a kind is to be started now, and otherwise how long
// nothing need be done. slowest is the longest delay between calls without a response.
func (s *schedule) next(now time.Time, kind callKind, slowest time.Duration) (start bool, pause time.Duration) {
	at := s.notBefore
	if newest := s.newestInFlight(kind); newest != nil {
		at = laterOf(at, newest.due().Add(s.hedgeDelay(slowest)))
	}
	if len(s.inFlight) >= maxCalls {
		at = laterOf(at, s.inFlight[0].startedAt.Add(s.timeout(s.inFlight[0])))
	}
	return !now.Before(at), at.Sub(now)
}

// newestInFlight returns the call in flight beside which a call of a kind would be sent;
// nil for none. A listing takes long and delays no other kind of call.
func (s *schedule) newestInFlight(kind callKind) *storeCall {
	for _, c := range slices.Backward(s.inFlight) {
		if c.kind != callList || kind == callList {
			return c
		}
	}
	return nil
}

// hedgeDelay returns how long a call may be overdue before a hedged call is sent. It
// doubles with each failure, so that an unreachable store is not flooded.
func (s *schedule) hedgeDelay(slowest time.Duration) time.Duration {
	return backoff(s.cfg.HedgeDelay, s.failures, max(s.cfg.HedgeDelay, slowest))
}

// timeout returns the time after its start at which a call is cancelled.
func (s *schedule) timeout(c *storeCall) time.Duration { return c.expected + s.cfg.CallTimeout }

// recordStart records the start of a call. A call started beside another one means that
// the other is overdue.
func (s *schedule) recordStart(c *storeCall) {
	if s.newestInFlight(c.kind) != nil {
		s.failures++
	}
	s.inFlight = append(s.inFlight, c)
}

// recordResponse records the response to a call. It cancels calls that started earlier,
// unless they fetch data that a check does not.
func (s *schedule) recordResponse(c *storeCall) {
	if !slices.Contains(s.inFlight, c) {
		return
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *storeCall) bool {
		superseded := !o.startedAt.After(c.startedAt) && (c.kind != callCheck || o.kind == callCheck)
		if superseded {
			o.cancel()
		}
		return superseded
	})
	s.failures = 0
	s.lastAnsweredStart = laterOf(s.lastAnsweredStart, c.startedAt)
	s.notBefore = c.startedAt.Add(s.cfg.MinGap)
}

// recordFailure records that a call ended without a response. It reports whether that
// says anything about the store: not if a later call got a response.
func (s *schedule) recordFailure(c *storeCall, slowest time.Duration) bool {
	i := slices.Index(s.inFlight, c)
	if i < 0 {
		return false
	}
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if i == len(s.inFlight) { // it was the newest, so no other call has been started since
		pause := backoff(s.cfg.BackoffMin, s.failures, slowest)
		s.failures++
		s.notBefore = laterOf(s.notBefore, c.startedAt.Add(pause/2+s.jitter(pause/2)))
	}
	return c.startedAt.After(s.lastAnsweredStart)
}

// recordHistoryGone records a response that requires another call at once.
func (s *schedule) recordHistoryGone(now time.Time, c *storeCall) {
	s.recordResponse(c)
	s.notBefore = now
}

// firstUnanswered returns the first call in flight that started after the latest one that
// got a response; nil for none.
func (s *schedule) firstUnanswered() *storeCall {
	for _, c := range s.inFlight {
		if c.startedAt.After(s.lastAnsweredStart) {
			return c
		}
	}
	return nil
}

// backoff doubles d for each failure, up to a limit.
func backoff(d time.Duration, failures int, limit time.Duration) time.Duration {
	for range failures {
		if d >= limit {
			break
		}
		d *= 2
	}
	return min(d, limit)
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
