package retry

import (
	"time"

	"github.com/walldrift/walldrift/internal/decay"
)

const (
	// recentTime is the time constant with which counts of events lose weight. Upstreams
	// reject requests for seconds, and a node that sends five requests a second to a
	// service needs two seconds to tell a share of a tenth from a half.
	recentTime = 2 * time.Second
	// rejectingShare is the share of rejected arrivals above which a service counts as
	// rejecting. Up to a tenth, the usual budget of 0.15 further tries for each request
	// is enough for all rejected requests.
	rejectingShare = 0.1
	// minRejected is the number of recent rejections required for a service to count as
	// rejecting, because a share of a few arrivals says little.
	minRejected = 2.0
)

// recent counts the recent events at one service. All counts lose weight with recentTime.
type recent struct {
	at       time.Time // until which weight has been taken off the counts
	first    float64   // first tries
	arrivals float64   // tries that may have reached an upstream
	rejected float64   // arrivals that the upstream rejected
	// askedByRank counts the further tries that requests of a rank could have made after
	// a rejection if the budget permitted; grantedByRank those drawn from the budget.
	askedByRank, grantedByRank [ranks]float64
}

// advance takes off the weight that the counts have lost since the last event.
func (r *recent) advance(now time.Time) {
	if !now.After(r.at) {
		return
	}
	left := decay.Factor(now.Sub(r.at), recentTime)
	r.at = now
	r.first *= left
	r.arrivals *= left
	r.rejected *= left
	for i := range ranks {
		r.askedByRank[i] *= left
		r.grantedByRank[i] *= left
	}
}

// rejectedShare returns the share of the recent arrivals that the upstreams rejected; 0
// if there were too few.
func (r *recent) rejectedShare() float64 {
	if r.rejected < minRejected {
		return 0
	}
	return r.rejected / r.arrivals
}

// askedAbove returns how many further tries the ranks above a rank have recently asked
// for after rejections.
func (r *recent) askedAbove(rank Rank) float64 {
	sum := 0.0
	for _, n := range r.askedByRank[:rank] {
		sum += n
	}
	return sum
}
