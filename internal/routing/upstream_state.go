// Package routing chooses the upstream for a request.
//
// The results of a node's own requests count more than instance lists and health
// endpoints. The package is pure: time and randomness are passed in.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/decay"
)

// Config holds the parameters of the choice.
type Config struct {
	// LoadReportLifetime is the time constant with which a load report loses weight
	// against the node's own requests in flight. Default 1 s.
	LoadReportLifetime time.Duration
	// FailureSmoothing is the weight of the latest outcome in the smoothed failure rate,
	// 0 to 1. Default 0.2.
	FailureSmoothing float64
	// EjectRate is the failure rate from which an upstream is ejected. Default 0.5.
	EjectRate float64
	// EjectMin is the number of outcomes required before an upstream may be ejected.
	// Default 5.
	EjectMin int
	// EjectBase is the length of the first ejection; it doubles with each further one up
	// to EjectCap. Defaults 1 s and 30 s.
	EjectBase, EjectCap time.Duration
	// PanicShare is the panic threshold: if ejected, unresponsive and suspected upstreams
	// hold at least this share of a service's weight, all of them are used, because the
	// failure detection is then more likely wrong than all the upstreams. Default 0.5.
	PanicShare float64
	// NoResponseTimeout is the minimum time without any response, while requests are in
	// flight, after which an upstream is excluded as unresponsive; four times its
	// smoothed latency if that is longer. A shorter time leaves a dead upstream sooner, a
	// longer one tolerates process pauses. Default 300 ms.
	NoResponseTimeout time.Duration
	// SlowStart is the time in which the weight of a new instance grows to its full
	// value. Default 10 s.
	SlowStart time.Duration
	// SlowStartFloor is the share of its weight that a new instance starts with. Default
	// 0.2.
	SlowStartFloor float64
	// ColdFromMembers reports whether Members says which instances are cold. Otherwise
	// each later generation of an instance counts as cold.
	ColdFromMembers bool
	// DrainReportLifetime is how long an upstream gets no requests after its node
	// reported that it is draining. Where draining means that the instance leaves, this
	// must exceed the time until the membership view shows the departure; where only the
	// node restarts, and the view shows nothing, about a second is enough. Default 10 s.
	DrainReportLifetime time.Duration
	// ByExpectedTime chooses the least expected time over all upstreams instead of the
	// lower load of two random ones. It requires service times in the load reports.
	ByExpectedTime bool
	// CrossDataCentreCost is the cost of traffic between data centres, as a fraction of
	// the service time that is added to the expected time at an idle upstream of another
	// data centre. A higher value keeps requests local, a lower one balances the load
	// more evenly. Only with ByExpectedTime. Default 0.3.
	CrossDataCentreCost float64
}

// DefaultConfig returns the default values documented at the fields.
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

// LoadReport is the load that the node beside an upstream sends with a response.
type LoadReport struct {
	InUse, Slots, Waiting int
	// Service is the smoothed time that a request holds a slot; 0 if unknown.
	Service time.Duration
	// Wait is how long the next request of the same kind is expected to wait for a slot.
	Wait time.Duration
	// Runs holds the run times of requests of the same kind.
	Runs     RunTimes
	Draining bool
	// Leaving reports whether the upstream itself has said that it leaves.
	Leaving bool
	// Cold is how long the upstream stays cold; 0 if it is warm.
	Cold time.Duration
	// Limit is the limit that the upstream advertises; nil if nothing new is known of it.
	Limit *admission.AdvertisedLimit
	// Slowdown is the slowdown that the upstream has reported; Service and Runs are scaled
	// by it.
	Slowdown admission.Slowdown
	// ReadAt is when the report arrived, before the rest of its response; zero if that
	// arrived with it.
	ReadAt time.Time
}

// RunTimes holds quantiles of the run times of one request kind at an upstream; 0 if
// unknown.
type RunTimes struct {
	Typical time.Duration // quantile overload.TypicalRunQuantile
	Safe    time.Duration // quantile overload.SafeRunQuantile
}

