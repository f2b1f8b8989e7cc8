package sidecar

import "time"

// coldCause says why the own upstream counts as cold.
type coldCause string

// The causes. All but the first rest on what may be, so the upstream is asked.
const (
	coldPublished coldCause = "published"
	coldNodeStart coldCause = "this node has started beside it"
	coldReopened  coldCause = "its data centre was evacuated"
	coldReturned  coldCause = "it takes connections again"
)

// ownCold decides until when the own upstream counts as cold. It is pure: time is
// passed in. An upstream that may be cold counts as such until it is known to be warm:
// it falls over if it gets what a warm one bears.
type ownCold struct {
	from  time.Time // of the last cause
	until time.Time
}

// begin takes a cause over that holds between two times, and reports whether it is a
// new one.
func (c *ownCold) begin(from, until time.Time) bool {
	if !from.After(c.from) {
		return false
	}
	c.from = from
	if until.After(c.until) {
		c.until = until
	}
	return true
}

// told takes over for how long the upstream stays cold by its own word, given at the
// earliest when it was asked. A cause that came later stands.
func (c *ownCold) told(asked, now time.Time, left time.Duration) {
	if !asked.Before(c.from) {
		c.until = now.Add(left)
	}
}
