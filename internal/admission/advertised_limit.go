package admission

import (
	"slices"
	"time"
)

// AdvertisedLimit is the limit that an upstream advertises in its responses: the requests
// per second that it takes from all nodes together. The zero value means that it
// advertises none.
type AdvertisedLimit struct {
	InForce   bool
	PerSecond float64 // at least 0
}

// minAdvertisedRate is the rate in requests per second that an upstream gets whatever
// limit it advertises: one trial request every five seconds.
const minAdvertisedRate = 0.2

// Interval returns the mean time between two requests that the limit allows.
func (a AdvertisedLimit) Interval() time.Duration {
	if !a.InForce {
		return 0
	}
	return time.Duration(float64(time.Second) / max(a.PerSecond, minAdvertisedRate))
}

func (a AdvertisedLimit) stricterThan(b AdvertisedLimit) bool {
	return a.InForce && (!b.InForce || a.PerSecond < b.PerSecond)
}

// LimitTracker decides which of the limits that an upstream's responses advertise is in
// force. It is pure: the caller passes the times in.
//
// Responses overlap, and the order in which they are processed is not the order in which
// the upstream wrote them. A response is certainly written after another one only if its
// request was sent after that one was received. The strictest limit of the responses that
// are not certainly outdated is in force.
type LimitTracker struct {
	instance string // the upstream process that advertises the limits
	// latestSentAt is the latest time at which a request was sent whose response was
	// observed; zero if none was. What was received before that is outdated.
	latestSentAt time.Time
	// current has the limits that may be in force: each is looser than the one before it
	// and was received later.
	current []receivedLimit
}

// receivedLimit is a limit that a response advertised.
type receivedLimit struct {
	AdvertisedLimit
	receivedAt time.Time
}

// Current returns the limit in force.
func (t *LimitTracker) Current() AdvertisedLimit {
	if len(t.current) == 0 {
		return AdvertisedLimit{}
	}
	return t.current[0].AdvertisedLimit
}

// Limit returns the limit of an instance; false if it is not known what that advertises.
func (t *LimitTracker) Limit(instance string) (AdvertisedLimit, bool) {
	return t.Current(), t.instance == instance && len(t.current) > 0
}

// Observe applies what a response of an instance advertises and reports whether the limit
// in force has changed. sentAt is when the request was sent, receivedAt when the head of
// the response arrived.
func (t *LimitTracker) Observe(instance string, sentAt, receivedAt time.Time, advertised AdvertisedLimit) (changed bool) {
	before := t.Current()
	switch {
	case instance != t.instance && sentAt.After(t.latestSentAt):
		*t = LimitTracker{instance: instance}
	case instance != t.instance || receivedAt.Before(t.latestSentAt):
		return false // outdated, or from an earlier process
	}
	if sentAt.After(t.latestSentAt) {
		t.latestSentAt = sentAt
	}
	t.current = slices.DeleteFunc(t.current, func(old receivedLimit) bool { return old.receivedAt.Before(t.latestSentAt) })
	t.add(receivedLimit{AdvertisedLimit: advertised, receivedAt: receivedAt})
	return t.Current() != before
}

// add inserts a limit and drops the looser or equal ones that were received before it,
// because those become outdated earlier.
func (t *LimitTracker) add(l receivedLimit) {
	at := len(t.current)
	for at > 0 && t.current[at-1].receivedAt.After(l.receivedAt) {
		at--
	}
	if at < len(t.current) && !l.stricterThan(t.current[at].AdvertisedLimit) {
		return // a later one is at least as strict
	}
	kept := at
	for kept > 0 && !t.current[kept-1].stricterThan(l.AdvertisedLimit) {
		kept--
	}
	t.current = slices.Replace(t.current, kept, at, l)
	if last := len(t.current) - 1; last == maxOverlappingLimits {
		// The stricter one of the latest two holds for both.
		t.current[last-1].receivedAt = t.current[last].receivedAt
		t.current = t.current[:last]
	}
}

// maxOverlappingLimits bounds the limits of overlapping responses that are kept.
const maxOverlappingLimits = 32

// Hint applies a limit that another node knows of an instance and reports whether the
// limit in force has changed. It counts only as long as no response of the upstream was
// observed: a node that has started beside a limited upstream learns the limit with the
// first request.
func (t *LimitTracker) Hint(instance string, now time.Time, limit AdvertisedLimit) (changed bool) {
	if !t.latestSentAt.IsZero() || !limit.stricterThan(t.Current()) {
		return false
	}
	*t = LimitTracker{instance: instance, current: []receivedLimit{{AdvertisedLimit: limit, receivedAt: now}}}
	return true
}

// Forget drops what is known of instances other than the given one and reports whether
// the limit in force has changed.
func (t *LimitTracker) Forget(except string) (changed bool) {
	if t.instance == except {
		return false
	}
	changed = t.Current() != AdvertisedLimit{}
	*t = LimitTracker{}
	return changed
}
