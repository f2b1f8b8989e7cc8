package admission

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// limitedResponse is a response of an upstream that may advertise a limit.
type limitedResponse struct {
	sentAt, writtenAt, receivedAt time.Time
	limit                         AdvertisedLimit
}

// drawResponses draws responses that overlap, of an upstream whose limit changes.
func drawResponses(t *rapid.T) []limitedResponse {
	at := func(label string, from, to int) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond)
	}
	limits := rapid.SliceOfN(rapid.SampledFrom([]AdvertisedLimit{{}, {true, 0}, {true, 2}, {true, 5}}), 1, 5).Draw(t, "limits")
	var out []limitedResponse
	for range rapid.IntRange(1, 20).Draw(t, "responses") {
		const limitLasts, longest = 100, 150 // milliseconds
		sent := rapid.IntRange(0, limitLasts*len(limits)-1).Draw(t, "sent")
		written := rapid.IntRange(sent, min(sent+longest, limitLasts*len(limits)-1)).Draw(t, "written")
		out = append(out, limitedResponse{
			sentAt: at("sent at", sent, sent), writtenAt: at("written at", written, written), receivedAt: at("received at", written, written+longest),
			limit: limits[written/limitLasts],
		})
	}
	return out
}

// Whatever the order in which responses are processed, the limit in force is never looser
// than what the latest written one of them advertises. A response to a request that was
// sent after all others had been received decides alone.
func TestLimitTrackerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker LimitTracker
		var latest limitedResponse
		last := time.Unix(1000, 0)
		for i, r := range drawResponses(t) {
			before := tracker.Current()
			changed := tracker.Observe("a", r.sentAt, r.receivedAt, r.limit)
			assert.Equal(t, changed, tracker.Current() != before)
			if i == 0 || r.writtenAt.After(latest.writtenAt) {
				latest = r
			}
			if r.receivedAt.After(last) {
				last = r.receivedAt
			}
			assert.Assert(t, !latest.limit.stricterThan(tracker.Current()), "limit %+v in force, %+v was advertised last", tracker.Current(), latest.limit)
		}
		tracker.Observe("a", last.Add(time.Millisecond), last.Add(2*time.Millisecond), AdvertisedLimit{true, 3})
		assert.Equal(t, tracker.Current(), AdvertisedLimit{true, 3})
		assert.Equal(t, len(tracker.current), 1)
		assert.Assert(t, !tracker.Observe("a", time.Unix(1000, 0), last, AdvertisedLimit{true, 0}), "an outdated response must not count")
	})
}

// However many overlapping responses advertise ever looser limits, few are kept, and the
// strictest one is in force until it is outdated.
func TestLimitTrackerIsBounded(t *testing.T) {
	begin := time.Unix(1000, 0)
	var tracker LimitTracker
	for i := range 10 * maxOverlappingLimits {
		tracker.Observe("a", begin, begin.Add(time.Duration(i)*time.Millisecond), AdvertisedLimit{true, float64(i)})
		assert.Assert(t, len(tracker.current) <= maxOverlappingLimits)
	}
	assert.Equal(t, tracker.Current(), AdvertisedLimit{true, 0})
	later := begin.Add(time.Hour)
	tracker.Observe("a", later, later, AdvertisedLimit{true, 7})
	assert.Equal(t, tracker.Current(), AdvertisedLimit{true, 7})
}

// What one process advertised does not hold for the next one at its address, and hints
// count only until the upstream itself has said something.
func TestLimitTrackerInstances(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var tracker LimitTracker
	assert.Assert(t, tracker.Hint("a", at(0), AdvertisedLimit{true, 4}))
	assert.Assert(t, !tracker.Hint("a", at(1), AdvertisedLimit{true, 5}), "a looser hint must not count")
	assert.Assert(t, !tracker.Hint("a", at(1), AdvertisedLimit{}))
	tracker.Observe("a", at(10), at(20), AdvertisedLimit{true, 7})
	assert.Assert(t, !tracker.Hint("a", at(21), AdvertisedLimit{true, 1}), "the upstream has said something else")
	_, known := tracker.Limit("b")
	assert.Assert(t, !known)
	assert.Assert(t, tracker.Observe("b", at(30), at(40), AdvertisedLimit{}))
	assert.Assert(t, !tracker.Observe("a", at(11), at(50), AdvertisedLimit{true, 7}), "a late response of the earlier process")
	assert.Assert(t, !tracker.Forget("b"))
	tracker.Observe("b", at(60), at(70), AdvertisedLimit{true, 9})
	assert.Assert(t, tracker.Forget("c"))
	assert.Equal(t, tracker.Current(), AdvertisedLimit{})
}

