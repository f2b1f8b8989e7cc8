package proxy

import (
	"sync"
	"time"
)

const (
	// uncountedBody is the memory of a body, in bytes, that does not count: the bound on the
	// number of connections bounds it.
	uncountedBody = 8 << 10
	// stalledAfter is the time without a byte after which a body may be given up for
	// another one. It is longer than a round trip and a lost packet's retransmission.
	stalledAfter = 500 * time.Millisecond
)

// arrivals bounds the memory of the request bodies that are arriving, from their first
// bytes on. Once the bound is reached, a body that has stalled is given up for one that
// needs memory.
type arrivals struct {
	limit int64 // bytes; 0 for no bound

	mu     sync.Mutex // guards the fields below, and those of each arrival
	held   int64      // bytes
	bodies map[*arrival]struct{}
}

// arrival is a body that is arriving, or a part of one that is kept. Nil stands for that of
// a request without a body.
type arrival struct {
	in         *arrivals
	interrupt  func() // ends the read in progress
	held       int64  // bytes
	progressed time.Time
	givenUp    bool
}

func newArrivals(limit int64) *arrivals {
	return &arrivals{limit: limit, bodies: make(map[*arrival]struct{})}
}

// begin adds a body. interrupt is called if the body is given up.
func (a *arrivals) begin(now time.Time, interrupt func()) *arrival {
	b := &arrival{in: a, interrupt: interrupt, progressed: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies[b] = struct{}{}
	return b
}

// grow reserves memory for a body that needs size bytes now, and reports whether there is
// enough.
func (b *arrival) grow(now time.Time, size int64) bool {
	a := b.in
	a.mu.Lock()
	defer a.mu.Unlock()
	needed := max(size-uncountedBody, 0) - b.held
	for a.limit > 0 && a.held+needed > a.limit {
		if !a.giveUpStalled(now, b) {
			return false
		}
	}
	a.held += needed
	b.held += needed
	return true
}

// giveUpStalled gives up the body that has waited longest for its next byte, and reports
// whether there was one. The caller holds the lock.
func (a *arrivals) giveUpStalled(now time.Time, except *arrival) bool {
	var stalled *arrival
	for b := range a.bodies {
		if b != except && b.held > 0 && !b.givenUp && now.Sub(b.progressed) >= stalledAfter && (stalled == nil || b.progressed.Before(stalled.progressed)) {
			stalled = b
		}
	}
	if stalled == nil {
		return false
	}
	stalled.givenUp = true
	a.held -= stalled.held
	stalled.held = 0
	stalled.interrupt()
	return true
}

// progress records that bytes of the body have arrived.
func (b *arrival) progress(now time.Time) {
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	b.progressed = now
}

// keep keeps the memory reserved, but does not give the body up any more.
func (b *arrival) keep() {
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	delete(b.in.bodies, b)
}

// end releases the memory. It reports whether the body was given up.
func (b *arrival) end() bool {
	if b == nil {
		return false
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	delete(b.in.bodies, b)
	b.in.held -= b.held
	b.held = 0
	return b.givenUp
}
