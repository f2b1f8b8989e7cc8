package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// replayPolicy is the policy of a sidecar.
func replayPolicy() Policy {
	return Policy{Ratio: 0.15, Reserve: 3, MinRemaining: 5 * time.Millisecond, FreeTries: 1}
}

// Load of the replay: the nodes send requests of three ranks, in these shares, and
// between the two times the upstreams reject half of all arrivals at random.
const (
	replayNodes     = 100
	replayPerSecond = 10 // requests of a node
	replayRejected  = 0.5
	rejectingFrom   = 4 * time.Second
	rejectingUntil  = 12 * time.Second
)

var (
	replayRanks  = [...]Rank{RankOf(true, 1), RankOf(false, 0), RankOf(false, 2)}
	replayShares = [...]float64{0.2, 0.3, 0.5}
)

// replayResult counts what became of the requests while the service rejected.
type replayResult struct {
	first, tries   int
	failed, missed [len(replayRanks)]int // rejected at the first try; and in the end
}

// served returns the share of the rejected requests of a rank that were served by a
// further try.
func (r replayResult) served(i int) float64 { return 1 - float64(r.missed[i])/float64(r.failed[i]) }

// replayRejections sends the load, with the rank that rankOf gives for each.
func replayRejections(rankOf func(i int) Rank) replayResult {
	rnd := rand.New(rand.NewPCG(3, 4))
	var res replayResult
	for range replayNodes {
		b, start := NewRankedBudget(replayPolicy()), time.Unix(1000, 0)
		for at := time.Duration(0); at < rejectingUntil; at += time.Duration(rnd.ExpFloat64() * float64(time.Second) / replayPerSecond) {
			i := drawRank(rnd)
			res.send(b, rnd, start.Add(at), i, rankOf(i), at >= rejectingFrom)
		}
	}
	return res
}

func drawRank(rnd *rand.Rand) int {
	at := rnd.Float64()
	for i, share := range replayShares {
		if at < share {
			return i
		}
		at -= share
	}
	return len(replayShares) - 1
}

// send sends a request with at most one further try.
func (r *replayResult) send(b *RankedBudget, rnd *rand.Rand, now time.Time, i int, rank Rank, rejecting bool) {
	b.Deposit(now)
	for n := 1; ; n++ {
		class := Answered
		if rejecting && rnd.Float64() < replayRejected {
			class = Rejected
		}
		b.Observe(now, class)
		if rejecting {
			r.count(i, n, class)
		}
		try := Try{Class: class, Arrived: n, Number: n, Retries: 1, Remaining: time.Second, Replayable: true}
		if b.Decide(now, Request{Rank: rank}, try).Reason != Allowed {
			if class == Rejected {
				r.missed[i]++
			}
			return
		}
	}
}

func (r *replayResult) count(i, n int, class Class) {
	if n > 1 {
		r.tries++
		return
	}
	r.first++
	if class == Rejected {
		r.failed[i]++
	}
}

// Guards against tries that go to whichever requests come first, against a lower rank
// that takes what a higher one needs, and against a budget that ranks leave unused.
func TestHigherRanksAreTriedFirst(t *testing.T) {
	equal := replayRejections(func(int) Rank { return 0 })
	ranked := replayRejections(func(i int) Rank { return replayRanks[i] })
	t.Logf("served by rank: equal %.2f %.2f %.2f, ranked %.2f %.2f %.2f; tries %d and %d of %d", equal.served(0), equal.served(1), equal.served(2),
		ranked.served(0), ranked.served(1), ranked.served(2), equal.tries, ranked.tries, ranked.first)
	// A further try is rejected as often as the first one, so at most half can be served.
	// Requests that are rejected before the share is noticed may use up the reserve, which
	// leaves the highest rank short for two or three of the eight seconds.
	assert.Assert(t, ranked.served(0) > 0.75*(1-replayRejected))
	assert.Assert(t, ranked.served(0) > 2*equal.served(0))
	assert.Assert(t, ranked.served(1) > ranked.served(2))
	assert.Assert(t, float64(ranked.tries) > 0.85*float64(equal.tries))
	p := replayPolicy()
	assert.Assert(t, float64(ranked.tries) <= p.Ratio*float64(ranked.first)+p.Reserve*replayNodes)
}

