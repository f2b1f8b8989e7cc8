package routing

import (
	"hash/fnv"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

// allowance is a token bucket of the requests that this node may still send to a cold
// upstream. It refills at the node's share of the rate that the upstream can serve while
// it is cold, and holds at most one second's worth, or one request if that is more.
//
// Upstreams of a service may cold-start at the same time while all nodes send to it. The
// node beside a cold upstream refuses what exceeds its rate, but each refusal costs a
// network round trip, and where most upstreams are cold nearly every request would be
// refused. A node doesn't know what the others send, so each takes an equal share.
type allowance struct {
	requests  float64
	updatedAt time.Time // last refill; zero while the upstream is warm
}

// refill adds the tokens earned since the last refill, at rate requests per second.
func (a *allowance) refill(now time.Time, rate float64) {
	a.requests = min(a.requests+rate*max(now.Sub(a.updatedAt).Seconds(), 0), max(1, rate))
	a.updatedAt = now
}

// spend removes one token. It does nothing while the upstream is warm.
func (a *allowance) spend() {
	if !a.updatedAt.IsZero() {
		a.requests = max(a.requests-1, 0)
	}
}

// coldUntil returns the time until which an upstream is cold. A load report from its node
// takes precedence if it was received after the published cold period began; otherwise
// the published time applies.
func (s *upstreamState) coldUntil(m membership.Member) time.Time {
	if !s.loadAt.IsZero() && !s.load.Draining && !s.loadAt.Before(m.ColdFrom) {
		return s.loadAt.Add(s.load.Cold)
	}
	return m.ColdUntil
}

// coldLimitReached reports whether an upstream is cold and this node has used up its
// share of the requests to it.
func (r *Router) coldLimitReached(now time.Time, s *upstreamState, m membership.Member) bool {
	if m.ColdRate <= 0 || !now.Before(s.coldUntil(m)) {
		s.allowance = allowance{}
		return false
	}
	if s.allowance.updatedAt.IsZero() {
		// The bucket starts at a pseudo-random level: with many nodes the share of each
		// is far less than one request during the whole cold period.
		s.allowance = allowance{requests: r.initialAllowance(m.Name), updatedAt: now}
	}
	s.allowance.refill(now, m.ColdRate)
	return s.allowance.requests < 1
}

// initialAllowance returns a number in [0, 1) that differs between nodes for the same
// upstream, so that the first requests of all nodes are spread evenly over time.
func (r *Router) initialAllowance(upstream string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.self.Name + "\x00" + upstream))
	const steps = 1 << 20
	return float64(h.Sum64()%steps) / steps
}

// untilColdAllowance returns the shortest time until this node may send a request to one
// of the cold upstreams; 0 if no candidate is excluded as cold.
func (r *Router) untilColdAllowance(now time.Time, all []Candidate, members Members) time.Duration {
	least := time.Duration(0)
	for i := range all {
		if all[i].Excluded != ColdFull {
			continue
		}
		m, _ := members(all[i].Upstream.Name)
		s := r.upstreams[m.Name]
		wait := time.Duration((1 - s.allowance.requests) / m.ColdRate * float64(time.Second))
		wait = min(wait, s.coldUntil(m).Sub(now))
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