// upstreamState is what this node has observed of one upstream.
type upstreamState struct {
	service            string
	sameDataCentre     bool // in the same data centre as this node
	generation         uint64
	slowStartAt        time.Time
	inFlight           int
	waitingSince       time.Time // last response or, if later, when requests began to be in flight
	load               LoadReport
	loadAt             time.Time
	inFlightAtLoad     int // own requests in flight that the load includes
	waits              map[string]waitReport
	runTimes           map[string]runTimesReport
	failureRate        float64
	outcomes           int
	ejectedUntil       time.Time // excluded as ejected until then
	ejections          int
	wrongInstanceUntil time.Time // its address answered for another instance; excluded until then
	latency            float64   // smoothed time to the response, in seconds
	networkTime        float64   // smoothed network time to its node and back, in seconds
	networkTimeAt      time.Time
	allowance          allowance
	limit              limitState

	name string
	// load holds durations at usual speed. Its figures are those of a peer load report
	// instead of own if that is newer; reportedAt is when they were reported, loadAt when
	// own were.
	own        loadFigures
	reportedAt time.Time
	slowdown   admission.Slowdown   // as last reported by anyone
	starts     [maxStarts]time.Time // of the last own requests, in a ring
	nextStart  int                  // number of own requests so far
}

// Smoothing of the network time. A connection that fills up is noticed within two or
// three requests; one that empties is noticed by the requests that still use it.
const (
	networkTimeRise = 0.4
	networkTimeFall = 0.15
	// networkTimeDecay is the time after which the network time without further samples
	// has fallen to a third: queues on a link drain in about a second.
	networkTimeDecay = time.Second
)

// observeNetworkTime adds a sample to the smoothed network time.
func (s *upstreamState) observeNetworkTime(now time.Time, took time.Duration) {
	old := s.expectedNetworkTime(now)
	part := networkTimeFall
	if took.Seconds() > old {
		part = networkTimeRise
	}
	s.networkTime, s.networkTimeAt = old+part*(took.Seconds()-old), now
}

// expectedNetworkTime returns the expected network time to the node and back, in seconds.
func (s *upstreamState) expectedNetworkTime(now time.Time) float64 {
	if s.networkTimeAt.IsZero() {
		return 0
	}
	return s.networkTime * decay.Factor(now.Sub(s.networkTimeAt), networkTimeDecay)
}

// estimatedRequests estimates the number of requests at the upstream: those in its load
// report, which give way to this node's own requests in flight as the report ages.
func (s *upstreamState) estimatedRequests(cfg Config, now time.Time) float64 {
	own := float64(s.inFlight)
	if s.reportedAt.IsZero() {
		return own
	}
	trust := decay.Factor(now.Sub(s.reportedAt), cfg.LoadReportLifetime)
	reported := float64(s.load.InUse + s.load.Waiting + s.inFlight - s.inFlightAtLoad)
	return max(own, trust*reported+(1-trust)*own)
}

// waitReportTTL is how long a reported wait may cause a request to be refused: about the
// time in which one request ends and another one starts.
const waitReportTTL = 100 * time.Millisecond

// waitReport is the reported wait for a slot for one request kind.
type waitReport struct {
	wait time.Duration
	at   time.Time
}

// maxKinds bounds the request kinds of which waits and run times are kept per upstream.
const maxKinds = 32

func (s *upstreamState) recordWait(now time.Time, kind string, wait time.Duration) {
	if s.waits == nil || len(s.waits) >= maxKinds {
		s.waits = make(map[string]waitReport)
	}
	s.waits[kind] = waitReport{wait: wait, at: now}
}

// expectedWait returns the time that a request of the kind is expected to wait for a
// slot; 0 if there is no recent report.
func (s *upstreamState) expectedWait(now time.Time, kind string) time.Duration {
	wait := s.limit.remaining(now)
	if w, ok := s.waits[kind]; ok && now.Sub(w.at) <= waitReportTTL {
		wait = max(wait, w.wait)
	}
	return wait
}

// runTimesReport holds the reported run times of one request kind, at usual speed.
type runTimesReport struct {
	RunTimes
	at time.Time
}

// runTimesTTL is how long reported run times are used. An upstream at which every request
// would be late gets no more requests and so sends no more reports. After this time it is
// tried again, as a slow upstream has usually recovered after a few seconds.
const runTimesTTL = 3 * time.Second