// Guards against ranks that raise the load of the upstreams: in any history the further
// tries of all ranks together stay within the bound of Budget.
func TestRanksShareOneBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := replayPolicy()
		b, now := NewRankedBudget(p), time.Unix(1000, 0)
		first, tries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first":    func(*rapid.T) { b.Deposit(now); first++ },
			"answered": func(*rapid.T) { b.Observe(now, Answered) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-5, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"fail": func(t *rapid.T) {
				try := retryableTry()
				try.Class, try.Arrived = Class(rapid.IntRange(0, int(Ambiguous)).Draw(t, "class")), 1
				b.Observe(now, try.Class)
				rank := RankOf(rapid.Bool().Draw(t, "final"), rapid.IntRange(-1, 12).Draw(t, "priority"))
				if b.Decide(now, Request{Rank: rank}, try).Reason == Allowed {
					tries++
				}
			},
			"": func(t *rapid.T) {
				assert.Assert(t, float64(tries) <= p.Reserve+p.Ratio*float64(first)+1e-9)
			},
		})
	})
}

// Guards against a change of decisions where upstreams reject at most a tenth of the
// arrivals: they are those of Budget, whatever the ranks.
func TestNoRanksWhileFewAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := replayPolicy()
		b, oracle, now := NewRankedBudget(p), NewBudget(p), time.Unix(1000, 0)
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.Deposit(now); oracle.Deposit() },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"fail": func(t *rapid.T) {
				try := retryableTry()
				try.Class, try.Arrived = Class(rapid.IntRange(0, int(Ambiguous)).Draw(t, "class")), 1
				try.Remaining = time.Duration(rapid.IntRange(0, 100).Draw(t, "remaining")) * time.Millisecond
				for range 9 {
					b.Observe(now, Answered)
				}
				b.Observe(now, try.Class)
				rank := RankOf(rapid.Bool().Draw(t, "final"), rapid.IntRange(0, 9).Draw(t, "priority"))
				r := b.Decide(now, Request{Rank: rank, Left: try.Remaining, TypicalRun: 50 * time.Millisecond}, try)
				assert.Assert(t, !r.Ranked)
				assert.Equal(t, r.Reason, oracle.Decide(try))
			},
		})
	})
}

// rejectingBudget returns the full budget of a service that has just rejected half of 40
// requests of a rank, and the time.
func rejectingBudget(rank Rank) (*RankedBudget, time.Time) {
	b, now := NewRankedBudget(replayPolicy()), time.Unix(1000, 0)
	for range 20 {
		for _, c := range []Class{Answered, Rejected} {
			b.Deposit(now)
			b.Observe(now, c)
			b.Decide(now, Request{Rank: rank}, rejectedTry())
		}
	}
	for range 20 { // refill
		b.Deposit(now)
	}
	return b, now
}

func rejectedTry() Try {
	try := retryableTry()
	try.Class, try.Arrived = Rejected, 1
	return try
}

// Guards against tries that cannot be in time, and against a reserve for ranks that need
// none.
func TestDecideWhileRejecting(t *testing.T) {
	final, first, last := RankOf(true, 3), RankOf(false, 0), RankOf(false, 9)
	for _, c := range []struct {
		name       string
		asked      Rank // the rank of the requests that were rejected
		rank       Rank
		typicalRun time.Duration
		later      time.Duration
		want       Reason
	}{
		{"the highest rank", final, final, 0, 0, Allowed},
		{"a lower rank whose share is used", final, last, 0, 0, ReasonHeld},
		{"no rejections above", last, first, 0, 0, Allowed},
		{"less time than a run", final, final, 2 * time.Second, 0, ReasonRunTime},
		{"rejections are over", final, last, 2 * time.Second, time.Minute, Allowed},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, now := rejectingBudget(c.asked)
			assert.Equal(t, b.Decide(now.Add(c.later), Request{Rank: c.rank, Left: time.Second, TypicalRun: c.typicalRun}, rejectedTry()).Reason, c.want)
		})
	}
}

// Guards against a priority, also one out of range, that outweighs whether the refusal is
// final, and against priorities in the reverse order.
func TestRanks(t *testing.T) {
	assert.Assert(t, RankOf(true, 100) < RankOf(false, -1))
	assert.Assert(t, RankOf(false, 0) < RankOf(false, 1))
	assert.Equal(t, RankOf(true, 2).String(), "final-2")
	assert.Equal(t, RankOf(false, 100).String(), "retried-9")
}
