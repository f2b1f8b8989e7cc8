package link

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load of the replay: downloads at replayLoad times the rate beside short responses.
const (
	replayMbps      = 16.0
	replayDownload  = 90 << 10
	replayShort     = 2 << 10
	replayShorts    = 40 // a second
	replayLoad      = 1.5
	replayObjective = 500 * time.Millisecond
	shortObjective  = 100 * time.Millisecond
	replayStep      = 250 * time.Microsecond
	replayDuration  = 60 * time.Second
	replayRun       = 0.04     // seconds, mean run time of a download
	sendBuffer      = 20 << 10 // of a connection, in bytes
	framing         = 1.06     // bytes on the wire per byte of payload
)

// replayConn is one response on its way.
type replayConn struct {
	started  time.Time
	ready    time.Time // when its request has run
	due      time.Time
	transfer *Transfer // nil for a short response
	commit   *Commitment
	left     int64 // bytes not yet written
	queued   float64
	blocked  int64 // bytes of a write in progress that the send buffer does not take yet
}

// segment is a part of a response in the queue of the link.
type segment struct {
	conn  *replayConn
	bytes float64
}

// replay simulates a link on which all connections share one queue.
type replay struct {
	t           *testing.T
	link        *Link
	rnd         *rand.Rand
	now         time.Time
	trueRate    func(at time.Duration) float64 // bytes of payload a second
	start       time.Time
	admits      bool // Decide decides; otherwise everything is admitted
	conns       []*replayConn
	queue       []segment
	shorts      []time.Duration
	inTimeBytes float64
	late        int
	shortBytes  float64
	maxQueue    float64
}

func newReplay(t *testing.T, admits bool) *replay {
	start := time.Unix(1000, 0)
	return &replay{
		t: t, link: New(replayMbps), rnd: rand.New(rand.NewPCG(1, 2)), now: start, start: start, admits: admits,
		trueRate: func(time.Duration) float64 { return replayMbps * 1e6 / 8 / framing },
	}
}

func (r *replay) run(d time.Duration) {
	perStep := replayLoad * replayMbps * 1e6 / 8 / replayDownload * replayStep.Seconds()
	for r.now.Sub(r.start) < d {
		r.now = r.now.Add(replayStep)
		if r.rnd.Float64() < perStep {
			r.offer()
		}
		if r.rnd.Float64() < replayShorts*replayStep.Seconds() {
			c := &replayConn{started: r.now}
			r.link.Short(r.now, replayShort)
			r.shortBytes += replayShort
			r.queue = append(r.queue, segment{c, replayShort})
			c.queued = replayShort
		}
		r.drain()
		r.write()
	}
}

// offer asks for admission of a download.
func (r *replay) offer() {
	ready := seconds(replayRun * r.rnd.ExpFloat64())
	if r.admits && !r.link.Decide(r.now, replayDownload, seconds(replayRun), replayObjective).Fits {
		return
	}
	r.conns = append(r.conns, &replayConn{
		started: r.now, ready: r.now.Add(ready), due: r.now.Add(replayObjective), left: replayDownload, commit: r.link.Commit(replayDownload),
	})
}

// drain takes what the link carries in a step out of its queue.
func (r *replay) drain() {
	bytes := r.trueRate(r.now.Sub(r.start)) * replayStep.Seconds()
	for len(r.queue) > 0 && bytes > 0 {
		head := &r.queue[0]
		n := min(head.bytes, bytes)
		head.bytes, head.conn.queued, bytes = head.bytes-n, head.conn.queued-n, bytes-n
		if head.bytes > 0 {
			return
		}
		r.queue = r.queue[1:]
		r.arrived(head.conn)
	}
}

func (r *replay) arrived(c *replayConn) {
	switch {
	case c.queued > 0 || c.left > 0 || c.blocked > 0:
	case c.transfer == nil:
		r.shorts = append(r.shorts, r.now.Sub(c.started))
	case r.now.After(c.due):
		r.late++
	default:
		r.inTimeBytes += replayDownload
	}
}

