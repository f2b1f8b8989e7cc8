package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// coldWindow is the window in which at most one second's worth of requests is started at a
// cold upstream.
const coldWindow = 1050 * time.Millisecond

// startsInWindow returns the number of starts within the window that ends with the last
// one.
func startsInWindow(starts []time.Time) int {
	n := 0
	for _, s := range starts {
		if starts[len(starts)-1].Sub(s) < coldWindow {
			n++
		}
	}
	return n
}

// TestColdRateLimitAgainstOracle offers, releases and fills at random while the upstream
// changes between cold and warm. The oracle is the list of starts: while the upstream is
// cold no start may exceed the rate in any window, and a waiting request is started as
// soon as a slot is free and the rate allows it.
func TestColdRateLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 20).Draw(t, "rate")
		slots := rapid.IntRange(1, 30).Draw(t, "slots")
		q := NewQueue(Config{Slots: slots, QueueLimit: 50})
		q.SetColdRate(float64(rate))
		now := time.Unix(1000, 0)
		until := now
		var starts []time.Time
		started := func(n int) {
			for range n {
				starts = append(starts, now)
				if now.Before(until) {
					assert.Assert(t, startsInWindow(starts) <= rate, "%d starts in a second at a cold upstream", startsInWindow(starts))
				}
			}
		}
		fill := func() {
			start, _ := q.Fill(now)
			started(len(start))
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(*rapid.T) {
				if v, _ := q.Offer(now, &Ticket{Kind: "k", Weight: 1}); v.Started {
					started(1)
				}
			},
			"release": func(t *rapid.T) {
				if q.Load().InUse > 0 {
					start, _ := q.Release(now, 10*time.Millisecond)
					started(len(start))
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
				fill()
			},
			"turns cold": func(t *rapid.T) {
				// Earlier starts count, though they may already exceed the rate.
				until = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				q.SetCold(until)
			},
			"turns warm": func(*rapid.T) {
				until = now
				q.SetCold(until)
				fill()
			},
			"reopens": func(*rapid.T) {
				at, waits := q.LimitOpensAt(now)
				if !waits {
					return
				}
				before := q.Load().Waiting
				now = at
				fill()
				assert.Assert(t, q.Load().Waiting < before, "no request is started when one may be")
			},
		})
	})
}

// The gate itself must start requests that wait only for the rate limit of a cold
// upstream, at the set rate and without another request ending.
func TestGateStartsRequestsWhenColdLimitAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 100, QueueLimit: 100})
		g.SetColdRate(10)
		g.SetCold(time.Now().Add(2500 * time.Millisecond))
		began := time.Now()
		starts := make(chan time.Duration, 40)
		for range cap(starts) {
			go func() {
				if g.Acquire(t.Context(), &Ticket{Kind: "k", Weight: 1}).Started {
					starts <- time.Since(began)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(starts), cap(starts))
		in := make(map[time.Duration]int)
		for range cap(starts) {
			in[<-starts]++
		}
		assert.DeepEqual(t, in, map[time.Duration]int{0: 10, coldWindow: 10, 2 * coldWindow: 10, 2500 * time.Millisecond: 10})
	})
}

// A request that can't start in time is refused at once, with the time at which it might
// start.
func TestColdUpstreamRefusesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(Config{Slots: 100, QueueLimit: 100})
	q.SetColdRate(2)
	q.SetCold(now.Add(3 * time.Second))
	for range 2 {
		v, _ := q.Offer(now, &Ticket{Kind: "k", Weight: 1})
		assert.Assert(t, v.Started)
	}
	v, _ := q.Offer(now, &Ticket{Kind: "k", Weight: 1, Latest: now.Add(300 * time.Millisecond)})
	assert.DeepEqual(t, v, Verdict{Reason: ReasonCold, RetryAfter: coldWindow})
}
