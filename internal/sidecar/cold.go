package sidecar

import "time"

// coldCause is the reason why the own upstream counts as cold.
type coldCause string

// The causes. With all but coldPublished the upstream may be warm, so it is probed.
const (
	coldPublished       coldCause = "published"
	coldNodeStart       coldCause = "this node has started beside it"
	coldAfterEvacuation coldCause = "its data centre was evacuated"
	coldAfterReconnect  coldCause = "it takes connections again"
)

// coldPeriod determines until when the own upstream counts as cold. It is pure: the caller
// passes the time in. An upstream that may be cold counts as cold until it is known to be
// warm, because a cold upstream crashes under the load of a warm one.
type coldPeriod struct {
	causeAt time.Time // of the last cause
	until   time.Time
}

// start applies a cause that holds from one time until another. It reports whether the
// cause is later than the last one.
func (c *coldPeriod) start(from, until time.Time) bool {
	if !from.After(c.causeAt) {
		return false
	}
	c.causeAt = from
	if until.After(c.until) {
		c.until = until
	}
	return true
}

// applyReport applies the upstream's own report, in response to a probe sent at probedAt,
// of how long it stays cold. A cause later than the probe remains in effect.
func (c *coldPeriod) applyReport(probedAt, now time.Time, remaining time.Duration) {
	if !probedAt.Before(c.causeAt) {
		c.until = now.Add(remaining)
	}
}
