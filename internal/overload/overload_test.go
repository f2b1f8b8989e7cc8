package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Oracle: a plain list of all refused requests, several of the same identity among
// them. What is known of a return is its first attempt; what expires at another
// time is new.
func TestReturnsAgainstOracle(t *testing.T) {
	type known struct {
		id            Identity
		first, expiry time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		r := NewRefusedRequests()
		at := time.Unix(1000, 0)
		var refused []known
		id := func(t *rapid.T) Identity {
			return Identity{
				Host:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"),
				Method: rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"),
				Target: rapid.SampledFrom([]string{"/", "/x?y"}).Draw(t, "target"),
			}
		}
		ms := func(t *rapid.T, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
		}
		near := func(i Identity, expiry time.Time, within time.Duration) bool {
			for _, k := range refused {
				if k.id == i && k.expiry.Sub(expiry).Abs() <= within {
					return true
				}
			}
			return false
		}
		t.Repeat(map[string]func(*rapid.T){
			"refuse": func(t *rapid.T) {
				k := known{id: id(t), first: at.Add(-ms(t, 500)), expiry: at.Add(ms(t, 1500))}
				if near(k.id, k.expiry, 4*expirySlack) {
					t.Skip("not told from another one")
				}
				r.Add(at, "r", k.id, k.first, k.expiry)
				refused = append(refused, k)
			},
			"new": func(t *rapid.T) {
				i, expiry := id(t), at.Add(ms(t, 1500))
				if near(i, expiry, expirySlack) {
					t.Skip("a return")
				}
				assert.Equal(t, r.FirstAttempt(at, i, expiry), at)
			},
			"return": func(t *rapid.T) {
				if len(refused) == 0 {
					t.Skip("nothing refused")
				}
				k := rapid.SampledFrom(refused).Draw(t, "refused")
				if at.After(k.expiry) {
					t.Skip("expired")
				}
				assert.Equal(t, r.FirstAttempt(at, k.id, k.expiry.Add(ms(t, 20)-expirySlack)), k.first)
			},
			"time": func(t *rapid.T) { at = at.Add(ms(t, 300)) },
		})
	})
}

// A caller with a short deadline is not taken for one that comes late.
func TestShortDeadlineIsNew(t *testing.T) {
	r := NewRefusedRequests()
	at := time.Unix(1000, 0)
	id := Identity{Host: "h", Method: "GET", Target: "/probe"}
	r.Add(at, "r", id, at.Add(-100*time.Millisecond), at.Add(1200*time.Millisecond))
	assert.Equal(t, r.FirstAttempt(at, id, at.Add(200*time.Millisecond)), at)
}

// However many are refused, the memory is bounded, and expired ones make room.
func TestReturnsAreBounded(t *testing.T) {
	r := NewRefusedRequests()
	at := time.Unix(1000, 0)
	for i := range 2 * maxReturns {
		r.Add(at, "r", Identity{Target: string(rune(i))}, at, at.Add(time.Second))
	}
	assert.Equal(t, len(r.refused), maxReturns)
	later := at.Add(2 * time.Second)
	r.Add(later, "r", Identity{Target: "later"}, later, later.Add(time.Second))
	assert.Equal(t, len(r.refused), 1)
}

// Quantiles are those of the last requests, to the width of a bucket.
func TestRunTimesQuantile(t *testing.T) {
	r := NewRunTimes()
	rnd := rand.New(rand.NewPCG(1, 2))
	var last []float64
	for range 3000 {
		took := 0.02 + rnd.ExpFloat64()*0.1
		last = append(last, took)
		r.Observe("k", time.Duration(took*float64(time.Second)))
	}
	slices.Sort(last)
	for _, q := range []float64{TypicalRunQuantile, SafeRunQuantile} {
		got, want := r.Quantile("k", q).Seconds(), last[int(q*float64(len(last)))]
		assert.Assert(t, got > want/1.4 && got < want*1.4, "%v: %v, of all %v", q, got, want)
	}
	assert.Equal(t, r.Quantile("other", SafeRunQuantile), time.Duration(0))
}

// A quantile rests on no more requests than are remembered.
func TestRunTimesSamples(t *testing.T) {
	r := NewRunTimes()
	assert.Equal(t, r.Samples("k"), 0.0)
	r.Observe("k", time.Second)
	assert.Assert(t, r.Samples("k") > 0.9 && r.Samples("k") <= 1)
	for range 10000 { // past a rescaling
		r.Observe("k", time.Second)
	}
	assert.Assert(t, r.Samples("k") > 0.9*runMemory && r.Samples("k") <= runMemory+1)
}

// A change is noticed within about as many requests as are remembered.
func TestRunTimesForget(t *testing.T) {
	r := NewRunTimes()
	for range 1000 {
		r.Observe("k", 10*time.Millisecond)
	}
	for range 2 * runMemory {
		r.Observe("k", 100*time.Millisecond)
	}
	assert.Assert(t, r.Quantile("k", TypicalRunQuantile) > 80*time.Millisecond)
	for range leastRuns - 1 {
		r.Observe("few", time.Second)
	}
	assert.Equal(t, r.Quantile("few", SafeRunQuantile), time.Duration(0))
}

// What waits is refused while it could still be in time elsewhere, and what
// cannot be in time waits for the next slots only.
func TestPatience(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                  string
		left, safe, slotEvery time.Duration
		late                  bool
		want                  time.Duration
	}{
		{"objective less the run", 200 * ms, 150 * ms, 8 * ms, false, 50 * ms},
		{"at least the next slots", 200 * ms, 190 * ms, 8 * ms, false, 16 * ms},
		{"late", 200 * ms, 50 * ms, 8 * ms, true, 16 * ms},
		{"nothing known", 200 * ms, 0, 0, false, 200 * ms},
	} {
		assert.Equal(t, MaxWait(c.left, c.safe, c.slotEvery, c.late), c.want, c.name)
	}
}

// Requests whose callers do not come back are known by that, and others are not
// taken for them however many of theirs are on their last attempt.
func TestOneShot(t *testing.T) {
	r := NewRefusedRequests()
	at := time.Unix(1000, 0)
	for i := range 40 {
		call, own := Identity{Target: "call" + string(rune(i))}, Identity{Target: "own" + string(rune(i))}
		expiry := at.Add(200 * time.Millisecond)
		assert.Assert(t, i > habitMin/2 || !r.RefusalIsFinal("call"), "known after %d", i)
		r.Add(at, "call", call, at, expiry)
		first := at
		for range 2 {
			r.Add(at, "own", own, first, expiry)
			at = at.Add(10 * time.Millisecond)
			assert.Equal(t, r.FirstAttempt(at, own, expiry), first)
		}
		r.Add(at, "own", own, first, expiry) // the last attempt
		if i%4 == 0 {
			r.Add(at, "own", Identity{Target: "left" + string(rune(i))}, at, expiry) // its caller has left
		}
		at = at.Add(time.Second)
	}
	assert.Assert(t, r.RefusalIsFinal("call"))
	assert.Assert(t, !r.RefusalIsFinal("own"))
	assert.Assert(t, !r.RefusalIsFinal("never refused"))
}
