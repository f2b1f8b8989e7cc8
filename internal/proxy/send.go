package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/link"
	"github.com/walldrift/walldrift/internal/overload"
)

// sendThreshold is the response length, in bytes, from which a response waits for the
// send limiter.
const sendThreshold = link.LongThreshold

// responseBufferLimit returns the longest response that is buffered now, in bytes.
func (b *Backend) responseBufferLimit() int64 {
	if b.sendLimiter == nil && b.cfg.Links == nil || b.sendBuffered.Load() >= b.cfg.SendBufferTotal {
		return b.cfg.ResponseBufferLimit
	}
	return max(b.cfg.SendBufferLimit, b.cfg.ResponseBufferLimit)
}

// limitSend returns the response's body; that of a long response to another node waits
// for the send limiter.
func (c *backendCall) limitSend(resp *http.Response) io.ReadCloser {
	if c.b.cfg.Links != nil {
		return c.pace(resp)
	}
	if c.b.sendLimiter == nil {
		return resp.Body
	}
	length := resp.ContentLength
	c.b.observeResponseSize(c.env.Kind, length)
	if !c.remote || length < sendThreshold {
		return resp.Body
	}
	return c.limitedBody(resp.Body, length)
}

// limitedBody returns the body of a long response that waits for the send limiter.
func (c *backendCall) limitedBody(body io.ReadCloser, length int64) *limitedSend {
	c.b.sendBuffered.Add(length)
	return &limitedSend{ReadCloser: body, c: c, length: length}
}

// limitedSend is the body of a long response. It takes a slot of the send limiter when
// it is first read.
type limitedSend struct {
	io.ReadCloser
	c         *backendCall
	length    int64
	sendStart time.Time // when it got its slot; zero before
	err       error
	closed    bool
}

// Read waits for a slot of the send limiter before it returns the first byte.
func (s *limitedSend) Read(p []byte) (int, error) {
	if s.sendStart.IsZero() && s.err == nil {
		s.acquire()
	}
	if s.err != nil {
		return 0, s.err
	}
	return s.ReadCloser.Read(p)
}

func (s *limitedSend) acquire() {
	remaining := clock.Until(s.c.start.Add(s.c.env.Timeout))
	if !s.c.b.sendLimiter.acquire(s.c.req.Context(), remaining) {
		s.err = context.DeadlineExceeded
		return
	}
	s.sendStart = clock.Now()
}

// Close releases the slot.
func (s *limitedSend) Close() error {
	if !s.closed {
		s.closed = true
		s.c.b.sendBuffered.Add(-s.length)
		if !s.sendStart.IsZero() {
			s.c.b.sendLimiter.release(clock.Since(s.sendStart))
		}
	}
	return s.ReadCloser.Close()
}

// observeResponseSize adds a response's length to the statistics of its kind. A
// negative length is unknown and ignored.
func (b *Backend) observeResponseSize(kind string, length int64) {
	if length < 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responseSizes.Observe(kind, length)
}

// expectedSendWait returns how long a response of the kind is expected to wait for the
// send limiter.
func (b *Backend) expectedSendWait(kind string) time.Duration {
	if b.sendLimiter == nil {
		return 0
	}
	b.mu.Lock()
	size := b.responseSizes.Mean(kind)
	b.mu.Unlock()
	if size < sendThreshold {
		return 0
	}
	return b.sendLimiter.expectedWait()
}

// refuseFullLink refuses a request whose response would wait for the link beyond the
// objective deadline, before the request takes a slot.
func (c *backendCall) refuseFullLink() *Problem {
	if c.b.cfg.Links != nil {
		return c.commitResponse()
	}
	if !c.remote || c.env.Objective == nil {
		return nil
	}
	wait := c.b.expectedSendWait(c.env.Kind)
	if wait == 0 || wait+c.b.runTimeQuantile(c.env.Kind, overload.SafeRunQuantile) <= c.env.Objective.Left {
		return nil
	}
	return admissionProblem(admission.Verdict{Reason: admission.ReasonLink, RetryAfter: wait})
}
