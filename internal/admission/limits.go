package admission

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Limits enforces the share of a row's limits that falls to one upstream. It
// is pure but for its own state: time is passed in. Not safe for concurrent
// use.
//
// The shares are computed from the table alone, so nodes that hold the same
// version agree on them, and their sum is the row's limit exactly. While two
// versions are in force, the sum is at most that of the larger limit.
type Limits struct {
	service  *rate.Limiter // nil means no limit
	upstream *rate.Limiter
	max      int // calls in progress; negative means no limit
	running  int
}

// NewLimits returns limits that let every call start.
func NewLimits() *Limits { return &Limits{max: -1} }

// RowLimits is what the table says about one upstream and its service.
type RowLimits struct {
	ServiceRate        float64 // calls a second over the fleet; 0 means no limit
	UpstreamRate       float64
	ServiceConcurrency int // calls in progress over the fleet; 0 means no limit
	// Shares holds the weight share of each upstream of the service, in the
	// order of their names; Self is the index of this one.
	Shares []float64
	Self   int
}

// Set takes over a new version of the row. Calls in progress stay counted.
func (l *Limits) Set(now time.Time, r RowLimits) {
	l.service = adjust(l.service, now, r.ServiceRate*r.Shares[r.Self])
	l.upstream = adjust(l.upstream, now, r.UpstreamRate)
	l.max = -1
	if r.ServiceConcurrency > 0 {
		l.max = Apportion(r.ServiceConcurrency, r.Shares)[r.Self]
	}
}

// burstTime is the time's worth of calls that may come at once.
const burstTime = 0.1

func adjust(l *rate.Limiter, now time.Time, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(perSecond*burstTime))
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst)
	return l
}

// Start asks for leave to start one call. A refusal says why and when the next
// call may come; a granted call must be ended with Done.
func (l *Limits) Start(now time.Time) (Reason, time.Duration) {
	if l.max >= 0 && l.running >= l.max {
		return ReasonConcurrency, 0
	}
	if wait := l.nextToken(now); wait > 0 {
		return ReasonRate, wait
	}
	l.spend(now)
	l.running++
	return ReasonNone, 0
}

// Done ends a call.
func (l *Limits) Done() { l.running-- }

// nextToken returns the time until both buckets hold a token.
func (l *Limits) nextToken(now time.Time) time.Duration {
	wait := 0.0
	for _, b := range []*rate.Limiter{l.service, l.upstream} {
		if b == nil {
			continue
		}
		if missing := 1 - b.TokensAt(now); missing > 0 {
			wait = max(wait, missing/float64(b.Limit()))
		}
	}
	return time.Duration(wait * float64(time.Second))
}

func (l *Limits) spend(now time.Time) {
	for _, b := range []*rate.Limiter{l.service, l.upstream} {
		if b != nil {
			b.AllowN(now, 1)
		}
	}
}

// Apportion splits total into whole parts in proportion to shares, by largest
// remainder, ties going to the first. The parts sum to total.
func Apportion(total int, shares []float64) []int {
	parts := make([]int, len(shares))
	order := make([]int, len(shares))
	rest := total
	for i, s := range shares {
		parts[i] = int(math.Floor(float64(total) * s))
		rest -= parts[i]
		order[i] = i
	}
	remainder := func(i int) float64 { return float64(total)*shares[i] - math.Floor(float64(total)*shares[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		ra, rb := remainder(a), remainder(b)
		switch {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		}
		return 0
	})
	for _, i := range order {
		if rest <= 0 {
			break
		}
		if shares[i] > 0 {
			parts[i]++
			rest--
		}
	}
	return parts
}
