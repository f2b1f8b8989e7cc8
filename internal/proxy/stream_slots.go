package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
)

// keptSlotsShare is the share of the upstream's slots, 1/keptSlotsShare rounded down, that
// requests whose bodies stream can't hold while these arrive. A sender may take any
// time for its body; other requests still get these slots.
const keptSlotsShare = 4

// streamSlots returns how many of the slots of an upstream may be held by requests whose
// bodies are arriving; one at least.
func streamSlots(slots int) int { return max(1, slots-slots/keptSlotsShare) }

// limitStreams adapts the limit on arriving bodies to the number of slots. Bodies that
// hold a place under the earlier limit release it there.
func (b *Backend) limitStreams(slots int) {
	if l := b.streamLimiter.Load(); l == nil || cap(l.slots) != streamSlots(slots) {
		b.streamLimiter.Store(newTransferLimiter(streamSlots(slots)))
	}
}

// acquireStream takes a place for a body that is withheld until admission.
func (c *backendCall) acquireStream(ctx context.Context) *Problem {
	if !c.env.AwaitsAdmission {
		return nil
	}
	limiter := c.b.streamLimiter.Load()
	if !limiter.acquire(ctx, c.maxTransferWait()) {
		return admissionProblem(c.b.gate.Refusal(admission.ReasonBusy))
	}
	acquired := clock.Now()
	c.releaseStream = sync.OnceFunc(func() { limiter.release(clock.Since(acquired)) })
	c.req.Body = &streamedBody{ReadCloser: c.req.Body, release: c.releaseStream}
	return nil
}

// maxTransferWait returns how long a body may wait for its turn to be transferred.
func (c *backendCall) maxTransferWait() time.Duration {
	if c.env.NoWait {
		return 0
	}
	if d, bounded := c.b.maxWait(c.env); bounded {
		return d
	}
	return c.env.Timeout
}

// endStream releases the place of a streamed body, if the call has one.
func (c *backendCall) endStream() {
	if c.releaseStream != nil {
		c.releaseStream()
	}
}

// streamedBody is a body that holds a place until it has been read to its end.
type streamedBody struct {
	io.ReadCloser
	release func()
}

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.release()
	}
	return n, err
}
