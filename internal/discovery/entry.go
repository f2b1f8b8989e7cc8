package discovery

import (
	"time"
)

// entry is what the registry knows of one upstream process.
type entry struct {
	Upstream
	firstSeen  time.Time // when this process was first seen
	receivedAt time.Time // when this version of the entry was received
	// missingSince is the revision at which the entry vanished; zero if it is published.
	// A missing entry is kept until expires or, if that is zero, until the removal is
	// confirmed.
	missingSince uint64
	expires      time.Time
	sequence     uint64 // of the last change
}

// supersededBy reports whether a version from a source that knows the store up to the
// given revision replaces the entry: a later process, a later version, or the same
// version that has gone missing or, if the source knows of the removal, is published
// again.
func (e entry) supersededBy(up Upstream, revision uint64) bool {
	switch {
	case e.StartedAtMs != 0 && up.StartedAtMs > e.StartedAtMs:
		return true
	case up.Revision != e.Revision:
		// A version from before the removal was removed with it.
		return up.Revision > max(e.Revision, e.missingSince)
	case e.missingSince == 0:
		return up.ExpiresIn > 0
	}
	return up.ExpiresIn == 0 && revision >= e.missingSince
}

// knownUpstream returns the published state of an entry. Its cold time counts from when
// the entry was received. That is later than when it was published, so it errs towards
// cold.
func (e entry) knownUpstream() KnownUpstream {
	k := KnownUpstream{Upstream: e.Upstream, FirstSeen: e.firstSeen}
	if e.ColdFor > 0 {
		k.ColdFrom, k.ColdUntil = e.receivedAt, e.receivedAt.Add(e.ColdFor)
	}
	return k
}

// KnownUpstream is an upstream with the time when its process was first seen.
type KnownUpstream struct {
	Upstream
	FirstSeen time.Time
	// ColdFrom and ColdUntil are the times between which it is published as cold; both
	// zero if it is not.
	ColdFrom, ColdUntil time.Time
}
