package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// ticketState is the oracle's record of a ticket.
type ticketState int

const (
	waiting ticketState = iota
	started
	ended
	refused
)

// TestQueueAgainstOracle drives a queue with random operations. The oracle is a map of
// the state of each ticket. It checks that never more than Slots tickets run, a ticket is
// started or refused exactly once, a refused ticket is never started, none waits while a
// slot is free, and none is started after its deadline.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: rapid.IntRange(0, 6).Draw(t, "limit")}
		q := NewQueue(cfg)
		now := time.Unix(1000, 0)
		states := make(map[*Ticket]ticketState)
		var order []*Ticket
		record := func(tk *Ticket, to ticketState) {
			assert.Equal(t, states[tk], waiting, "started or refused twice")
			states[tk] = to
		}
		recordAll := func(start, late []*Ticket) {
			assert.Assert(t, len(start) == 0 || q.Load().InUse <= cfg.Slots, "started more than there are slots")
			for _, tk := range start {
				assert.Assert(t, tk.Deadline.IsZero() || !now.After(tk.Deadline), "started past its deadline")
				record(tk, started)
			}
			for _, tk := range late {
				record(tk, refused)
			}
		}
		count := func(want ticketState) int {
			n := 0
			for _, s := range states {
				if s == want {
					n++
				}
			}
			return n
		}
		pick := func(t *rapid.T, want ticketState) *Ticket {
			var some []*Ticket
			for _, tk := range order {
				if states[tk] == want {
					some = append(some, tk)
				}
			}
			if len(some) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(some).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				tk := &Ticket{
					Kind:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "kind"),
					Tenant: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"),
					Weight: rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "weight"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					tk.Deadline = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				}
				states[tk] = waiting
				order = append(order, tk)
				v, displaced := q.Offer(now, tk)
				if displaced != nil {
					record(displaced, refused)
				}
				switch {
				case v.Started:
					record(tk, started)
					assert.Assert(t, q.Load().InUse <= cfg.Slots, "started more than there are slots")
				case !v.Waiting:
					record(tk, refused)
					assert.Assert(t, v.RetryAfter >= minRetryAfter && v.RetryAfter <= maxRetryAfter)
					assert.Assert(t, v.Reason != ReasonNone)
				}
			},
			"end": func(t *rapid.T) {
				tk := pick(t, started)
				states[tk] = ended
				recordAll(q.Release(now, time.Duration(rapid.IntRange(1, 100).Draw(t, "held"))*time.Millisecond))
			},
			"cancel": func(t *rapid.T) {
				tk := pick(t, waiting)
				assert.Assert(t, q.Remove(tk))
				record(tk, refused)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"slots": func(t *rapid.T) {
				cfg.Slots = rapid.IntRange(1, 4).Draw(t, "n")
				q.SetSlots(cfg.Slots)
				recordAll(q.Fill(now))
			},
			"": func(t *rapid.T) {
				load := q.Load()
				assert.Equal(t, load.InUse, count(started))
				assert.Equal(t, load.Waiting, count(waiting))
				assert.Assert(t, load.Waiting <= cfg.QueueLimit)
				assert.Assert(t, load.Waiting == 0 || load.InUse >= cfg.Slots, "request waits while a slot is free")
			},
		})
	})
}

// Kinds get slots in proportion to their weights while both wait.
func TestQueueSharesByWeight(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueueLimit: 1000})
	now := time.Unix(0, 0)
	q.Offer(now, &Ticket{Kind: "first"})
	for range 200 {
		q.Offer(now, &Ticket{Kind: "drawdown", Weight: 5})
		q.Offer(now, &Ticket{Kind: "paper", Weight: 1})
	}
	got := map[string]int{}
	for range 120 {
		start, _ := q.Release(now, time.Millisecond)
		got[start[0].Kind]++
	}
	assert.Equal(t, got["drawdown"], 100)
	assert.Equal(t, got["paper"], 20)
}

// A tenant that floods the queue doesn't delay another tenant of the same kind.
func TestQueueIsFairAmongTenants(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueueLimit: 10})
	now := time.Unix(0, 0)
	q.Offer(now, &Ticket{Kind: "k", Weight: 1, Tenant: "flood"})
	for range 10 {
		q.Offer(now, &Ticket{Kind: "k", Weight: 1, Tenant: "flood"})
	}
	v, displaced := q.Offer(now, &Ticket{Kind: "k", Weight: 1, Tenant: "quiet"})
	assert.Assert(t, v.Waiting)
	assert.Equal(t, displaced.Tenant, "flood")
	q.Release(now, time.Millisecond)
	start, _ := q.Release(now, time.Millisecond)
	assert.Equal(t, start[0].Tenant, "quiet")
}

