package admission

import "time"

// WaitBound is how long a request should wait for a slot at an upstream before another
// upstream is a better choice. The zero value is no bound.
type WaitBound struct {
	// Worthwhile is the longest wait that is worthwhile. It includes RoundTrip.
	Worthwhile time.Duration
	// RoundTrip is the time from the sender of the request to the node and back.
	RoundTrip time.Duration
}
