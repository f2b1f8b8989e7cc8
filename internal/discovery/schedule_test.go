package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The defaults must keep any change bound of 1.5 s or more with one call lost, and
// PeerMaxStaleness may not exceed its usual default.
func TestDefaultsKeepTheBound(t *testing.T) {
	for _, bound := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 10 * time.Second} {
		c := ConfigFor(bound)
		assert.Assert(t, c.WithinChangeBound(), "bound %v, maximum staleness %v", bound, c.MaxStaleness(1))
		assert.Assert(t, c.WatchWait+c.HedgeDelay < c.PeerMaxStaleness, "followers must not call the store during a quiet watch of a reader")
		assert.Assert(t, c.PeerMaxStaleness <= defaults().PeerMaxStaleness)
	}
}

// Calls without a response are followed by hedged calls soon and then ever more slowly,
// with at most maxCalls in flight.
func TestScheduleWithoutResponses(t *testing.T) {
	s := schedule{cfg: DefaultConfig(), jitter: maxDraw}
	now := startTime
	var gaps []time.Duration
	for last := now; len(gaps) < 6; now = now.Add(time.Millisecond) {
		if ok, _ := s.next(now, callWatch, s.cfg.FollowerBackoffMax); !ok {
			s.expireCalls(now)
			continue
		}
		s.recordStart(&storeCall{kind: callWatch, startedAt: now, cancel: func() {}})
		gaps = append(gaps, now.Sub(last))
		last = now
		assert.Assert(t, len(s.inFlight) <= maxCalls)
	}
	assert.DeepEqual(t, gaps[:3], []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond})
	for _, gap := range gaps[3:] {
		assert.Assert(t, gap >= s.cfg.CallTimeout/maxCalls, "%v", gaps)
	}
}

// expireCalls fails the calls whose timeout is over, as the follower does.
func (s *schedule) expireCalls(now time.Time) {
	for _, c := range s.inFlight {
		if now.Sub(c.startedAt) >= s.timeout(c) {
			s.recordFailure(c, s.cfg.FollowerBackoffMax)
			return
		}
	}
}

// The response to a later call supersedes an earlier call. A check supersedes only
// checks, and a listing delays no check.
func TestScheduleCancelsSupersededCalls(t *testing.T) {
	s := schedule{cfg: DefaultConfig(), jitter: maxDraw}
	cancelled := make(map[string]bool)
	call := func(name string, kind callKind, after time.Duration) *storeCall {
		c := &storeCall{kind: kind, startedAt: startTime.Add(after), cancel: func() { cancelled[name] = true }}
		s.recordStart(c)
		return c
	}
	list := call("list", callList, 0)
	assert.Assert(t, s.newestInFlight(callCheck) == nil && s.newestInFlight(callList) == list)
	check := call("check", callCheck, time.Second)
	s.recordResponse(check)
	assert.Assert(t, !cancelled["list"])
	assert.Assert(t, s.firstUnanswered() == nil, "the store has responded since the listing started")
	assert.Assert(t, !s.recordFailure(list, time.Second))
	call("watch", callWatch, 3*time.Second)
	s.recordResponse(call("hedged", callWatch, 4*time.Second))
	assert.Assert(t, cancelled["watch"])
	assert.Equal(t, len(s.inFlight), 0)
}

// maxDraw returns the longest duration that can be drawn.
func maxDraw(d time.Duration) time.Duration { return d }
