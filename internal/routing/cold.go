package routing

import (
	"hash/fnv"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

// allowance is what a node may still send to a cold upstream: it grows by the node's
// share of the rate that the upstream bears, up to a request or a second's worth.
//
// The load pattern: upstreams of a service come back cold, alone or all together, while
// all nodes send to it. The node beside a cold one refuses what is too much, but each
// refusal costs a way there and back, and where most are cold, nearly all of them. A
// node knows nothing of what the others send, so each takes an even share.
type allowance struct {
	requests float64
	at       time.Time // when it was worked out; zero while the upstream is warm
}

// grow works the allowance out for a time.
func (a *allowance) grow(now time.Time, rate float64) {
	a.requests = min(a.requests+rate*max(now.Sub(a.at).Seconds(), 0), max(1, rate))
	a.at = now
}

// spend takes one request off.
func (a *allowance) spend() {
	if !a.at.IsZero() {
		a.requests = max(a.requests-1, 0)
	}
}

// coldUntil is the time until which an upstream is cold. The word of its node counts
// once that has answered since the published cold time began; before, what is
// published does.
func (e *evidence) coldUntil(m membership.Member) time.Time {
	if !e.toldAt.IsZero() && !e.told.Draining && !e.toldAt.Before(m.ColdFrom) {
		return e.toldAt.Add(e.told.Cold)
	}
	return m.ColdUntil
}

// coldFull reports whether an upstream is cold and this node has sent it its share.
func (r *Router) coldFull(now time.Time, e *evidence, m membership.Member) bool {
	if m.ColdRate <= 0 || !now.Before(e.coldUntil(m)) {
		e.allowance = allowance{}
		return false
	}
	if e.allowance.at.IsZero() {
		// By chance, as with many nodes a share is far less than a request in the time
		// for which an upstream is cold.
		e.allowance = allowance{requests: r.chance(m.Name), at: now}
	}
	e.allowance.grow(now, m.ColdRate)
	return e.allowance.requests < 1
}

// chance is a number from 0 to 1 that differs between nodes for one upstream, so that
// the first requests of all come evenly.
func (r *Router) chance(upstream string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.self.Name + "\x00" + upstream))
	const steps = 1 << 20
	return float64(h.Sum64()%steps) / steps
}

// coldWait is the least time until a cold upstream may get a request of this node; 0
// if none is cold.
func (r *Router) coldWait(now time.Time, all []Candidate, members Members) time.Duration {
	least := time.Duration(0)
	for i := range all {
		if all[i].Excluded != ColdFull {
			continue
		}
		m, _ := members(all[i].Upstream.Name)
		e := r.evidence[m.Name]
		wait := time.Duration((1 - e.allowance.requests) / m.ColdRate * float64(time.Second))
		wait = min(wait, e.coldUntil(m).Sub(now))
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