func (s *upstreamState) recordRunTimes(now time.Time, kind string, runs RunTimes) {
	if runs.Safe == 0 {
		return
	}
	if s.runTimes == nil || len(s.runTimes) >= maxKinds {
		s.runTimes = make(map[string]runTimesReport)
	}
	s.runTimes[kind] = runTimesReport{RunTimes: runs, at: now}
}

// recentRunTimes returns the run times of requests of the kind; zero if there is no
// recent report.
func (s *upstreamState) recentRunTimes(now time.Time, kind string) RunTimes {
	known, ok := s.runTimes[kind]
	if !ok || now.Sub(known.at) > runTimesTTL {
		return RunTimes{}
	}
	return RunTimes{Typical: s.slowdown.Scale(now, known.Typical), Safe: s.slowdown.Scale(now, known.Safe)}
}

// trialInterval is the number of service times after which an upstream that gets no
// requests from this node is sent one as a trial: an upstream of usual speed after two
// seconds, a slow one less often.
const trialInterval = 20

// dueForTrial reports whether the last load report is so old that the upstream should get
// a trial request.
func (s *upstreamState) dueForTrial(now time.Time) bool {
	return s.inFlight == 0 && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) > trialInterval*s.load.Service)
}

// slowStartFactor returns the share of its weight that an instance gets, 0 to 1: less
// than 1 only during its slow start.
func (s *upstreamState) slowStartFactor(cfg Config, now time.Time) float64 {
	if s.slowStartAt.IsZero() || cfg.SlowStart <= 0 {
		return 1
	}
	part := now.Sub(s.slowStartAt).Seconds() / cfg.SlowStart.Seconds()
	return min(1, cfg.SlowStartFloor+(1-cfg.SlowStartFloor)*max(part, 0))
}

func (s *upstreamState) reportsDraining(cfg Config, now time.Time) bool {
	return s.load.Draining && now.Sub(s.loadAt) < cfg.DrainReportLifetime
}

// unresponsiveLatencies is the multiple of the smoothed latency after which an upstream
// without a response counts as unresponsive.
const unresponsiveLatencies = 4

// isUnresponsive reports whether requests are in flight and no response has arrived for
// too long.
func (s *upstreamState) isUnresponsive(cfg Config, now time.Time) bool {
	if s.inFlight == 0 {
		return false
	}
	limit := max(cfg.NoResponseTimeout, time.Duration(unresponsiveLatencies*s.latency*float64(time.Second)))
	return now.Sub(s.waitingSince) > limit
}

// wrongInstanceTTL is how long an upstream is excluded after its address answered for
// another instance. The requested instance doesn't come back, and the instance list drops
// it within three heartbeats (4.5 s at 1.5 s each) plus the delay of the list; the limit
// only matters if the answer was wrong. Without the exclusion, requests to such an
// address used up the retry budget: in 4 of 40 runs of 20 requests, one request was
// refused.
const wrongInstanceTTL = 10 * time.Second

func (s *upstreamState) isEjected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// observeOutcome adds an outcome to the failure rate and ejects the upstream if that is
// too high.
func (s *upstreamState) observeOutcome(cfg Config, now time.Time, rnd *rand.Rand, failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	s.outcomes++
	s.failureRate += cfg.FailureSmoothing * (v - s.failureRate)
	if !failed {
		if s.failureRate < cfg.EjectRate/2 {
			s.ejections = 0
		}
		return
	}
	if s.outcomes < cfg.EjectMin || s.failureRate < cfg.EjectRate || s.isEjected(now) {
		return
	}
	s.eject(cfg, now, rnd)
}

func (s *upstreamState) eject(cfg Config, now time.Time, rnd *rand.Rand) {
	d := min(cfg.EjectBase<<min(s.ejections, 16), cfg.EjectCap)
	// Half of the time is fixed and half is random, so that the nodes don't return to the
	// upstream all at once.
	s.ejectedUntil = now.Add(d/2 + time.Duration(rnd.Int64N(int64(d)/2+1)))
	s.ejections++
	// One more failure after the return ejects the upstream again; a success lowers the
	// rate.
	s.failureRate = cfg.EjectRate
}
