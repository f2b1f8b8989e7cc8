package retry

import "strconv"

// Rank says how much the failure of a request costs. Lower ranks are served first. The
// zero value is the first rank.
type Rank int

const (
	// priorities is the number of priorities that have ranks of their own; requests of
	// further ones share the rank of the last.
	priorities = 10
	// ranks is the number of ranks.
	ranks = 2 * priorities
)

// RankOf returns the rank of a request: those whose refusal is final come first, since
// the request that made them fails with them, and then those of a lower priority number.
func RankOf(refusalIsFinal bool, priority int) Rank {
	r := Rank(min(max(priority, 0), priorities-1))
	if !refusalIsFinal {
		r += priorities
	}
	return r
}

// String returns the rank as "final-PRIORITY" or "retried-PRIORITY", as used in logs and
// metrics.
func (r Rank) String() string {
	if r < priorities {
		return "final-" + strconv.Itoa(int(r))
	}
	return "retried-" + strconv.Itoa(int(r-priorities))
}
