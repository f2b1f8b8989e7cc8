package routing

import (
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/decay"
	"github.com/walldrift/walldrift/internal/membership"
)

// limitState is what this node knows of an upstream that advertises a limit.
//
// The node beside the upstream keeps the limit exactly and refuses what exceeds it, but
// each refusal costs a network round trip. Each node therefore expects the wait that was
// reported last, plus that for its own requests since, and tries the upstream again when
// the wait is over. As other nodes do so too, it waits a multiple that grows with each
// refusal and halves with each request that is taken: about every third try succeeds,
// however many nodes send.
type limitState struct {
	limit   admission.AdvertisedLimit
	backoff float64       // multiple of the reported wait, 1 to maxLimitBackoff; 0 before the first report
	wait    time.Duration // until a further request may start, counted from waitAt
	waitAt  time.Time
}

const (
	// limitBackoffGrowth and limitBackoffDecay are the factors of the backoff. A higher
	// growth saves refusals, a lower one leaves less of the limit unused.
	limitBackoffGrowth = 1.5
	limitBackoffDecay  = 0.5
	// maxLimitBackoff bounds the backoff: with more nodes than that at one limited
	// upstream, some more requests are refused there.
	maxLimitBackoff = 64
	// limitJitter is the relative deviation of the wait at most, so that nodes that were
	// refused together do not come back together.
	limitJitter = 0.5
)

// maxLimitWait bounds the expected wait: the limit may end at any moment, and only a
// request to the upstream shows that.
const maxLimitWait = 5 * time.Second

// observe applies a load report. refused says that it came with a refusal because of the
// limit.
func (l *limitState) observe(now time.Time, rnd *rand.Rand, report *LoadReport, refused bool) {
	if report.Limit != nil {
		l.limit = *report.Limit
	}
	l.wait, l.waitAt = 0, now
	if !l.limit.InForce {
		l.backoff = 0
		return
	}
	factor := limitBackoffDecay
	if refused {
		factor = limitBackoffGrowth
	}
	l.backoff = min(max(l.backoff*factor, 1), maxLimitBackoff)
	jitter := 1 + limitJitter*(2*rnd.Float64()-1)
	l.wait = min(time.Duration(float64(report.Wait)*l.backoff*jitter), maxLimitWait)
}

// start counts a request of this node.
func (l *limitState) start(now time.Time) {
	if l.limit.InForce {
		l.wait, l.waitAt = min(l.remaining(now)+l.limit.Interval(), maxLimitWait), now
	}
}

// remaining returns the expected time until a further request may start.
func (l *limitState) remaining(now time.Time) time.Duration {
	return max(l.wait-now.Sub(l.waitAt), 0)
}

// expectedSeconds returns the wait by which the upstream is compared with others. When the
// reported wait is over, other nodes have probably used the limit again, so it decays with
// the given time constant.
func (l *limitState) expectedSeconds(now time.Time, fades time.Duration) float64 {
	if l.wait == 0 {
		return 0
	}
	return l.wait.Seconds() * decay.Factor(now.Sub(l.waitAt), fades)
}

// AdvertisedLimit returns the limit that an instance is known to advertise.
func (r *Router) AdvertisedLimit(in membership.Instance) admission.AdvertisedLimit {
	s, ok := r.upstreams[in.Name]
	if !ok || s.generation != in.Generation {
		return admission.AdvertisedLimit{}
	}
	return s.limit.limit
}
