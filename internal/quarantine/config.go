package quarantine

import "time"

// Config holds the parameters of a Tracker.
type Config struct {
	// QuarantineAfter is the number of crashes, without an answer since, from which a
	// request is quarantined. A lower number saves upstreams, a higher one quarantines
	// fewer harmless requests: those that were running beside the crashing request are
	// retried together with it and so are running at two crashes. Default 2.
	QuarantineAfter int
	// Probes are the times after the last crash or probe at which a quarantined request
	// may run once more, indexed by the number of its crashes above QuarantineAfter.
	// After the last probe it stays quarantined until it is released or hasn't been
	// attempted for Retention. Longer times save upstreams, shorter ones release harmless
	// requests sooner. Default 5 s, 30 s, 2 min: a harmless request that is retried is
	// released soon, and a crashing one crashes at most three more upstreams.
	Probes []time.Duration
	// AnsweredLifetime is how long an answer also clears crashes that follow it. A request
	// that many callers send is running at every upstream at any time, and was answered a
	// moment ago; without this rule such a request was quarantined when two upstreams
	// crashed at the same time. A longer time also covers requests that are sent less
	// often, but delays the detection of a request that used to run well and now crashes
	// upstreams by the same time. Default 1 s.
	AnsweredLifetime time.Duration
	// Retention is how long a request with crashes is remembered after its last attempt. A
	// longer time recognises requests that are sent less often. Default 1 h.
	Retention time.Duration
	// ClearedRetention is how long a request without remaining crashes is remembered, so
	// that other nodes learn that it was cleared. Default 1 min.
	ClearedRetention time.Duration
	// MaxRecords bounds the records, of some 700 bytes each. Those with the fewest
	// crashes, and of these the ones not seen for longest, are removed first. Default
	// 2,048: the requests of some fifty crashes.
	MaxRecords int
	// Seed differs between nodes, so that they don't probe a request at the same time.
	Seed uint64
}

// DefaultConfig returns the default values documented at the fields.
func DefaultConfig() Config {
	return Config{
		QuarantineAfter:  2,
		Probes:           []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute},
		AnsweredLifetime: time.Second,
		Retention:        time.Hour,
		ClearedRetention: time.Minute,
		MaxRecords:       2048,
	}
}
