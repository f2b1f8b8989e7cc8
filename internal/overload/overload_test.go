package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The oracle is a list of all refused requests, several of which may have the same
// identity. A retry must be recognised with the time of its first attempt; a request with
// another expiry is new.
func TestRefusedRequestsAgainstOracle(t *testing.T) {
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
				if near(k.id, k.expiry, 4*expiryTolerance) {
					t.Skip("not distinguishable from another one")
				}
				r.Add(at, "r", k.id, k.first, k.expiry)
				refused = append(refused, k)
			},
			"new": func(t *rapid.T) {
				i, expiry := id(t), at.Add(ms(t, 1500))
				if near(i, expiry, expiryTolerance) {
					t.Skip("a retry")
				}
				assert.Equal(t, r.FirstAttempt(at, i, expiry), at)
			},
			"retry": func(t *rapid.T) {
				if len(refused) == 0 {
					t.Skip("nothing refused")
				}
				k := rapid.SampledFrom(refused).Draw(t, "refused")
				if at.After(k.expiry) {
					t.Skip("expired")
				}
				assert.Equal(t, r.FirstAttempt(at, k.id, k.expiry.Add(ms(t, 20)-expiryTolerance)), k.first)
			},
			"time": func(t *rapid.T) { at = at.Add(ms(t, 300)) },
		})
	})
}

// A request with a much earlier deadline is another caller's request and not a retry.
func TestShortDeadlineIsNew(t *testing.T) {
	r := NewRefusedRequests()
	at := time.Unix(1000, 0)
	id := Identity{Host: "h", Method: "GET", Target: "/probe"}
	r.Add(at, "r", id, at.Add(-100*time.Millisecond), at.Add(1200*time.Millisecond))
	assert.Equal(t, r.FirstAttempt(at, id, at.Add(200*time.Millisecond)), at)
}

// The memory is bounded however many requests are refused, and expired ones make room.
func TestRefusedRequestsAreBounded(t *testing.T) {
	r := NewRefusedRequests()
	at := time.Unix(1000, 0)
	for i := range 2 * maxRefused {
		r.Add(at, "r", Identity{Target: string(rune(i))}, at, at.Add(time.Second))
	}
	assert.Equal(t, len(r.refused), maxRefused)
	later := at.Add(2 * time.Second)
	r.Add(later, "r", Identity{Target: "later"}, later, later.Add(time.Second))
	assert.Equal(t, len(r.refused), 1)
}

// Quantiles are those of recent requests, to within the width of a bucket.
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

// The number of samples is limited by the decay of older requests.
func TestRunTimesSamples(t *testing.T) {
	r := NewRunTimes()
	assert.Equal(t, r.Samples("k"), 0.0)
	r.Observe("k", time.Second)
	assert.Assert(t, r.Samples("k") > 0.9 && r.Samples("k") <= 1)
	for range 10000 { // past a rescale
		r.Observe("k", time.Second)
	}
	assert.Assert(t, r.Samples("k") > 0.9*runTimesDecay && r.Samples("k") <= runTimesDecay+1)
}

// A change of run times shows after about runTimesDecay requests.
func TestRunTimesForget(t *testing.T) {
	r := NewRunTimes()
	for range 1000 {
		r.Observe("k", 10*time.Millisecond)
	}
	for range 2 * runTimesDecay {
		r.Observe("k", 100*time.Millisecond)
	}
	assert.Assert(t, r.Quantile("k", TypicalRunQuantile) > 80*time.Millisecond)
	for range minRuns - 1 {
		r.Observe("few", time.Second)
	}
	assert.Equal(t, r.Quantile("few", SafeRunQuantile), time.Duration(0))
}

// A waiting request is refused while another upstream could still answer it in time, and
// a late request only waits for the next slots.
func TestMaxWait(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                     string
		left, safe, slotInterval time.Duration
		late                     bool
		want                     time.Duration
	}{
		{"objective minus run time", 200 * ms, 150 * ms, 8 * ms, false, 50 * ms},
		{"at least the next slots", 200 * ms, 190 * ms, 8 * ms, false, 16 * ms},
		{"late", 200 * ms, 50 * ms, 8 * ms, true, 16 * ms},
		{"run times unknown", 200 * ms, 0, 0, false, 200 * ms},
	} {
		assert.Equal(t, MaxWait(c.left, c.safe, c.slotInterval, c.late), c.want, c.name)
	}
}

// A route whose callers don't retry is recognised, and one whose callers retry isn't
// mistaken for it, however many of its requests are on their last attempt.
func TestRefusalIsFinal(t *testing.T) {
	r := NewRefusedRequests()
	at := time.Unix(1000, 0)
	for i := range 40 {
		call, own := Identity{Target: "call" + string(rune(i))}, Identity{Target: "own" + string(rune(i))}
		expiry := at.Add(200 * time.Millisecond)
		assert.Assert(t, i > minHistory/2 || !r.RefusalIsFinal("call"), "final after %d refusals", i)
		r.Add(at, "call", call, at, expiry)
		first := at
		for range 2 {
			r.Add(at, "own", own, first, expiry)
			at = at.Add(10 * time.Millisecond)
			assert.Equal(t, r.FirstAttempt(at, own, expiry), first)
		}
		r.Add(at, "own", own, first, expiry) // the last attempt
		if i%4 == 0 {
			r.Add(at, "own", Identity{Target: "left" + string(rune(i))}, at, expiry) // the caller disconnected
		}
		at = at.Add(time.Second)
	}
	assert.Assert(t, r.RefusalIsFinal("call"))
	assert.Assert(t, !r.RefusalIsFinal("own"))
	assert.Assert(t, !r.RefusalIsFinal("never refused"))
}
