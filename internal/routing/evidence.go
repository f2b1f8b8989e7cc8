// Package routing chooses the upstream of a request.
//
// What requests themselves met counts more than what lists and health end
// points say. The package is pure: time and randomness are passed in.
package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config holds the numbers of the choice.
type Config struct {
	// LoadReportLifetime is how long a told load counts; older ones fade. Default 1 s.
	LoadReportLifetime time.Duration
	// FailureSmoothing is the weight of the newest outcome in the failure
	// rate, 0 to 1. Default 0.2.
	FailureSmoothing float64
	// EjectRate is the failure rate from which an upstream is left out.
	// Default 0.5.
	EjectRate float64
	// EjectMin is the number of outcomes seen before it may be left out.
	// Default 5.
	EjectMin int
	// EjectBase is the first time it is left out; it doubles up to EjectCap.
	// Default 1 s and 30 s.
	EjectBase, EjectCap time.Duration
	// PanicShare is the share of a service's weight that may be left out; if
	// more is, nothing is, as the evidence is more likely wrong. Default 0.5.
	PanicShare float64
	// NoResponseTimeout is the least time without any answer, while requests wait for
	// one, after which an upstream is left out; four times its smoothed latency
	// if that is longer. Shorter leaves a dead one sooner, longer forgives
	// pauses. Default 300 ms.
	NoResponseTimeout time.Duration
	// SlowStart is how long a new instance's weight grows to the full.
	// Default 10 s.
	SlowStart time.Duration
	// SlowStartFloor is the part of its weight that a new instance starts with.
	// Default 0.2.
	SlowStartFloor float64
	// ColdFromMembers says that Members tell which instances are cold. Otherwise each
	// later generation is.
	ColdFromMembers bool
	// DrainReportLifetime is how long an upstream whose node told that it drains gets no
	// further request on that word alone. Longer than the membership view needs
	// for the news, where the word means that the instance leaves; about a second
	// where only the node restarts and the view will say nothing. Default 10 s.
	DrainReportLifetime time.Duration
	// ByExpectedTime chooses the least expected time over all upstreams in place of the
	// lesser load of two. It needs told service times.
	ByExpectedTime bool
	// CrossDataCentreCost is the price of bytes between data centres, as a part of the
	// service time that is added to the expected time at an idle upstream of
	// another one: more keeps requests near, less evens the load. Only with
	// ByTime. Default 0.3.
	CrossDataCentreCost float64
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config {
	return Config{
		LoadReportLifetime:  time.Second,
		FailureSmoothing:    0.2,
		EjectRate:           0.5,
		EjectMin:            5,
		EjectBase:           time.Second,
		EjectCap:            30 * time.Second,
		PanicShare:          0.5,
		NoResponseTimeout:   300 * time.Millisecond,
		SlowStart:           10 * time.Second,
		SlowStartFloor:      0.2,
		DrainReportLifetime: 10 * time.Second,
		CrossDataCentreCost: 0.3,
	}
}

// LoadReport is what the node beside an upstream said of its load.
type LoadReport struct {
	InUse, Slots, Waiting int
	// Service is the smoothed time that a request holds a slot; 0 if unknown.
	Service time.Duration
	// Wait is how long the next request of the same kind is expected to wait for
	// a slot.
	Wait time.Duration
	// Runs is how long requests of the same kind run.
	Runs     RunTimes
	Draining bool
	// Cold is how long the upstream stays cold; 0 if it is warm.
	Cold time.Duration
}

// RunTimes is how long requests of a kind run at an upstream; 0 if not known.
type RunTimes struct {
	Typical time.Duration // overload.TypicalRun of them run no longer
	Safe    time.Duration // overload.SafeRun of them run no longer
}

// evidence is what this node has met of one upstream.
type evidence struct {
	service    string
	near       bool // of the own data centre
	generation uint64
	firstSeen  time.Time
	inFlight   int
	unanswered time.Time // since when requests wait and none was answered
	told       LoadReport
	toldAt     time.Time
	toldFlight int // own requests in flight when told
	waits      map[string]kindWait
	runs       map[string]kindRuns
	failure    float64
	outcomes   int
	ejected    time.Time // left out until then
	ejections  int
	denied     time.Time // its address answers for another instance, left out until then
	latency    float64   // smoothed seconds to the answer
	way        float64   // smoothed seconds to its node and back
	wayAt      time.Time
	allowance  allowance
}

// Smoothing of the time on the way. A way that fills is noticed within two or
// three requests; one that empties is found out by those that still come.
const (
	wayRise = 0.4
	wayFall = 0.15
	// wayMemory is the time after which a way without requests counts for a
	// third of what it was: queues on a link drain in about a second.
	wayMemory = time.Second
)

// noteWay takes a time on the way into the smoothed one.
func (e *evidence) noteWay(now time.Time, took time.Duration) {
	old := e.wayTime(now)
	part := wayFall
	if took.Seconds() > old {
		part = wayRise
	}
	e.way, e.wayAt = old+part*(took.Seconds()-old), now
}

// wayTime is the expected time on the way there and back, in seconds.
func (e *evidence) wayTime(now time.Time) float64 {
	if e.wayAt.IsZero() {
		return 0
	}
	return e.way * math.Exp(-max(now.Sub(e.wayAt).Seconds(), 0)/wayMemory.Seconds())
}

// busy estimates the requests at the upstream: what it told, fading with age
// into what is in flight from here.
func (e *evidence) busy(cfg Config, now time.Time) float64 {
	own := float64(e.inFlight)
	if e.toldAt.IsZero() {
		return own
	}
	age := now.Sub(e.toldAt).Seconds() / cfg.LoadReportLifetime.Seconds()
	trust := math.Exp(-max(age, 0))
	told := float64(e.told.InUse + e.told.Waiting + e.inFlight - e.toldFlight)
	return max(own, trust*told+(1-trust)*own)
}

// waitMemory is how long news of a queue is trusted enough to refuse a request
// on its word: about the time in which one request ends and another starts.
const waitMemory = 100 * time.Millisecond

// kindWait is news of the wait of one kind of request.
type kindWait struct {
	wait time.Duration
	at   time.Time
}

// maxKinds bounds the kinds of request whose waits are remembered.
const maxKinds = 32

func (e *evidence) noteWait(now time.Time, kind string, wait time.Duration) {
	if e.waits == nil || len(e.waits) >= maxKinds {
		e.waits = make(map[string]kindWait)
	}
	e.waits[kind] = kindWait{wait: wait, at: now}
}

// wait is the time that a request of the kind is expected to wait for a slot.
func (e *evidence) wait(now time.Time, kind string) time.Duration {
	w, ok := e.waits[kind]
	if !ok || now.Sub(w.at) > waitMemory {
		return 0
	}
	return w.wait
}

// kindRuns is news of how long requests of one kind run.
type kindRuns struct {
	RunTimes
	at time.Time
}

// runsMemory is how long news of run times counts. An upstream at which all
// would be late gets no more of them, and so no news: after this time it is tried
// again, as one that was slow is usually well after some seconds.
const runsMemory = 3 * time.Second

func (e *evidence) noteRuns(now time.Time, kind string, runs RunTimes) {
	if runs.Safe == 0 {
		return
	}
	if e.runs == nil || len(e.runs) >= maxKinds {
		e.runs = make(map[string]kindRuns)
	}
	e.runs[kind] = kindRuns{RunTimes: runs, at: now}
}

// runTimes is how long requests of the kind run, as far as that is known.
func (e *evidence) runTimes(now time.Time, kind string) RunTimes {
	known, ok := e.runs[kind]
	if !ok || now.Sub(known.at) > runsMemory {
		return RunTimes{}
	}
	return known.RunTimes
}

// trialInterval is the number of its service times after which an upstream
// without work from here gets a request as a trial: a usual one after two
// seconds, a slow one seldom.
const trialInterval = 20

// unexplored reports whether nothing recent is known of the upstream.
func (e *evidence) unexplored(now time.Time) bool {
	return e.inFlight == 0 && (e.toldAt.IsZero() || now.Sub(e.toldAt) > trialInterval*e.told.Service)
}

// ramp is the part of its weight that a new instance gets, 0 to 1.
func (e *evidence) ramp(cfg Config, now time.Time) float64 {
	if e.firstSeen.IsZero() || cfg.SlowStart <= 0 {
		return 1
	}
	part := now.Sub(e.firstSeen).Seconds() / cfg.SlowStart.Seconds()
	return min(1, cfg.SlowStartFloor+(1-cfg.SlowStartFloor)*max(part, 0))
}

func (e *evidence) toldDraining(cfg Config, now time.Time) bool {
	return e.told.Draining && now.Sub(e.toldAt) < cfg.DrainReportLifetime
}

// silenceFactor is the multiple of the smoothed latency that counts as silence.
const silenceFactor = 4

// isSilent reports whether requests have waited too long without any answer.
func (e *evidence) isSilent(cfg Config, now time.Time) bool {
	if e.inFlight == 0 {
		return false
	}
	limit := max(cfg.NoResponseTimeout, time.Duration(silenceFactor*e.latency*float64(time.Second)))
	return now.Sub(e.unanswered) > limit
}

// deniedMemory is how long an upstream is left out after its address answered
// for another instance. The one asked for does not come back, and the list drops
// it within three heartbeats (4.5 s at 1.5 s each) and its own delay; the bound
// is for an answer that was wrong. Without it the requests at such an address
// used up the retry budget: 4 of 40 runs of 20 requests had one refused.
const deniedMemory = 10 * time.Second

func (e *evidence) isEjected(now time.Time) bool { return now.Before(e.ejected) }

// observe counts an outcome and leaves the upstream out if too many fail.
func (e *evidence) observe(cfg Config, now time.Time, rnd *rand.Rand, failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	e.outcomes++
	e.failure += cfg.FailureSmoothing * (v - e.failure)
	if !failed {
		if e.failure < cfg.EjectRate/2 {
			e.ejections = 0
		}
		return
	}
	if e.outcomes < cfg.EjectMin || e.failure < cfg.EjectRate || e.isEjected(now) {
		return
	}
	e.eject(cfg, now, rnd)
}

func (e *evidence) eject(cfg Config, now time.Time, rnd *rand.Rand) {
	d := min(cfg.EjectBase<<min(e.ejections, 16), cfg.EjectCap)
	// Half fixed, half random, so that nodes do not return all at once.
	e.ejected = now.Add(d/2 + time.Duration(rnd.Int64N(int64(d)/2+1)))
	e.ejections++
	// One more failure after the return ejects again; one success helps.
	e.failure = cfg.EjectRate
}