// write ends writes that the send buffers take, and starts those that the link grants.
func (r *replay) write() {
	for _, c := range r.conns {
		if c.transfer == nil && !c.ready.After(r.now) {
			c.transfer = r.link.Begin(c.started.String(), c.commit)
			r.link.Await(c.transfer)
		}
		if c.transfer != nil && c.blocked > 0 && c.queued+float64(c.blocked) <= sendBuffer {
			r.queue = append(r.queue, segment{c, float64(c.blocked)})
			c.queued += float64(c.blocked)
			c.blocked = 0
			r.link.WriteEnded(r.now, c.transfer)
			r.link.Await(c.transfer)
		}
	}
	for {
		t, _ := r.link.Next(r.now)
		if t == nil {
			break
		}
		c := r.conns[slices.IndexFunc(r.conns, func(c *replayConn) bool { return c.transfer == t })]
		c.blocked = min(t.Granted(), c.left)
		c.left -= c.blocked
		r.link.WriteStarted(r.now, t, c.blocked)
	}
	r.conns = slices.DeleteFunc(r.conns, func(c *replayConn) bool {
		done := c.left == 0 && c.blocked == 0
		if done {
			r.link.End(r.now, c.transfer)
			c.commit.Release()
		}
		return done
	})
	queued := 0.0
	for _, s := range r.queue {
		queued += s.bytes
	}
	r.maxQueue = max(r.maxQueue, queued/r.trueRate(r.now.Sub(r.start)))
}

func (r *replay) shortP99() time.Duration {
	slices.Sort(r.shorts)
	return r.shorts[int(math.Ceil(0.99*float64(len(r.shorts))))-1]
}

// usedShare returns the share of the rate, less what short messages take, that was used
// for downloads complete within their objective.
func (r *replay) usedShare() float64 {
	available := r.link.rate.nominal*r.now.Sub(r.start).Seconds() - r.shortBytes
	return r.inTimeBytes / available
}

// Downloads for half as much again as the link carries: without admission nearly all of
// them are late, and without pacing short responses wait behind them.
func TestReplayOverloadedLink(t *testing.T) {
	r := newReplay(t, true)
	r.run(replayDuration)
	t.Logf("with admission: used %.3f, late %d, short p99 %v, longest queue %.1f ms", r.usedShare(), r.late, r.shortP99(), 1000*r.maxQueue)
	assert.Assert(t, r.usedShare() >= 0.9, "%.3f of the rate used", r.usedShare())
	assert.Assert(t, r.shortP99() < shortObjective, "p99 %v", r.shortP99())
	assert.Assert(t, r.maxQueue < 0.03, "queue of %.1f ms", 1000*r.maxQueue)
	all := newReplay(t, false)
	all.run(replayDuration)
	t.Logf("without admission: used %.3f, late %d, short p99 %v", all.usedShare(), all.late, all.shortP99())
	assert.Assert(t, r.usedShare() > all.usedShare())
}

// A link that drops for three seconds, to a thirtieth at most: the rate follows, so that
// no more than a few send buffers are queued, and soon afterwards the downloads are served
// as before.
func TestReplayLinkDrops(t *testing.T) {
	for _, factor := range []float64{10, 30} {
		r := newReplay(t, true)
		full := r.trueRate(0)
		r.trueRate = func(at time.Duration) float64 {
			if at > 5*time.Second && at < 8*time.Second {
				return full / factor
			}
			return full
		}
		r.run(7500 * time.Millisecond)
		assert.Assert(t, r.link.Rate(r.now) < 3*full/factor, "1/%v: rate %.0f", factor, r.link.Rate(r.now))
		queued := r.maxQueue * full / factor
		assert.Assert(t, queued < 12*sendBuffer, "1/%v: %.0f bytes queued", factor, queued)
		d := r.link.Decide(r.now, replayDownload, 0, replayObjective)
		assert.Assert(t, !d.Fits && d.RetryAfter < 2*time.Second, "1/%v: %+v", factor, d)
		r.run(9500 * time.Millisecond)
		assert.Equal(t, r.link.Rate(r.now), r.link.rate.nominal)
		r.inTimeBytes, r.shortBytes = 0, 0
		begin := r.now
		r.run(20 * time.Second)
		used := r.inTimeBytes / (r.link.rate.nominal*r.now.Sub(begin).Seconds() - r.shortBytes)
		assert.Assert(t, used >= 0.9, "1/%v: %.3f of the rate used after the drop", factor, used)
	}
}
