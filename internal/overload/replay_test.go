package overload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
)

// policy is what a replay switches on and off.
type policy struct {
	// returns knows a request that comes back after a refusal.
	returns bool
	// predicts works out from run times how long a request may wait, in place of
	// a fixed part of its objective.
	predicts bool
}

// Callers and upstream of the replay: the run times of a search (mean 100 ms,
// lognormal) against an objective of 200 ms.
const (
	replaySlots     = 13
	replayObjective = 200 * time.Millisecond
	replayDeadline  = 1200 * time.Millisecond
	replayRetries   = 2
	replayWay       = 3 * time.Millisecond // from the caller, and back
	runMean         = 0.1                  // seconds
	runSpread       = 0.6                  // of the logarithm
	// replayCapacity is the number of requests that the slots can run in a second.
	replayCapacity = replaySlots / runMean
	// fixedShare and fixedLeast are the fixed patience: 0.15 of the objective, 60
	// ms at least.
	fixedShare = 0.15
	fixedLeast = 60 * time.Millisecond
)

// replay is one upstream with its queue under the load of many callers.
type replay struct {
	policy  policy
	now     time.Time
	events  eventQueue
	rnd     *rand.Rand
	queue   *admission.Queue
	runs    *RunTimes
	returns *RefusedRequests
	waiting map[*admission.Ticket]*caller

	offered, inTime, late, refused int
	answers                        []answered
}

// caller is one request with its attempts.
type caller struct {
	id            Identity
	first, expiry time.Time
	retries       int
}

type answered struct {
	first  time.Time
	inTime bool
}

func newReplay(p policy, seed uint64) *replay {
	return &replay{
		policy:  p,
		now:     time.Unix(1000, 0),
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		queue:   admission.NewQueue(admission.Config{Slots: replaySlots, QueueLimit: 2 * replaySlots}),
		runs:    NewRunTimes(),
		returns: NewRefusedRequests(),
		waiting: make(map[*admission.Ticket]*caller),
	}
}

// play offers rate(t) times the capacity for the given time.
func (r *replay) play(length time.Duration, rate func(at time.Duration) float64) {
	began := r.now
	var next func()
	next = func() {
		at := r.now.Sub(began)
		if at > length {
			return
		}
		r.offered++
		r.arrive(&caller{id: Identity{Target: strconv.Itoa(r.offered)}, first: r.now, expiry: r.now.Add(replayDeadline), retries: replayRetries})
		gap := r.rnd.ExpFloat64() / (replayCapacity * rate(at))
		r.at(time.Duration(gap*float64(time.Second)), next)
	}
	next()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

func (r *replay) arrive(c *caller) {
	first := r.now
	if r.policy.returns {
		first = r.returns.FirstAttempt(r.now, c.id, c.expiry)
	}
	left := replayObjective - 2*replayWay - r.now.Sub(first)
	late, patience := false, max(time.Duration(fixedShare*float64(replayObjective)), fixedLeast)
	if r.policy.predicts {
		late = Late(first.Before(r.now), left, r.runs.Quantile("k", TypicalRunQuantile))
		patience = MaxWait(left, r.runs.Quantile("k", SafeRunQuantile), r.queue.ServiceTime()/replaySlots, late)
	}
	t := &admission.Ticket{Kind: QueueKind("k", late), Weight: Weight(0, replayObjective, late), Deadline: c.expiry, Latest: r.now.Add(patience)}
	v, displaced := r.queue.Offer(r.now, t)
	if displaced != nil {
		r.refuse(displaced, r.queue.Refusal(r.now, admission.ReasonOutweighed))
	}
	r.waiting[t] = c
	switch {
	case v.Started:
		r.start(t)
	case v.Waiting:
		r.at(r.queue.LatestStart(t).Sub(r.now), func() {
			if r.queue.Remove(t) {
				r.refuse(t, r.queue.Refusal(r.now, admission.ReasonTooLate))
			}
		})
	default:
		r.refuse(t, v)
	}
}

func (r *replay) start(t *admission.Ticket) {
	c := r.waiting[t]
	delete(r.waiting, t)
	sigma := runSpread
	held := time.Duration(runMean * math.Exp(sigma*r.rnd.NormFloat64()-sigma*sigma/2) * float64(time.Second))
	r.at(held, func() {
		r.runs.Observe("k", held)
		ok := r.now.Sub(c.first)+2*replayWay <= replayObjective
		if ok {
			r.inTime++
		} else {
			r.late++
		}
		r.answers = append(r.answers, answered{first: c.first, inTime: ok})
		start, late := r.queue.Release(r.now, held)
		for _, t := range late {
			r.refuse(t, r.queue.Refusal(r.now, admission.ReasonTooLate))
		}
		for _, t := range start {
			r.start(t)
		}
	})
}

// refuse sends a caller away, who comes back as told, after a third of the time
// left at the latest.
func (r *replay) refuse(t *admission.Ticket, v admission.Verdict) {
	c := r.waiting[t]
	delete(r.waiting, t)
	r.returns.Add(r.now, "r", c.id, c.first, c.expiry)
	left := c.expiry.Sub(r.now)
	if c.retries == 0 || left <= 0 {
		r.refused++
		return
	}
	c.retries--
	r.at(min(v.RetryAfter, left/3)+2*replayWay, func() { r.arrive(c) })
}

func (r *replay) at(after time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now.Add(max(after, 0)), do: do})
}

