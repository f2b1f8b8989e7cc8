package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// 16 Mbit/s less a tenth are 1.8 MB a second, so 90 KB take 50 ms.
const testSize = 90_000

// The table has the rule that a refusal needs a backlog which itself makes the transfer
// late: neither an empty link nor a run that is too long refuses anything.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		committed   int64
		ready, left time.Duration
		retryAfter  time.Duration
	}{
		"empty link":                        {0, 40 * time.Millisecond, 200 * time.Millisecond, 0},
		"empty link, objective too short":   {0, 40 * time.Millisecond, 60 * time.Millisecond, 0},
		"backlog ends in time":              {2 * testSize, 40 * time.Millisecond, 200 * time.Millisecond, 0},
		"backlog delays beyond the left":    {4 * testSize, 40 * time.Millisecond, 200 * time.Millisecond, 60 * time.Millisecond},
		"run is longer than the backlog":    {4 * testSize, 300 * time.Millisecond, 200 * time.Millisecond, 0},
		"no time left, backlog is the pace": {testSize / 10, 0, -time.Second, 0},
		"no time left, backlog":             {testSize, 0, -time.Second, 50 * time.Millisecond},
	} {
		l := New(16)
		l.Commit(c.committed)
		d := l.Decide(start, testSize, c.ready, c.left)
		assert.Equal(t, d.RetryAfter, c.retryAfter, name)
		assert.Equal(t, d.Fits, c.retryAfter == 0, name)
	}
}

// A released commitment must not stay in the backlog, however often it is released.
func TestCommitmentsAreReleased(t *testing.T) {
	l := New(16)
	a, b := l.Commit(testSize), l.Commit(testSize)
	assert.Equal(t, l.Backlog(start), 100*time.Millisecond)
	a.Resize(testSize / 2)
	a.Transferred(testSize)
	a.Release()
	assert.Equal(t, l.Backlog(start), 50*time.Millisecond)
	b.Release()
	b.Release()
	assert.Equal(t, l.Backlog(start), time.Duration(0))
}

// grant requests a chunk for each transfer and returns those that got one.
func grant(l *Link, now time.Time, ts ...*Transfer) []*Transfer {
	var granted []*Transfer
	for _, t := range ts {
		l.Await(t)
	}
	for {
		t, _ := l.Next(now)
		if t == nil {
			return granted
		}
		l.WriteStarted(now, t, t.Granted())
		granted = append(granted, t)
	}
}

// Readers that do not read must not stop the link: their transfers hold their places only
// until they are stalled. The others have no places meanwhile.
func TestStalledReadersFreeTheLink(t *testing.T) {
	l := New(16)
	var stalled []*Transfer
	for range maxActive {
		stalled = append(stalled, l.Begin("stalled", l.Commit(testSize)))
	}
	assert.Equal(t, len(grant(l, start, stalled...)), maxActive)
	other := l.Begin("other", l.Commit(testSize))
	assert.Equal(t, len(grant(l, start.Add(20*time.Millisecond), other)), 0)
	_, again := l.Next(start.Add(20 * time.Millisecond))
	assert.Equal(t, again, 5*time.Millisecond) // until their writes are overdue
	assert.Equal(t, len(grant(l, start.Add(stallTime), other)), 1)
	assert.Equal(t, l.Rate(start.Add(stallTime)), l.rate.nominal)
}

// Sources that deliver nothing must not stop the link either: a transfer that has been
// granted a chunk and does not write it holds its place only until it is stalled.
func TestStalledSourcesFreeTheLink(t *testing.T) {
	l := New(16)
	for range maxActive {
		l.Await(l.Begin("a", l.Commit(testSize)))
	}
	other := l.Begin("b", l.Commit(testSize))
	l.Await(other)
	for range maxActive {
		got, _ := l.Next(start)
		assert.Assert(t, got != nil && got != other)
	}
	got, again := l.Next(start)
	assert.Assert(t, got == nil)
	assert.Equal(t, again, stallTime)
	got, _ = l.Next(start.Add(stallTime))
	assert.Assert(t, got == other)
}

// A source that fails delivers no bytes. The write that is left out must not count as one
// that the link carried in time: it would hide that the link is slow.
func TestEmptyWriteShowsNothing(t *testing.T) {
	l := New(16)
	tr := l.Begin("a", l.Commit(testSize))
	tr.written = kernelBuffer
	l.Await(tr)
	got, _ := l.Next(start)
	assert.Assert(t, got == tr)
	l.WriteStarted(start, tr, 0)
	l.WriteEnded(start, tr)
	assert.Assert(t, l.rate.quickAt.IsZero())
}

// Also readers at many machines, which look like a slow link, stop it only for a while.
func TestStalledPeersFreeTheLink(t *testing.T) {
	l := New(16)
	now := start
	for _, p := range "abc" {
		assert.Equal(t, len(grant(l, now, l.Begin(string(p), l.Commit(testSize)))), 1)
	}
	other := l.Begin("other", l.Commit(testSize))
	l.Await(other)
	var got *Transfer
	for got == nil && now.Sub(start) < time.Second {
		now = now.Add(5 * time.Millisecond)
		got, _ = l.Next(now)
	}
	assert.Assert(t, got == other && now.Sub(start) <= slowStallTime, "%v", now.Sub(start))
}

// One slow peer does not lower the rate of the link, two do, and it is restored within a
// second. A pause of the process, after which writes end at once, shows nothing.
func TestRateFollowsSlowWrites(t *testing.T) {
	for name, c := range map[string]struct {
		peers   string
		every   time.Duration // between two observations
		lowered bool
	}{
		"one peer":  {"aa", 5 * time.Millisecond, false},
		"two peers": {"ab", 5 * time.Millisecond, true},
		"pause":     {"ab", 200 * time.Millisecond, false},
	} {
		l := New(16)
		var ts []*Transfer
		for _, p := range c.peers {
			ts = append(ts, l.Begin(string(p), l.Commit(testSize)))
		}
		assert.Equal(t, len(grant(l, start, ts...)), len(ts))
		now := start
		for now.Sub(start) < 200*time.Millisecond {
			now = now.Add(c.every)
			l.Next(now)
		}
		for _, tr := range ts {
			l.End(now, tr)
		}
		assert.Equal(t, l.Rate(now) < l.rate.nominal, c.lowered, name)
		assert.Equal(t, l.Rate(now.Add(restoreTime)), l.rate.nominal)
	}
}

// Short messages are never refused, and what they use is taken off long transfers.
func TestShortMessagesComeFirst(t *testing.T) {
	l := New(16)
	l.refill(start)
	l.Short(start, 45_000) // 25 ms of the link, 10 ms more than it keeps for a burst
	l.grantedAt = start
	tr := l.Begin("a", l.Commit(testSize))
	assert.Equal(t, len(grant(l, start, tr)), 0)
	_, wait := l.Next(start)
	assert.Equal(t, wait.Round(time.Millisecond), 15*time.Millisecond)
	assert.Equal(t, len(grant(l, start.Add(wait), tr)), 1)
}

// Short messages beyond the rate of the link must not stop long transfers.
func TestShortMessagesLeaveAShare(t *testing.T) {
	l := New(16)
	now := start
	tr := l.Begin("a", l.Commit(testSize))
	chunks := 0
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		l.Short(now, 20_000) // more than twice the rate
		chunks += len(grant(l, now, tr))
		l.WriteEnded(now, tr)
	}
	assert.Assert(t, chunks >= 20, "%d chunks of 5 ms in a second", chunks)
}
