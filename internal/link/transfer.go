package link

import (
	"slices"
	"time"
)

const (
	// maxActive is the number of long transfers that are in progress at once. One fills the
	// link, the others use it while that one waits for its source or its reader.
	maxActive = 3
	// stallTime is how long a transfer may wait for its source or its reader until it no
	// longer counts against maxActive, so that others may use the link.
	stallTime = 10 * chunkTime
	// slowStallTime replaces stallTime for readers while the link counts as slow. Further
	// transfers would only fill their send buffers, in front of the short messages.
	slowStallTime = slowWindow
	// kernelBuffer is the number of bytes, in a connection's send buffer, that a write
	// succeeds with although none of them is sent. It is an upper bound.
	kernelBuffer = 64 << 10
)

// state is the state of a transfer.
type state int

const (
	idle     state = iota // nothing has been requested
	awaiting              // waits for a chunk
	granted               // has a chunk and reads it from the source
	writing               // a chunk is being written
)

// Transfer is one long transfer in progress.
type Transfer struct {
	peer         string
	commitment   *Commitment
	state        state
	started      bool  // got a chunk
	granted      int64 // bytes of the chunk that was granted last
	grantedAt    time.Time
	written      int64
	writeStarted time.Time
	sentBefore   int64     // Link.sent when the write started
	overdueSeen  time.Time // when the write was first seen to be overdue; zero if it was not
}

// Granted returns the number of bytes that the transfer may write now.
func (t *Transfer) Granted() int64 { return t.granted }

// Begin adds a transfer to the given peer, in the order in which the requests were
// admitted: Decide assumed that those admitted earlier go first. The commitment falls with
// each chunk written; the caller releases the rest.
func (l *Link) Begin(peer string, c *Commitment) *Transfer {
	t := &Transfer{peer: peer, commitment: c}
	i := len(l.transfers)
	for i > 0 && l.transfers[i-1].commitment.order > c.order {
		i--
	}
	l.transfers = slices.Insert(l.transfers, i, t)
	return t
}

// End removes a transfer, whether it is complete or not.
func (l *Link) End(now time.Time, t *Transfer) {
	l.WriteEnded(now, t)
	if t.state == granted {
		l.tokens += float64(t.granted)
	}
	t.state = idle
	if i := slices.Index(l.transfers, t); i >= 0 {
		l.transfers = slices.Delete(l.transfers, i, i+1)
	}
}

// Await requests a chunk for the transfer; Next grants it.
func (l *Link) Await(t *Transfer) { t.state = awaiting }

// Next grants a chunk to the first transfer that may write one now, and returns that
// transfer. If none may, it returns nil and the time after which to call again, to grant a
// chunk or to observe a write; 0 means that the next call of another method decides.
func (l *Link) Next(now time.Time) (*Transfer, time.Duration) {
	l.refill(now)
	again := l.observeBlocked(now)
	active, untilStalled := l.active(now)
	for _, t := range l.transfers {
		if t.state != awaiting || !t.started && active >= maxActive {
			continue
		}
		chunk := l.chunk(now)
		if wait := l.untilRoom(now, chunk); wait > 0 {
			return nil, earlier(again, wait)
		}
		l.tokens -= chunk
		l.grantedAt = now
		t.state, t.started, t.granted, t.grantedAt = granted, true, int64(chunk), now
		return t, 0
	}
	return nil, earlier(again, untilStalled)
}

// earlier returns the lesser of two durations, of which 0 means none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// untilRoom returns the time until the link has room for a chunk; 0 if it has.
func (l *Link) untilRoom(now time.Time, chunk float64) time.Duration {
	missing := chunk - l.tokens
	pause := now.Sub(l.grantedAt)
	if missing <= 0 || pause >= longestPause {
		return 0
	}
	return min(seconds(missing/l.Rate(now))+time.Microsecond, longestPause-pause)
}

// chunk returns the size of the next chunk in bytes.
func (l *Link) chunk(now time.Time) float64 {
	return max(chunkTime.Seconds()*l.Rate(now), minChunk)
}

// active returns the number of transfers in progress that are not stalled, and the time
// until the next of them may become stalled; 0 if none can.
func (l *Link) active(now time.Time) (n int, untilStalled time.Duration) {
	for _, t := range l.transfers {
		if !t.started {
			continue
		}
		if at, ok := l.stallsAt(now, t); ok {
			left := at.Sub(now)
			if left <= 0 {
				continue
			}
			untilStalled = earlier(untilStalled, left)
		}
		n++
	}
	return n, untilStalled
}

// stallsAt returns when a transfer that waits for its source or its reader counts as
// stalled; false if it waits for neither.
func (l *Link) stallsAt(now time.Time, t *Transfer) (time.Time, bool) {
	switch {
	case t.state == granted:
		return t.grantedAt.Add(stallTime), true
	case t.state == writing && l.rate.isSlow(now):
		return t.writeStarted.Add(slowStallTime), true
	case t.state == writing:
		return t.writeStarted.Add(stallTime), true
	}
	return time.Time{}, false
}

// WriteStarted records that n bytes of the granted chunk are being written; the rest of
// the chunk is returned.
func (l *Link) WriteStarted(now time.Time, t *Transfer, n int64) {
	l.tokens += float64(t.granted - n)
	t.state, t.granted = writing, n
	t.writeStarted, t.sentBefore, t.overdueSeen = now, l.sent, time.Time{}
}

// WriteEnded records that the chunk has been written. It does nothing for a transfer that
// isn't writing.
func (l *Link) WriteEnded(now time.Time, t *Transfer) {
	if t.state != writing {
		return
	}
	l.sent += t.granted
	l.observeEnd(now, t)
	t.state = idle
	t.written += t.granted
	t.commitment.Transferred(t.granted)
}

// observeBlocked records the writes in progress that take longer than the rate allows. It
// returns the time after which it must be called again; 0 if nothing is being written.
func (l *Link) observeBlocked(now time.Time) (again time.Duration) {
	for _, t := range l.transfers {
		if t.state != writing {
			continue
		}
		left := l.rate.allows(now, t.granted) - now.Sub(t.writeStarted)
		if left <= 0 {
			l.observeOverdue(now, t)
			left = confirmTime
		}
		again = earlier(again, left)
	}
	return again
}

// observeOverdue records that a write takes longer than the rate allows, if this has been
// seen before.
func (l *Link) observeOverdue(now time.Time, t *Transfer) {
	if t.overdueSeen.IsZero() {
		t.overdueSeen = now
	}
	if now.Sub(t.overdueSeen) >= confirmTime {
		carried := float64(l.sent-t.sentBefore) / now.Sub(t.writeStarted).Seconds()
		l.rate.slow(now, t.writeStarted, t.peer, carried)
	}
}

// observeEnd records a write that the link has carried in time.
func (l *Link) observeEnd(now time.Time, t *Transfer) {
	allowed := seconds(float64(t.granted)/l.Rate(now)) + quickMargin
	if t.granted > 0 && t.written >= kernelBuffer && now.Sub(t.writeStarted) <= allowed {
		l.rate.quick(now)
	}
}