// A request that can't finish before its deadline is refused at once, with the time in
// which the queue drains.
func TestQueueRefusesWhatIsTooLate(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueueLimit: 100})
	now := time.Unix(0, 0)
	q.Offer(now, &Ticket{Kind: "k"})
	q.Release(now, 100*time.Millisecond) // one sample: 100 ms of service time
	q.Offer(now, &Ticket{Kind: "k"})
	for range 5 {
		q.Offer(now, &Ticket{Kind: "k"})
	}
	v, _ := q.Offer(now, &Ticket{Kind: "k", Deadline: now.Add(400 * time.Millisecond)})
	assert.Equal(t, v.Reason, ReasonTooLate)
	assert.Equal(t, v.RetryAfter, 600*time.Millisecond)
	v, _ = q.Offer(now, &Ticket{Kind: "k", Deadline: now.Add(900 * time.Millisecond)})
	assert.Assert(t, v.Waiting)
}

func TestGateRefusesWaitingRequestBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 1, QueueLimit: 5})
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
		g.Release(50 * time.Millisecond)
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
		begin := time.Now()
		v := g.Acquire(t.Context(), &Ticket{Kind: "k", Deadline: begin.Add(200 * time.Millisecond)})
		assert.Equal(t, v.Reason, ReasonTooLate)
		assert.Equal(t, time.Since(begin), 150*time.Millisecond, "refused when it could no longer end in time")
		assert.Equal(t, g.Load(), Load{InUse: 1, Slots: 1})
	})
}

func TestGateCancelDoesNotLeakSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 1, QueueLimit: 5})
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan Verdict)
		go func() { done <- g.Acquire(ctx, &Ticket{Kind: "k"}) }()
		synctest.Wait()
		cancel()
		assert.Equal(t, (<-done).Reason, ReasonCancelled)
		g.Release(time.Millisecond)
		assert.Equal(t, g.Load().InUse, 0)
	})
}

func TestApportionSumsToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 12).Draw(t, "weights")
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		if sum == 0 {
			t.Skip("no weight")
		}
		shares := make([]float64, len(weights))
		for i, w := range weights {
			shares[i] = w / sum
		}
		total := rapid.IntRange(0, 500).Draw(t, "total")
		got := 0
		for i, n := range Apportion(total, shares) {
			got += n
			assert.Assert(t, shares[i] > 0 || n == 0)
		}
		assert.Equal(t, got, total)
	})
}

// The limits of all upstreams of a service together admit no more than the row allows.
func TestLimitsHoldOverTheFleet(t *testing.T) {
	shares := []float64{0.5, 0.25, 0.25}
	now := time.Unix(1000, 0)
	var all []*Limits
	for i := range shares {
		l := NewLimits()
		l.Set(now, RowLimits{ServiceRate: 100, ServiceConcurrency: 7, Shares: shares, Self: i})
		all = append(all, l)
	}
	rate, concurrent := 0, 0
	for ms := range 10_000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		for _, l := range all {
			if r, _ := l.Start(at); r == ReasonNone {
				rate++
				l.Done()
			}
		}
	}
	assert.Assert(t, rate <= 1000+10, "%d in 10 s", rate) // plus the bursts
	assert.Assert(t, rate >= 990)
	later := now.Add(time.Hour)
	for range 20 {
		for _, l := range all {
			later = later.Add(time.Second)
			if r, _ := l.Start(later); r == ReasonNone {
				concurrent++
			}
		}
	}
	assert.Equal(t, concurrent, 7)
}

// RefuseAll refuses waiting and new requests but doesn't affect running ones, and the
// gate can be opened again later.
func TestRefuseAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 1, QueueLimit: 10})
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
		waiting := make(chan Verdict, 3)
		for range 3 {
			go func() { waiting <- g.Acquire(t.Context(), &Ticket{Kind: "k"}) }()
		}
		synctest.Wait()
		g.RefuseAll(ReasonDraining)
		for range 3 {
			assert.Equal(t, (<-waiting).Reason, ReasonDraining)
		}
		assert.Equal(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Reason, ReasonDraining)
		assert.Equal(t, g.Load().InUse, 1)
		g.Release(time.Millisecond)
		g.SetDraining(false)
		assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k"}).Started)
	})
}
