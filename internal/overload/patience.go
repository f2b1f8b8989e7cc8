package overload

import "time"

const (
	// TypicalRunQuantile is the share of the requests of a kind that run no longer than
	// the time by which a request counts as able to be in time. One with less
	// left is more likely late than not, even if it starts at once.
	TypicalRunQuantile = 0.5
	// SafeRunQuantile is the share of the requests of a kind that run no longer than the
	// time kept for a request while it waits. Less keeps longer queues, in which
	// all get late together; more refuses requests while slots come free.
	SafeRunQuantile = 0.75
	// slotEnds is the number of slots that come free in the least wait allowed.
	// Arrivals and ends are uneven: without any queue some 10% of the slots of a
	// full upstream of 15 would stand idle, with two places 5% (Erlang's loss
	// formula, load 1.25).
	slotEnds = 2
)

// Late reports whether a request that came back after a refusal is more likely
// late than not, with the given time left to its objective. typical is the time
// within which half of its kind run; 0 if that is not known.
//
// A fresh request never counts as late: where all of a kind run longer than
// their objective allows, as on cold upstreams, none of them gains by standing
// behind the others.
func Late(returned bool, left, typical time.Duration) bool { return returned && left <= typical }

// MaxWait is how long a request may wait for a slot.
//
// left is the time to its objective, safe the time within which the share
// SafeRun of its kind run, and slotEvery the time between two slots that come
// free. A late request waits for the next slots only: its caller is better told
// at once, and what waits is in the way of those that can be in time.
func MaxWait(left, safe, slotEvery time.Duration, late bool) time.Duration {
	least := slotEnds * slotEvery
	if late {
		return least
	}
	return max(left-safe, least)
}
