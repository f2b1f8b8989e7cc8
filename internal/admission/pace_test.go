package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// most returns the starts in the window up to and with the last one.
func most(starts []time.Time) int {
	n := 0
	for _, s := range starts {
		if starts[len(starts)-1].Sub(s) < paceWindow {
			n++
		}
	}
	return n
}

// TestPaceAgainstOracle offers, ends and fills at random while the upstream turns cold
// and warm. Oracle: the starts. While it is cold none is the one too many of any second,
// and whatever waits is started as soon as slot and second allow.
func TestPaceAgainstOracle(t *testing.T) {
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
					assert.Assert(t, most(starts) <= rate, "%d starts in a second of a cold upstream", most(starts))
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
				// What had started before counts, though it may be too many already.
				until = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				q.SetCold(until)
			},
			"turns warm": func(*rapid.T) {
				until = now
				q.SetCold(until)
				fill()
			},
			"reopens": func(*rapid.T) {
				at, waits := q.Reopens(now)
				if !waits {
					return
				}
				before := q.Load().Waiting
				now = at
				fill()
				assert.Assert(t, q.Load().Waiting < before, "nothing is started when it may be")
			},
		})
	})
}

// What waits for the pace of a cold upstream is started by the gate itself, at the
// published rate and without a request that ends.
func TestGateStartsWhatWaitsForThePace(t *testing.T) {
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
		assert.DeepEqual(t, in, map[time.Duration]int{0: 10, paceWindow: 10, 2 * paceWindow: 10, 2500 * time.Millisecond: 10})
	})
}

// A request that cannot start in time is refused at once, with the time at which it
// might.
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
	assert.DeepEqual(t, v, Verdict{Reason: ReasonCold, RetryAfter: paceWindow})
}