// Whatever rate an upstream advertises, and however requests come and end, it gets in any
// window no more than the limit allows, also of what was started before the limit and by an
// earlier process.
func TestAdvertisedLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		rate := rapid.SampledFrom([]float64{0, 0.2, 0.4, 1, 3.5, 20, 40.2, 300, 1e12}).Draw(t, "rate")
		q := NewQueue(Config{Slots: 1000, QueueLimit: 50, StartedAt: begin})
		now := begin
		var starts []time.Time // since the limit is known
		started := func(n int) {
			for range n {
				starts = append(starts, now)
			}
			const window = 4 * time.Second
			in := 0
			for _, s := range starts {
				if now.Sub(s) < window {
					in++
				}
			}
			allowed := rate*window.Seconds() + rate*advertisedSpan.Seconds() + 2
			assert.Assert(t, float64(in) <= allowed, "%d starts in %v at %v a second", in, window, rate)
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			q.Offer(now, &Ticket{Kind: "k", Weight: 1})
		}
		q.SetAdvertisedLimit(now, AdvertisedLimit{true, rate})
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(*rapid.T) {
				if v, _ := q.Offer(now, &Ticket{Kind: "k", Weight: 1}); v.Started {
					started(1)
				}
			},
			"release": func(*rapid.T) {
				if q.Load().InUse > 0 {
					start, _ := q.Release(now, 10*time.Millisecond)
					started(len(start))
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
				start, _ := q.Fill(now)
				started(len(start))
			},
			"opens": func(*rapid.T) {
				at, waits := q.LimitOpensAt(now)
				if !waits {
					return
				}
				before := q.Load().Waiting
				now = at
				start, _ := q.Fill(now)
				started(len(start))
				assert.Assert(t, q.Load().Waiting < before, "no request is started when one may be")
			},
		})
	})
}

// Requests that wait when an upstream advertises a limit are refused at once if it does not
// let them start in time; the others are started at its rate. When the limit ends the rest
// is started at once.
func TestWaitingRequestsWhenALimitIsAdvertised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 1, QueueLimit: 100})
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
		began := time.Now()
		verdicts := make(chan string, 3)
		for _, wait := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 5 * time.Second} {
			go func() {
				v := g.Acquire(t.Context(), &Ticket{Kind: "k", Latest: began.Add(wait)})
				verdicts <- fmt.Sprintf("%v %q after %v", v.Started, v.Reason, time.Since(began).Round(time.Millisecond))
			}()
			synctest.Wait()
		}
		g.SetAdvertisedLimit(AdvertisedLimit{true, 0.5})
		assert.Equal(t, <-verdicts, `false "advertised-limit" after 0s`)
		g.SetSlots(100)
		time.Sleep(2200 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, <-verdicts, `true "" after 2s`)
		g.SetAdvertisedLimit(AdvertisedLimit{})
		assert.Equal(t, <-verdicts, `true "" after 2.2s`)
	})
}

// A limit that becomes looser lets waiting requests start at its rate, not at the time that
// the earlier limit allowed.
func TestLooserAdvertisedLimitAppliesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 10, QueueLimit: 100})
		g.SetAdvertisedLimit(AdvertisedLimit{true, 0})
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
		began := time.Now()
		done := make(chan time.Duration)
		go func() { g.Acquire(t.Context(), &Ticket{Kind: "k"}); done <- time.Since(began) }()
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		g.SetAdvertisedLimit(AdvertisedLimit{true, 4})
		assert.Equal(t, <-done, 250*time.Millisecond)
	})
}

// What an earlier process started just before this one counts as if it had been the whole
// limit, evenly spread.
func TestStartsOfAnEarlierProcessCount(t *testing.T) {
	begin := time.Unix(1000, 0)
	q := NewQueue(Config{Slots: 100, StartedAt: begin})
	q.SetAdvertisedLimit(begin, AdvertisedLimit{true, 20})
	starts := 0
	for ms := range 1000 {
		if v, _ := q.Offer(begin.Add(time.Duration(ms)*time.Millisecond), &Ticket{Kind: "k", NoWait: true}); v.Started {
			starts++
		}
		assert.Assert(t, starts <= 1+ms*20/1000, "%d starts after %d ms at 20 a second", starts, ms)
	}
	assert.Assert(t, starts >= 18, "%d starts in a second", starts)
}
