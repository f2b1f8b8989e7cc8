package quarantine

import "time"

// Config holds the settings of a Book.
type Config struct {
	// HoldAfter is the number of falls, with no answer since, from which on a request is
	// held back. Fewer saves upstreams, more holds back fewer innocent requests: those
	// that were cut with the cause are tried again with it, and fall with it twice.
	// Default 2.
	HoldAfter int
	// Probes are the times after the last fall or probe at which a request is let
	// through once more, by the number of its falls from HoldAfter on. After the last
	// one it waits until it is released or was not seen for Memory. Longer spares
	// upstreams, shorter clears innocent requests sooner. Default 5 s, 30 s, 2 min: an
	// innocent request that comes again is free soon, and the cause ends three more
	// upstreams at most.
	Probes []time.Duration
	// AnsweredFor is how long an answer also clears falls that come after it. A request
	// that many callers send is running at every upstream at any time, and was answered a
	// moment ago: without it such a one was held back when two upstreams fell at once.
	// Longer clears those that come more seldom; one that ran well and now ends upstreams
	// is noticed so much later. Default 1 s.
	AnsweredFor time.Duration
	// Memory is how long a request is remembered after its last attempt. Longer
	// recognises one that comes seldom. Default 1 h.
	Memory time.Duration
	// ClearedMemory is how long a request is remembered of which nothing is held against
	// it any more, so that other nodes hear of that. Default 1 min.
	ClearedMemory time.Duration
	// MaxRecords bounds the requests remembered, some 700 bytes each; those that are
	// not held back and were not seen for longest are forgotten first. Default 2,048:
	// the requests of some fifty falls.
	MaxRecords int
	// Seed differs from node to node, so that they do not try a request at once.
	Seed uint64
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config {
	return Config{
		HoldAfter:     2,
		Probes:        []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute},
		AnsweredFor:   time.Second,
		Memory:        time.Hour,
		ClearedMemory: time.Minute,
		MaxRecords:    2048,
	}
}
