package link

import (
	"slices"
	"time"
)

const (
	// maxActive is the number of long transfers that are in progress at once. One fills the
	// link, the others use it while that one waits for its source or its reader.
	maxActive = 3
	// stallTime is how long a write may block until its transfer no longer counts against
	// maxActive: then its reader does not read, and others may use the link.
	stallTime = 10 * chunkTime
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
	written      int64
	writeStarted time.Time
	sentBefore   int64 // Link.sent when the write started
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
// transfer. If none may, it returns nil and the time after which to call again; 0 means
// that the next call of another method decides.
func (l *Link) Next(now time.Time) (*Transfer, time.Duration) {
	l.refill(now)
	l.observeBlocked(now)
	active, again := l.active(now)
	for _, t := range l.transfers {
		if t.state != awaiting || !t.started && active >= maxActive {
			continue
		}
		chunk := l.chunk(now)
		if missing := chunk - l.tokens; missing > 0 {
			return nil, seconds(missing/l.Rate(now)) + time.Microsecond
		}
		l.tokens -= chunk
		t.state, t.started, t.granted = granted, true, int64(chunk)
		return t, 0
	}
	if slices.ContainsFunc(l.transfers, func(t *Transfer) bool { return t.state == awaiting }) {
		return nil, again
	}
	return nil, 0
}

// chunk returns the size of the next chunk in bytes.
func (l *Link) chunk(now time.Time) float64 {
	return max(chunkTime.Seconds()*l.Rate(now), minChunk)
}

// active returns the number of transfers in progress that are not stalled, and the time
// until the next of them may become stalled; 0 if none is writing.
func (l *Link) active(now time.Time) (n int, untilStalled time.Duration) {
	for _, t := range l.transfers {
		if !t.started {
			continue
		}
		if t.state == writing {
			left := t.writeStarted.Add(stallTime).Sub(now)
			if left <= 0 {
				continue
			}
			if untilStalled == 0 || left < untilStalled {
				untilStalled = left
			}
		}
		n++
	}
	return n, untilStalled
}

// WriteStarted records that n bytes of the granted chunk are being written; the rest of
// the chunk is returned.
func (l *Link) WriteStarted(now time.Time, t *Transfer, n int64) {
	l.tokens += float64(t.granted - n)
	t.state, t.granted = writing, n
	t.writeStarted, t.sentBefore = now, l.sent
}

// WriteEnded records that the chunk has been written. It does nothing for a transfer that
// isn't writing.
func (l *Link) WriteEnded(now time.Time, t *Transfer) {
	if t.state != writing {
		return
	}
	l.sent += t.granted
	l.observe(now, t)
	t.state = idle
	t.written += t.granted
	t.commitment.Sent(t.granted)
}

// observeBlocked records the writes in progress that take longer than the rate allows.
func (l *Link) observeBlocked(now time.Time) {
	for _, t := range l.transfers {
		if t.state == writing && now.Sub(t.writeStarted) > l.rate.allows(now, t.granted) {
			l.observe(now, t)
		}
	}
}

// observe derives from the time that a write has taken until now whether the link is
// slow.
func (l *Link) observe(now time.Time, t *Transfer) {
	took := now.Sub(t.writeStarted)
	if took > l.rate.allows(now, t.granted) {
		l.rate.slow(now, t.writeStarted, t.peer, float64(l.sent-t.sentBefore)/took.Seconds())
		return
	}
	if t.written >= kernelBuffer && took <= seconds(float64(t.granted)/l.Rate(now))+quickMargin {
		l.rate.quick(now)
	}
}
