package link

import (
	"math"
	"time"
)

// LongThreshold is the length, in bytes, from which a message is a long transfer.
// Shorter ones fit into a few packets and are never delayed.
const LongThreshold = 8 << 10

const (
	// chunkTime is the time that the link takes for one chunk of a long transfer. A short
	// message waits for about one chunk.
	chunkTime = 5 * time.Millisecond
	// maxBurst is the time for which unused capacity is kept. It makes up for timers that
	// fire late, and bounds what the kernel queues.
	maxBurst = 3 * chunkTime
	// maxDebt bounds, as time of the link, how far short messages may overdraw the tokens.
	// The link has not carried what exceeds it either, so long transfers need not make up
	// for that.
	maxDebt = 250 * time.Millisecond
	// minChunk is the least chunk, in bytes: the payload of one full packet.
	minChunk = 1448
	// shortSmoothing is the time constant over which the rate of short messages is smoothed.
	// It spans many of them, and is as long as a link takes to change.
	shortSmoothing = time.Second
	// leastLongShare is the share of the rate that is assumed to be available to long
	// transfers, however many short messages there are: a chunk in each longestPause.
	leastLongShare = 0.1
	// longestPause is the longest time between two chunks, which leaves leastLongShare.
	longestPause = time.Duration(float64(chunkTime) / leastLongShare)
	// negligibleBacklog is the backlog that pacing itself leaves in the kernel's queue. It
	// does not count as a wait.
	negligibleBacklog = 2 * chunkTime
)

// Link is one direction of a machine's link.
type Link struct {
	rate      rate
	tokens    float64 // bytes that may be sent now; negative after short messages
	refilled  time.Time
	shortRate float64 // smoothed bytes of short messages per second, as of refilled
	committed int64   // bytes that admitted requests still need
	commits   uint64  // commitments made
	sent      int64   // bytes handed to the kernel, short messages included
	transfers []*Transfer
	grantedAt time.Time // last chunk
}

// New returns a link of the given nominal rate in Mbit/s, which must be positive.
func New(mbps float64) *Link { return &Link{rate: newRate(mbps)} }

// Rate returns the rate that is assumed now, in bytes per second.
func (l *Link) Rate(now time.Time) float64 { return l.rate.at(now) }

// Short counts a short message of n bytes, which is sent at once.
func (l *Link) Short(now time.Time, n int64) {
	l.refill(now)
	l.sent += n
	l.shortRate += float64(n) / shortSmoothing.Seconds()
	l.tokens = max(l.tokens-float64(n), -maxDebt.Seconds()*l.Rate(now))
}

func (l *Link) refill(now time.Time) {
	r := l.Rate(now)
	most := max(maxBurst.Seconds()*r, minChunk)
	if l.refilled.IsZero() {
		l.tokens = most
	}
	passed := max(now.Sub(l.refilled).Seconds(), 0)
	l.tokens = min(l.tokens+passed*r, most)
	l.shortRate *= math.Exp(-passed / shortSmoothing.Seconds())
	l.refilled = now
}

// available returns the bytes per second that short messages leave to long transfers.
func (l *Link) available(now time.Time) float64 {
	r := l.Rate(now)
	return max(r-l.shortRate, r*leastLongShare)
}

// Commitment is the bytes that one admitted request still needs of a link. It is used
// only together with its link.
type Commitment struct {
	link  *Link
	order uint64 // of admission
	left  int64
}

// Commit counts n bytes until they are sent or the commitment is released.
func (l *Link) Commit(n int64) *Commitment {
	l.commits++
	c := &Commitment{link: l, order: l.commits}
	c.Resize(n)
	return c
}

// Resize changes the bytes still needed to n.
func (c *Commitment) Resize(n int64) {
	n = max(n, 0)
	c.link.committed += n - c.left
	c.left = n
}

// Transferred subtracts n bytes that have passed the link.
func (c *Commitment) Transferred(n int64) { c.Resize(c.left - n) }

// Release ends the commitment. Releasing it again does nothing.
func (c *Commitment) Release() { c.Resize(0) }

// Backlog returns the time that the link needs for all that is committed and for the
// short messages that are ahead of it.
func (l *Link) Backlog(now time.Time) time.Duration {
	l.refill(now)
	return seconds((float64(l.committed) + max(-l.tokens, 0)) / l.available(now))
}

// Wait returns how long a long transfer that is ready after the given time is delayed
// beyond that by the backlog.
func (l *Link) Wait(now time.Time, ready time.Duration) time.Duration {
	backlog := l.Backlog(now)
	if backlog <= negligibleBacklog {
		return 0
	}
	return min(max(backlog-ready, 0), l.longestDrain(now))
}

// longestDrain returns the time after which the backlog is expected to have drained at the
// latest. A link that counts as slow is expected to have its nominal rate again after
// restoreTime: it is slow for seconds only, so its present rate says little about later.
func (l *Link) longestDrain(now time.Time) time.Duration {
	if l.rate.isSlow(now) {
		return seconds(float64(l.committed)/l.rate.nominal) + restoreTime
	}
	return l.Backlog(now)
}

// Decision says whether a transfer fits, with the inputs.
type Decision struct {
	Fits bool
	// RetryAfter is the time until the backlog has drained enough; 0 if the transfer fits.
	RetryAfter time.Duration
	Backlog    time.Duration // before the transfer
	Transfer   time.Duration // the time that the link takes for the transfer itself
	Left       time.Duration // until when the transfer should be complete
	Rate       float64       // bytes per second that short messages leave
}

// Decide tells whether a transfer of size bytes that is ready after the given time can be
// complete within left: it is complete at max(ready, backlog) + size/rate, and the last
// chunk has passed the kernel's queue a moment later.
//
// A transfer that would be late even without a backlog fits unless the backlog delays it
// further. Without that delay a later attempt would be just as late.
func (l *Link) Decide(now time.Time, size int64, ready, left time.Duration) Decision {
	l.observeBlocked(now)
	d := Decision{Backlog: l.Backlog(now), Left: left, Rate: l.available(now)}
	d.Transfer = seconds(float64(size)/d.Rate) + negligibleBacklog
	d.RetryAfter = min(max(d.Backlog-max(ready, left-d.Transfer), 0), l.longestDrain(now))
	d.Fits = d.RetryAfter == 0 || d.Backlog <= negligibleBacklog
	if d.Fits {
		d.RetryAfter = 0
	}
	return d
}