// share returns the share of the requests first sent in a window, in time since
// the start of the replay, that were answered in time.
func (r *replay) share(from, to time.Duration, rate float64) float64 {
	n := 0
	for _, a := range r.answers {
		at := a.first.Sub(time.Unix(1000, 0))
		if a.inTime && at >= from && at < to {
			n++
		}
	}
	return float64(n) / (replayCapacity * rate * (to - from).Seconds())
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var (
	landed = policy{}
	now    = policy{returns: true, predicts: true}
)

// mean plays the same load with some seeds and returns the mean of a measure.
func mean(p policy, length time.Duration, rate func(time.Duration) float64, measure func(*replay) float64) float64 {
	const seeds = 10
	sum := 0.0
	for seed := range uint64(seeds) {
		r := newReplay(p, seed)
		r.play(length, rate)
		sum += measure(r)
	}
	return sum / seeds
}

func ofOffered(r *replay) float64 { return float64(r.inTime) / float64(r.offered) }

// A steady lack of 20%: each slot goes to a request that can still be in time.
func TestReplaySteadyLack(t *testing.T) {
	const rate = 1.25
	steady := func(time.Duration) float64 { return rate }
	before, after := mean(landed, 20*time.Second, steady, ofOffered), mean(now, 20*time.Second, steady, ofOffered)
	t.Logf("answered in time: %.3f before, %.3f after", before, after)
	assert.Assert(t, after > 0.6, "%.3f", after)
	assert.Assert(t, after > before+0.2, "%.3f before, %.3f after", before, after)
}

// After a burst of 1.7 for five seconds the returns do not keep a load of 0.95
// from being served.
func TestReplayBurst(t *testing.T) {
	const usual = 0.95
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 10*time.Second {
			return 1.7
		}
		return usual
	}
	recovered := func(r *replay) float64 { return r.share(11*time.Second, 21*time.Second, usual) }
	before, after := mean(landed, 21*time.Second, burst, recovered), mean(now, 21*time.Second, burst, recovered)
	t.Logf("answered in time after the burst: %.3f before, %.3f after", before, after)
	assert.Assert(t, after > 0.8, "%.3f", after)
	assert.Assert(t, after > before+0.05, "%.3f before, %.3f after", before, after)
}

// Well below capacity nothing is lost by the decisions.
func TestReplayHalfLoad(t *testing.T) {
	half := func(time.Duration) float64 { return 0.5 }
	before, after := mean(landed, 20*time.Second, half, ofOffered), mean(now, 20*time.Second, half, ofOffered)
	t.Logf("answered in time: %.3f before, %.3f after", before, after)
	assert.Assert(t, after >= before-0.005, "%.3f before, %.3f after", before, after)
}

// A request that can be in time goes before those that cannot, though they came
// first.
func TestReplayLateWait(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 1, QueueLimit: 10})
	at := time.Unix(1000, 0)
	offer := func(late bool) *admission.Ticket {
		ticket := &admission.Ticket{Kind: QueueKind("k", late), Weight: Weight(1, replayObjective, late)}
		q.Offer(at, ticket)
		return ticket
	}
	offer(false) // takes the slot
	for range 3 {
		offer(true)
	}
	inTime := offer(false)
	start, _ := q.Release(at, 100*time.Millisecond)
	assert.Equal(t, len(start), 1)
	assert.Equal(t, start[0], inTime)
}
