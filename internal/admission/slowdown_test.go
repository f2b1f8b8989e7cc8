package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A reported slowdown loses its effect within a second, whatever its sign.
func TestSlowdownFades(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, c := range []struct {
		percent float64
		age     time.Duration
		factor  float64
	}{
		{250, 0, 2.5},
		{250, -time.Second, 2.5},
		{250, 500 * time.Millisecond, 1.75},
		{250, time.Second, 1},
		{250, time.Hour, 1},
		{60, 500 * time.Millisecond, 0.8},
	} {
		assert.Equal(t, Slowdown{Percent: c.percent, At: at}.Factor(at.Add(c.age)), c.factor, "%v after %v", c.percent, c.age)
	}
}

// The time of a request that ran while the upstream was slow counts at usual speed.
func TestUsualTime(t *testing.T) {
	assert.Equal(t, UsualTime(250*time.Millisecond, 2.5, 2.5), 100*time.Millisecond)
	assert.Equal(t, UsualTime(100*time.Millisecond, 1, 2), 75*time.Millisecond, "it became slow on the way")
}

// slowQueue returns a queue with one slot, in use, and a service time of 100 ms at usual
// speed.
func slowQueue(now time.Time) *Queue {
	q := NewQueue(Config{Slots: 1, QueueLimit: 10})
	q.Offer(now, &Ticket{Kind: "k"})
	q.Release(now, 100*time.Millisecond)
	q.Offer(now, &Ticket{Kind: "k"})
	return q
}

// Waits, refusals and latest starts go by the present speed. A request that waits and can
// no longer start in time is refused with the report.
func TestQueueOfSlowUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	q := slowQueue(now)
	waiting := &Ticket{Kind: "k", Deadline: now.Add(240 * time.Millisecond)}
	v, _ := q.Offer(now, waiting)
	assert.Assert(t, v.Waiting)
	late := q.SetSlowdown(now, Slowdown{Percent: 250, At: now})
	assert.Assert(t, len(late) == 1 && late[0] == waiting)
	assert.Equal(t, q.Wait(now, "k", 1), 250*time.Millisecond)
	v, _ = q.Offer(now, &Ticket{Kind: "k", Deadline: now.Add(400 * time.Millisecond)})
	assert.Equal(t, v.Reason, ReasonTooLate)
	assert.Equal(t, v.RetryAfter, 250*time.Millisecond)
	later := now.Add(slowdownLifetime)
	assert.Equal(t, q.Wait(later, "k", 1), 100*time.Millisecond)
}

// An upstream that never reports a slowdown has the same figures as one that reports that
// it has its usual speed.
func TestNoSlowdownReported(t *testing.T) {
	now := time.Unix(1000, 0)
	never, usual := slowQueue(now), slowQueue(now)
	usual.SetSlowdown(now, Slowdown{Percent: usualPercent, At: now})
	ticket := &Ticket{Kind: "k", Deadline: now.Add(240 * time.Millisecond)}
	for i := range 20 {
		at := now.Add(time.Duration(i) * 70 * time.Millisecond)
		assert.Equal(t, never.presentServiceTime(at), never.ServiceTime())
		assert.Equal(t, never.latestStart(at, ticket), never.LatestStart(ticket))
		assert.Equal(t, never.Wait(at, "k", 1), usual.Wait(at, "k", 1))
		assert.Equal(t, never.retryAfter(at), usual.retryAfter(at))
		held := time.Duration(30+7*i) * time.Millisecond
		assert.Equal(t, UsualTime(held, Slowdown{}.Factor(at), Slowdown{}.Factor(at)), held)
		never.Release(at, held)
		usual.Release(at, held)
		assert.Equal(t, never.ServiceTime(), usual.ServiceTime())
		never.Offer(at, &Ticket{Kind: "k"})
		usual.Offer(at, &Ticket{Kind: "k"})
	}
}
