package admission

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Limits enforces one upstream's share of the rate and concurrency limits of a table row.
// It has no clock: time is passed in. It is not safe for concurrent use.
//
// The shares are computed from the table alone, so that nodes with the same table version
// agree on them and their sum is exactly the limit of the row. While two versions are in
// force, the sum is at most the larger of the two limits.
type Limits struct {
	service  *rate.Limiter // nil means no limit
	upstream *rate.Limiter
	max      int // calls in progress; negative means no limit
	running  int
}

// NewLimits returns limits that admit every call.
func NewLimits() *Limits { return &Limits{max: -1} }

// RowLimits holds the limits that the table sets for one upstream and its service.
type RowLimits struct {
	ServiceRate        float64 // calls per second over the fleet; 0 means no limit
	UpstreamRate       float64
	ServiceConcurrency int // calls in progress over the fleet; 0 means no limit
	// Shares holds the share of the service's weight of each upstream, ordered by
	// upstream name; Self is the index of this upstream.
	Shares []float64
	Self   int
}

// Set applies the limits of a new table version. Calls in progress remain counted.
func (l *Limits) Set(now time.Time, r RowLimits) {
	l.service = updateLimiter(l.service, now, r.ServiceRate*r.Shares[r.Self])
	l.upstream = updateLimiter(l.upstream, now, r.UpstreamRate)
	l.max = -1
	if r.ServiceConcurrency > 0 {
		l.max = Apportion(r.ServiceConcurrency, r.Shares)[r.Self]
	}
}

// burstTime is the size of a rate limiter's burst, as seconds of its rate.
const burstTime = 0.1

func updateLimiter(l *rate.Limiter, now time.Time, perSecond float64) *rate.Limiter {
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

// Start tries to start one call. If it returns ReasonNone, the caller must call Done when
// the call ends. Otherwise it returns the reason and the time until a call may be
// admitted, 0 if unknown.
func (l *Limits) Start(now time.Time) (Reason, time.Duration) {
	if l.max >= 0 && l.running >= l.max {
		return ReasonConcurrency, 0
	}
	if wait := l.nextToken(now); wait > 0 {
		return ReasonRate, wait
	}
	l.takeTokens(now)
	l.running++
	return ReasonNone, 0
}

// Done ends a call that Start admitted.
func (l *Limits) Done() { l.running-- }

// nextToken returns the time until both rate limiters have a token.
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

func (l *Limits) takeTokens(now time.Time) {
	for _, b := range []*rate.Limiter{l.service, l.upstream} {
		if b != nil {
			b.AllowN(now, 1)
		}
	}
}

// Apportion splits total into integers in proportion to shares, by the largest remainder
// method; ties go to the first. The parts sum to total.
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
