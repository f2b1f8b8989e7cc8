package admission

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fullQueue returns a queue with one slot that is in use, a service time of 20 ms and the
// given number of waiting requests without a bound.
func fullQueue(now time.Time, waiting int) *Queue {
	q := NewQueue(Config{Slots: 1, QueueLimit: 100})
	q.Offer(now, &Ticket{Kind: "k", Weight: 1})
	q.Release(now, 20*ms)
	for range waiting + 1 {
		q.Offer(now, &Ticket{Kind: "k", Weight: 1})
	}
	return q
}

// A request is returned at once if its wait is longer than worthwhile, but not if it can
// start at no other upstream in time.
func TestRequestIsMovedOnArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		ticket Ticket
		reason Reason
	}{
		{"wait within the bound", Ticket{Bound: WaitBound{Worthwhile: 60 * ms}}, ReasonNone},
		{"wait beyond the bound", Ticket{Bound: WaitBound{Worthwhile: 59 * ms}}, ReasonMoved},
		{"no bound", Ticket{}, ReasonNone},
		{"no time for another upstream", Ticket{Bound: WaitBound{Worthwhile: ms, RoundTrip: 3 * ms}, Latest: now.Add(2 * ms)}, ReasonTooLate},
		{"too late here, in time elsewhere", Ticket{Bound: WaitBound{Worthwhile: ms, RoundTrip: ms}, Latest: now.Add(2 * ms)}, ReasonMoved},
	} {
		c.ticket.Kind, c.ticket.Weight = "k", 1
		v, _ := fullQueue(now, 2).Offer(now, &c.ticket)
		assert.Equal(t, v.Reason, c.reason, c.name)
	}
	v, _ := NewQueue(Config{Slots: 1}).Offer(now, &Ticket{Bound: WaitBound{Worthwhile: 1}})
	assert.Assert(t, v.Started, "a free slot needs no wait")
}

// Waiting requests are returned from the first one whose wait has risen beyond its bound
// by a round trip; those that then wait within it stay.
func TestWaitingRequestsAreMoved(t *testing.T) {
	now := time.Unix(1000, 0)
	q := fullQueue(now, 0)
	bound := WaitBound{Worthwhile: 50 * ms, RoundTrip: 5 * ms}
	var tickets []*Ticket
	for i := range 2 {
		tickets = append(tickets, &Ticket{Kind: "k", Tenant: string(rune('a' + i)), Weight: 1, Bound: bound})
		v, _ := q.Offer(now, tickets[i])
		assert.Assert(t, v.Waiting)
	}
	unbounded := &Ticket{Kind: "k", Weight: 1}
	q.Offer(now, unbounded)
	q.serviceTime = 0.027
	assert.Equal(t, len(q.TakeMovable(now)), 0, "54 ms are within the bound and a round trip")
	q.serviceTime = 0.030
	assert.Assert(t, slices.Equal(q.TakeMovable(now), tickets[1:]))
	assert.Equal(t, q.Load().Waiting, 2)
	for range 9 {
		q.Offer(now, &Ticket{Kind: "urgent", Weight: 10})
	}
	assert.Assert(t, slices.Equal(q.TakeMovable(now), tickets[:1]))
	assert.Assert(t, q.Remove(unbounded))
	assert.Assert(t, !q.bounded)
}

// The position of a waiting request is the order in which the queue serves it.
func TestPositionIsOrderOfService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := &kindQueue{name: "k"}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			k.push(&Ticket{Tenant: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "tenant")})
		}
		want := make(map[*Ticket]int)
		for turn, tn := range k.tenants {
			for i, tk := range tn.tickets {
				want[tk] = k.position(turn, i)
			}
		}
		for n := 1; k.waiting > 0; n++ {
			assert.Equal(t, want[k.pop()], n)
		}
	})
}

// Requests without a bound, or with one that is never exceeded, are treated as by a queue
// that moves none.
func TestQueueWithoutBoundsDecidesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: rapid.IntRange(0, 8).Draw(t, "limit")}
		queues := [3]*Queue{NewQueue(cfg), NewQueue(cfg), NewQueue(cfg)}
		now := time.Unix(1000, 0)
		var tickets [3][]*Ticket // the same requests, as each queue got them
		ids := make(map[*Ticket]int)
		idsOf := func(some []*Ticket) []int {
			out := []int{}
			for _, tk := range some {
				out = append(out, ids[tk])
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				tk := Ticket{Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Tenant: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"), Weight: 1}
				if left := rapid.IntRange(0, 200).Draw(t, "left"); left > 0 {
					tk.Latest = now.Add(time.Duration(left) * ms)
				}
				var verdicts [3]Verdict
				var displaced [3]int
				for i, q := range queues {
					own := tk
					if i == 2 {
						own.Bound = WaitBound{Worthwhile: time.Hour}
					}
					ids[&own] = len(tickets[i]) + 1
					tickets[i] = append(tickets[i], &own)
					v, d := q.Offer(now, &own)
					verdicts[i], displaced[i] = v, ids[d]
				}
				assert.Assert(t, verdicts[0] == verdicts[1] && verdicts[0] == verdicts[2])
				assert.Assert(t, displaced[0] == displaced[1] && displaced[0] == displaced[2])
			},
			"end": func(t *rapid.T) {
				if queues[0].inUse == 0 {
					t.Skip("none runs")
				}
				held := time.Duration(rapid.IntRange(1, 100).Draw(t, "held")) * ms
				var started, late [3][]int
				for i, q := range queues {
					a, b := q.Release(now, held)
					started[i], late[i] = idsOf(a), idsOf(b)
				}
				assert.DeepEqual(t, [][]int{started[0], late[0]}, [][]int{started[1], late[1]})
				assert.DeepEqual(t, [][]int{started[0], late[0]}, [][]int{started[2], late[2]})
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * ms)
			},
			"": func(t *rapid.T) { // queues[0] decides without TakeMovable
				assert.Equal(t, len(queues[1].TakeMovable(now))+len(queues[2].TakeMovable(now)), 0)
			},
		})
	})
}

// The gate returns a waiting request as soon as a slot that was held too long shows that
// its wait is not worthwhile. A request that has started stays.
func TestGateReturnsWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 2, QueueLimit: 10})
		bound := WaitBound{Worthwhile: 20 * ms, RoundTrip: ms}
		for range 2 {
			assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "k", Weight: 1, Bound: bound}).Started)
		}
		verdicts := make(chan Verdict, 3)
		for range 3 {
			go func() { verdicts <- g.Acquire(t.Context(), &Ticket{Kind: "k", Weight: 1, Bound: bound}) }()
		}
		time.Sleep(50 * ms)
		begin := time.Now()
		g.Release(50 * ms)
		moved, started := 0, 0
		for range 3 {
			v := <-verdicts
			switch {
			case v.Started:
				started++
			case v.Reason == ReasonMoved && v.Queued && v.RetryAfter > 0:
				moved++
			}
		}
		assert.Assert(t, started == 1 && moved == 2, "%d started, %d moved", started, moved)
		assert.Equal(t, time.Since(begin), time.Duration(0))
		assert.Equal(t, g.Load(), Load{InUse: 2, Slots: 2})
	})
}
