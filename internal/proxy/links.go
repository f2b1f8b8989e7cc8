package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/link"
	"github.com/walldrift/walldrift/internal/overload"
)

// Links are the two directions of the machine's link. It carries both at its full rate at
// the same time.
type Links struct{ send, receive *machineLink }

// NewLinks returns the directions of a link of the given rate in Mbit/s; nil if the rate
// is not known, which is 0.
func NewLinks(mbps float64, m *Metrics) *Links {
	if mbps <= 0 {
		return nil
	}
	return &Links{send: newMachineLink(mbps, m, "send"), receive: newMachineLink(mbps, m, "receive")}
}

// headBytes is the estimated size of a request or response head between nodes, with the
// headers of the project and the platform and the framing of a short message.
const headBytes = 700

// countReceived counts a request of another node and a short body.
func (l *Links) countReceived(req *http.Request) {
	if l == nil {
		return
	}
	l.receive.short(headBytes + min(max(req.ContentLength, 0), receiveThreshold))
}

// countSent counts a response head, and the body unless it is paced or counted as it is
// sent.
func (l *Links) countSent(resp *http.Response) {
	if l == nil {
		return
	}
	n := int64(headBytes)
	if resp.ContentLength > 0 && resp.ContentLength < link.LongThreshold {
		n += resp.ContentLength
	}
	l.send.short(n)
}

// machineLink guards one direction of a link and wakes the transfers that it grants a
// chunk. No method holds the lock while it waits.
type machineLink struct {
	backlog, rate tally.Gauge

	mu      sync.Mutex // guards the fields below
	link    *link.Link
	waiting map[*link.Transfer]chan struct{} // signalled when the transfer has got a chunk
	timer   *time.Timer                      // calls grant; nil before the first use
}

func newMachineLink(mbps float64, m *Metrics, direction string) *machineLink {
	scope := m.scope.Tagged(map[string]string{"direction": direction})
	l := &machineLink{
		backlog: scope.Gauge("link_backlog_seconds"),
		rate:    scope.Gauge("link_rate_mbit"),
		link:    link.New(mbps),
		waiting: make(map[*link.Transfer]chan struct{}),
	}
	l.report(clock.Now())
	return l
}

// report updates the gauges. The lock must be held once m is shared.
func (m *machineLink) report(now time.Time) {
	m.backlog.Update(m.link.Backlog(now).Seconds())
	m.rate.Update(m.link.Rate(now) * 8 / 1e6)
}

func (m *machineLink) short(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link.Short(clock.Now(), n)
}

// wait returns how long a long transfer that is ready after the given time is delayed by
// the backlog.
func (m *machineLink) wait(ready time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link.Wait(clock.Now(), ready)
}

// transferSize is the size of a long transfer before it is known, in bytes.
type transferSize struct {
	mean int64
	// long is a size that few transfers exceed. A transfer must fit even if it is that
	// long: otherwise half of those that are admitted to a full link are late.
	long int64
}

// expectedSize returns the size of the next response of a kind; zero if unknown.
func expectedSize(sizes *overload.ResponseSizes, kind string) transferSize {
	return transferSize{mean: int64(sizes.Mean(kind)), long: int64(sizes.Long(kind))}
}

// exactly returns the size of a transfer whose length is known.
func exactly(length int64) transferSize { return transferSize{mean: length, long: length} }

// admit commits the mean size if a long transfer can be complete within left, or if left
// is not bounded. Otherwise it returns a nil commitment.
func (m *machineLink) admit(size transferSize, ready, left time.Duration, bounded bool) (*linkCommitment, link.Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	var d link.Decision
	if bounded {
		if d = m.link.Decide(now, size.long, ready, left); !d.Fits {
			m.report(now)
			return nil, d
		}
	}
	c := &linkCommitment{m: m, c: m.link.Commit(size.mean)}
	m.report(now)
	return c, d
}

// linkCommitment is a commitment that may be used from any goroutine. A nil one does
// nothing.
type linkCommitment struct {
	m *machineLink
	c *link.Commitment
}

// resize changes the bytes that are still needed.
func (c *linkCommitment) resize(n int64) {
	if c != nil {
		c.m.update(func(time.Time) { c.c.Resize(n) })
	}
}

// transferred subtracts n bytes that have passed the link.
func (c *linkCommitment) transferred(n int64) {
	if c != nil {
		c.m.update(func(time.Time) { c.c.Transferred(n) })
	}
}

// release ends the commitment; further calls do nothing.
func (c *linkCommitment) release() { c.resize(0) }

// update calls f with the lock held, and then grants chunks and updates the gauges.
func (m *machineLink) update(f func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	f(now)
	m.grant(now)
	m.report(now)
}

// grant wakes the transfers that may write a chunk now, and arms the timer for the next
// ones. The lock must be held.
func (m *machineLink) grant(now time.Time) {
	for {
		t, again := m.link.Next(now)
		if t != nil {
			m.waiting[t] <- struct{}{}
			continue
		}
		if again > 0 {
			m.arm(again)
		}
		return
	}
}

func (m *machineLink) arm(d time.Duration) {
	if m.timer == nil {
		m.timer = time.AfterFunc(d, func() { m.update(func(time.Time) {}) })
		return
	}
	m.timer.Reset(d)
}

// pacedTransfer is one long transfer in progress.
type pacedTransfer struct {
	m     *machineLink
	t     *link.Transfer
	ready chan struct{}
}

// begin adds a transfer to a peer.
func (m *machineLink) begin(peer string, c *linkCommitment) *pacedTransfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &pacedTransfer{m: m, t: m.link.Begin(peer, c.c), ready: make(chan struct{}, 1)}
	m.waiting[p.t] = p.ready
	return p
}

// await records that the last chunk has been written, and waits for the next one. It
// returns the bytes that may be written.
func (p *pacedTransfer) await(ctx context.Context) (int64, error) {
	p.m.update(func(now time.Time) {
		p.m.link.WriteEnded(now, p.t)
		p.m.link.Await(p.t)
	})
	select {
	case <-p.ready:
		p.m.mu.Lock()
		defer p.m.mu.Unlock()
		return p.t.Granted(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// writing records that n bytes of the chunk are written now.
func (p *pacedTransfer) writing(n int64) {
	p.m.update(func(now time.Time) {
		p.m.link.WriteStarted(now, p.t, n)
		if n == 0 {
			p.m.link.WriteEnded(now, p.t)
		}
	})
}

// end removes the transfer; further calls do nothing.
func (p *pacedTransfer) end() {
	p.m.update(func(now time.Time) {
		p.m.link.End(now, p.t)
		delete(p.m.waiting, p.t)
	})
}

// headerLink says, in a refusal because of the link, what the refusal is based on; see
// formatLinkDecision.
const headerLink = "Walldrift-Link"

// formatLinkDecision formats the inputs of a refusal as "cause:backlog/transfer/left/rate",
// times in microseconds and the rate in kbit/s. They are as of the refusal.
func formatLinkDecision(cause string, d link.Decision) string {
	b := append(make([]byte, 0, 64), cause...)
	b = append(b, ':')
	for _, t := range [...]time.Duration{d.Backlog, d.Transfer, d.Left} {
		b = append(strconv.AppendInt(b, t.Microseconds(), 10), '/')
	}
	return string(strconv.AppendInt(b, int64(d.Rate*8/1000), 10))
}
