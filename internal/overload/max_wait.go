package overload

import "time"

const (
	// TypicalRunQuantile is the quantile of the run times of a kind by which a request
	// counts as able to meet its objective deadline. A request with less time left is
	// more likely late than not, even if it starts at once.
	TypicalRunQuantile = 0.5
	// SafeRunQuantile is the quantile of the run times of a kind that is reserved for
	// running a request while it waits. With a lower quantile queues grow until all
	// requests in them are late; with a higher one requests are refused while slots
	// become free.
	SafeRunQuantile = 0.75
	// minSlotsAwaited is the number of slots that become free in the shortest maximum
	// wait. Arrivals and completions are irregular: without a queue about 10% of the
	// slots of a full upstream with 15 slots would be idle, with two places 5% (Erlang's
	// loss formula, load 1.25).
	minSlotsAwaited = 2
)

// Late reports whether a request that the caller sent again after a refusal is more
// likely late than not, with the given time left until its objective deadline. typical is
// the median run time of its kind; 0 if unknown.
//
// A first attempt never counts as late. If all requests of a kind run longer than their
// objective, as on cold upstreams, queueing them behind others helps none of them.
func Late(callerRetry bool, left, typical time.Duration) bool { return callerRetry && left <= typical }

// MaxWait returns how long a request may wait for a slot.
//
// left is the time until its objective deadline, safe the SafeRunQuantile of the run
// times of its kind, and slotInterval the mean time between two slots that become free. A
// late request only waits for the next slots: its caller benefits more from an immediate
// refusal, and while it waits it delays requests that can be in time.
func MaxWait(left, safe, slotInterval time.Duration, late bool) time.Duration {
	least := minSlotsAwaited * slotInterval
	if late {
		return least
	}
	return max(left-safe, least)
}
