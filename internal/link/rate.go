package link

import "time"

const (
	// framingShare is the share of a link's rate that framing and acknowledgements take:
	// 78 of the 1,526 bytes of a full Ethernet frame, and an acknowledgement of 78 bytes
	// for every second frame.
	framingShare = 0.1
	// minShare is the least share of the nominal rate that is assumed. A link that is
	// disturbed falls to about this.
	minShare = 1.0 / 30
	// slowMargin is how much longer than the rate allows a write may take before it counts
	// as overdue. It covers the kernel's queue that pacing leaves.
	slowMargin = 4 * chunkTime
	// confirmTime is how long an overdue write has to be seen in progress until it counts as
	// slow. After a pause of this process, a write that the link has carried meanwhile ends
	// at once.
	confirmTime = 2 * chunkTime
	// quickMargin is how much longer than the rate allows a write may take and still shows
	// that the link isn't slow. Between the two margins a write shows nothing.
	quickMargin = 2 * chunkTime
	// slowWindow is the time within which writes to two peers have to be slow for the link
	// to count as slow.
	slowWindow = 500 * time.Millisecond
	// lowerInterval is the least time between two reductions, so that one event that
	// delays many writes counts once.
	lowerInterval = 50 * time.Millisecond
	// maxReduction is the factor by which one reduction lowers the rate at most.
	maxReduction = 0.5
	// restoreTime is the time from the last slow write until the nominal rate is assumed
	// again.
	restoreTime = time.Second
)

// rate estimates the rate of a link from how long writes take.
//
// A write can also be slow because its reader is slow. So the link counts as slow only
// if writes to two peers are, and if no write that needed the link succeeded in between.
type rate struct {
	nominal float64 // bytes per second
	low     float64 // bytes per second, after the last reduction
	lowered time.Time
	slowAt  time.Time // last slow write while the link counted as slow
	last    slowWrite
	other   slowWrite // last slow write to another peer than that of last
	quickAt time.Time // last write that the link certainly carried in time
}

// slowWrite is a write that took longer than the rate allows.
type slowWrite struct {
	peer string
	at   time.Time
}

// newRate returns the rate of a link of the given Mbit/s.
func newRate(mbps float64) rate {
	nominal := mbps * 1e6 / 8 * (1 - framingShare)
	return rate{nominal: nominal, low: nominal}
}

// at returns the rate in bytes per second. It rises slowly at first, so that a link that
// is still slow is not filled before the next slow write tells.
func (r *rate) at(now time.Time) float64 {
	if r.slowAt.IsZero() {
		return r.nominal
	}
	passed := min(max(now.Sub(r.slowAt).Seconds()/restoreTime.Seconds(), 0), 1)
	return r.low + (r.nominal-r.low)*passed*passed
}

// isSlow reports whether the link counts as slow now.
func (r *rate) isSlow(now time.Time) bool {
	return !r.slowAt.IsZero() && now.Sub(r.slowAt) < restoreTime
}

// allows returns how long a write of n bytes takes at most if the link is not slow.
func (r *rate) allows(now time.Time, n int64) time.Duration {
	return seconds(float64(n)/r.at(now)) + slowMargin
}

// quick records a write that the link carried in time. The bytes before it must exceed
// what the kernel takes without sending.
func (r *rate) quick(now time.Time) { r.quickAt = now }

// slow records that a write to the peer, started at the given time, takes longer than the
// rate allows, while the link carried the given bytes per second.
func (r *rate) slow(now, started time.Time, peer string, carried float64) {
	if peer != r.last.peer {
		r.other = r.last
	}
	r.last = slowWrite{peer: peer, at: now}
	if r.other.at.IsZero() || now.Sub(r.other.at) > slowWindow || r.quickAt.After(started) {
		return
	}
	if now.Sub(r.lowered) < lowerInterval {
		return
	}
	current := r.at(now)
	r.low = min(max(carried, current*maxReduction, r.nominal*minShare), current)
	r.lowered, r.slowAt = now, now
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
