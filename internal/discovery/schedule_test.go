package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The defaults keep any bound of half a second or more with one call lost, and no
// longer than with the usual ones.
func TestDefaultsKeepTheBound(t *testing.T) {
	for _, bound := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 10 * time.Second} {
		c := ConfigFor(bound)
		assert.Assert(t, c.WithinChangeBound(), "bound %v, worst age %v", bound, c.MaxStaleness(1))
		assert.Assert(t, c.WatchWait+c.HedgeDelay < c.PeerMaxStaleness, "a quiet watch of a reader keeps its followers from the store")
		assert.Assert(t, c.PeerMaxStaleness <= defaults().PeerMaxStaleness)
	}
}

// Calls without an answer are joined by others soon, then ever more slowly, and no
// more than maxCalls are in flight.
func TestScheduleWithoutAnswers(t *testing.T) {
	s := schedule{cfg: DefaultConfig(), draw: whole}
	now := start
	var gaps []time.Duration
	for last := now; len(gaps) < 6; now = now.Add(time.Millisecond) {
		if ok, _ := s.next(now, callWatch, s.cfg.FollowerBackoffMax); !ok {
			s.giveUp(now)
			continue
		}
		s.started(&storeCall{kind: callWatch, began: now, cancel: func() {}})
		gaps = append(gaps, now.Sub(last))
		last = now
		assert.Assert(t, len(s.flying) <= maxCalls)
	}
	assert.DeepEqual(t, gaps[:3], []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond})
	for _, gap := range gaps[3:] {
		assert.Assert(t, gap >= s.cfg.CallTimeout/maxCalls, "%v", gaps)
	}
}

// giveUp fails the calls whose time-out is over, as the follower does.
func (s *schedule) giveUp(now time.Time) {
	for _, c := range s.flying {
		if now.Sub(c.began) >= s.timeout(c) {
			s.failed(c, s.cfg.FollowerBackoffMax)
			return
		}
	}
}

// What a later call brought makes an earlier one useless; a check brings nothing,
// and a listing keeps no check waiting.
func TestScheduleKeepsWhatIsOfUse(t *testing.T) {
	s := schedule{cfg: DefaultConfig(), draw: whole}
	cancelled := make(map[string]bool)
	call := func(name string, kind callKind, after time.Duration) *storeCall {
		c := &storeCall{kind: kind, began: start.Add(after), cancel: func() { cancelled[name] = true }}
		s.started(c)
		return c
	}
	list := call("list", callList, 0)
	assert.Assert(t, s.newest(callCheck) == nil && s.newest(callList) == list)
	check := call("check", callCheck, time.Second)
	s.answered(check)
	assert.Assert(t, !cancelled["list"])
	assert.Assert(t, s.unanswered() == nil, "the store has answered since the listing began")
	assert.Assert(t, !s.failed(list, time.Second))
	call("watch", callWatch, 3*time.Second)
	s.answered(call("beside", callWatch, 4*time.Second))
	assert.Assert(t, cancelled["watch"])
	assert.Equal(t, len(s.flying), 0)
}

// whole draws the longest duration.
func whole(d time.Duration) time.Duration { return d }
