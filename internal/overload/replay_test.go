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

// policy selects the mechanisms that a replay uses.
type policy struct {
	// recognisesRetries recognises caller retries of refused requests.
	recognisesRetries bool
	// predictsRunTimes derives the maximum wait from measured run times instead of a
	// fixed share of the objective.
	predictsRunTimes bool
}

// Callers and upstream of the replay: run times of a search request (mean 100 ms,
// log-normal) and an objective of 200 ms.
const (
	replaySlots       = 13
	replayObjective   = 200 * time.Millisecond
	replayDeadline    = 1200 * time.Millisecond
	replayRetries     = 2
	replayNetworkTime = 3 * time.Millisecond // one way between caller and upstream
	runMean           = 0.1                  // seconds
	runSpread         = 0.6                  // standard deviation of the logarithm
	// replayCapacity is the number of requests that the slots can run in a second.
	replayCapacity = replaySlots / runMean
	// fixedWaitShare and minFixedWait give the fixed maximum wait: 0.15 of the objective,
	// but at least 60 ms.
	fixedWaitShare = 0.15
	minFixedWait   = 60 * time.Millisecond
)

// replay simulates one upstream with its queue under the load of many callers.
type replay struct {
	policy          policy
	now             time.Time
	events          eventQueue
	rnd             *rand.Rand
	queue           *admission.Queue
	runs            *RunTimes
	refusedRequests *RefusedRequests
	waiting         map[*admission.Ticket]*caller

	offered, inTime, late, refused int
	answers                        []answeredRequest
}

// caller is one request with its attempts.
type caller struct {
	id            Identity
	first, expiry time.Time
	retries       int
}

type answeredRequest struct {
	first  time.Time
	inTime bool
}

func newReplay(p policy, seed uint64) *replay {
	return &replay{
		policy:          p,
		now:             time.Unix(1000, 0),
		rnd:             rand.New(rand.NewPCG(seed, 1)),
		queue:           admission.NewQueue(admission.Config{Slots: replaySlots, QueueLimit: 2 * replaySlots}),
		runs:            NewRunTimes(),
		refusedRequests: NewRefusedRequests(),
		waiting:         make(map[*admission.Ticket]*caller),
	}
}

// run offers rate(t) times the capacity for the given time.
func (r *replay) run(length time.Duration, rate func(at time.Duration) float64) {
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
	if r.policy.recognisesRetries {
		first = r.refusedRequests.FirstAttempt(r.now, c.id, c.expiry)
	}
	left := replayObjective - 2*replayNetworkTime - r.now.Sub(first)
	late, maxWait := false, max(time.Duration(fixedWaitShare*float64(replayObjective)), minFixedWait)
	if r.policy.predictsRunTimes {
		late = Late(first.Before(r.now), left, r.runs.Quantile("k", TypicalRunQuantile))
		maxWait = MaxWait(left, r.runs.Quantile("k", SafeRunQuantile), r.queue.ServiceTime()/replaySlots, late)
	}
	t := &admission.Ticket{Kind: QueueKind("k", late), Weight: Weight(0, replayObjective, late), Deadline: c.expiry, Latest: r.now.Add(maxWait)}
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
		ok := r.now.Sub(c.first)+2*replayNetworkTime <= replayObjective
		if ok {
			r.inTime++
		} else {
			r.late++
		}
		r.answers = append(r.answers, answeredRequest{first: c.first, inTime: ok})
		start, late := r.queue.Release(r.now, held)
		for _, t := range late {
			r.refuse(t, r.queue.Refusal(r.now, admission.ReasonTooLate))
		}
		for _, t := range start {
			r.start(t)
		}
	})
}

// refuse refuses an attempt. Its caller retries after RetryAfter, or after a third of the
// remaining time if that is less.
func (r *replay) refuse(t *admission.Ticket, v admission.Verdict) {
	c := r.waiting[t]
	delete(r.waiting, t)
	r.refusedRequests.Add(r.now, "r", c.id, c.first, c.expiry)
	left := c.expiry.Sub(r.now)
	if c.retries == 0 || left <= 0 {
		r.refused++
		return
	}
	c.retries--
	r.at(min(v.RetryAfter, left/3)+2*replayNetworkTime, func() { r.arrive(c) })
}

func (r *replay) at(after time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now.Add(max(after, 0)), do: do})
}

// share returns the share of the requests first sent in the given window, relative to the
// start of the replay, that were answered in time.
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
	baseline = policy{}
	current  = policy{recognisesRetries: true, predictsRunTimes: true}
)

// mean runs the same load with several seeds and returns the mean of a measurement.
func mean(p policy, length time.Duration, rate func(time.Duration) float64, measure func(*replay) float64) float64 {
	const seeds = 10
	sum := 0.0
	for seed := range uint64(seeds) {
		r := newReplay(p, seed)
		r.run(length, rate)
		sum += measure(r)
	}
	return sum / seeds
}

func shareOfOffered(r *replay) float64 { return float64(r.inTime) / float64(r.offered) }

// With a constant load of 1.25 times the capacity each slot must go to a request that can
// still be in time.
func TestReplaySteadyOverload(t *testing.T) {
	const rate = 1.25
	steady := func(time.Duration) float64 { return rate }
	before, after := mean(baseline, 20*time.Second, steady, shareOfOffered), mean(current, 20*time.Second, steady, shareOfOffered)
	t.Logf("answered in time: %.3f before, %.3f after", before, after)
	assert.Assert(t, after > 0.6, "%.3f", after)
	assert.Assert(t, after > before+0.2, "%.3f before, %.3f after", before, after)
}

// After five seconds at 1.7 times the capacity, caller retries must not prevent a load of
// 0.95 from being served.
func TestReplayBurst(t *testing.T) {
	const usual = 0.95
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 10*time.Second {
			return 1.7
		}
		return usual
	}
	recovered := func(r *replay) float64 { return r.share(11*time.Second, 21*time.Second, usual) }
	before, after := mean(baseline, 21*time.Second, burst, recovered), mean(current, 21*time.Second, burst, recovered)
	t.Logf("answered in time after the burst: %.3f before, %.3f after", before, after)
	assert.Assert(t, after > 0.8, "%.3f", after)
	assert.Assert(t, after > before+0.05, "%.3f before, %.3f after", before, after)
}

// Well below capacity the overload decisions must not cost any request its objective.
func TestReplayHalfLoad(t *testing.T) {
	half := func(time.Duration) float64 { return 0.5 }
	before, after := mean(baseline, 20*time.Second, half, shareOfOffered), mean(current, 20*time.Second, half, shareOfOffered)
	t.Logf("answered in time: %.3f before, %.3f after", before, after)
	assert.Assert(t, after >= before-0.005, "%.3f before, %.3f after", before, after)
}

// A request that can be in time is served before late ones that were queued earlier.
func TestReplayLateWait(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 1, QueueLimit: 10})
	at := time.Unix(1000, 0)
	offer := func(late bool) *admission.Ticket {
		ticket := &admission.Ticket{Kind: QueueKind("k", late), Weight: Weight(1, replayObjective, late)}
		q.Offer(at, ticket)
		return ticket
	}
	offer(false) // occupies the slot
	for range 3 {
		offer(true)
	}
	inTime := offer(false)
	start, _ := q.Release(at, 100*time.Millisecond)
	assert.Equal(t, len(start), 1)
	assert.Equal(t, start[0], inTime)
}
