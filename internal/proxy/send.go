package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/overload"
)

// sendFrom is the length of an answer from which it waits for its turn on the
// link, in bytes: shorter ones go out with a packet or a few.
const sendFrom = 8 << 10

// answerLimit is the longest answer that is read to its end now.
func (b *Backend) answerLimit() int64 {
	if b.sender == nil || b.kept.Load() >= b.cfg.SendBufferTotal {
		return b.cfg.ResponseBufferLimit
	}
	return max(b.cfg.SendBufferLimit, b.cfg.ResponseBufferLimit)
}

// inTurn returns the answer's body such that a long one to another node waits for
// its turn on the link.
func (c *backendCall) inTurn(resp *http.Response) io.ReadCloser {
	if c.b.sender == nil {
		return resp.Body
	}
	length := resp.ContentLength
	c.b.learnSize(c.env.Kind, length)
	if !c.remote || length < sendFrom {
		return resp.Body
	}
	c.b.kept.Add(length)
	return &sentBody{ReadCloser: resp.Body, c: c, length: length}
}

// sentBody is a long answer that takes a place on the link with its first byte.
type sentBody struct {
	io.ReadCloser
	c      *backendCall
	length int64
	began  time.Time // when it got its place; zero before
	failed error
	ended  bool
}

// Read waits for a place before it gives the first byte.
func (s *sentBody) Read(p []byte) (int, error) {
	if s.began.IsZero() && s.failed == nil {
		s.enter()
	}
	if s.failed != nil {
		return 0, s.failed
	}
	return s.ReadCloser.Read(p)
}

func (s *sentBody) enter() {
	left := clock.Until(s.c.start.Add(s.c.env.Timeout))
	if !s.c.b.sender.enter(s.c.req.Context(), left) {
		s.failed = context.DeadlineExceeded
		return
	}
	s.began = clock.Now()
}

// Close gives the place back.
func (s *sentBody) Close() error {
	if !s.ended {
		s.ended = true
		s.c.b.kept.Add(-s.length)
		if !s.began.IsZero() {
			s.c.b.sender.leave(clock.Since(s.began))
		}
	}
	return s.ReadCloser.Close()
}

// learnSize takes the length of an answer into those of its kind; negative
// lengths are not known.
func (b *Backend) learnSize(kind string, length int64) {
	if length < 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes.Observe(kind, length)
}

// sendWait is how long an answer of the kind is expected to wait for its turn on
// the link.
func (b *Backend) sendWait(kind string) time.Duration {
	if b.sender == nil {
		return 0
	}
	b.mu.Lock()
	size := b.sizes.Mean(kind)
	b.mu.Unlock()
	if size < sendFrom {
		return 0
	}
	return b.sender.wait()
}

// linkFull refuses a request whose answer would wait for the link past the
// objective, before it takes a slot.
func (c *backendCall) linkFull() *Problem {
	if !c.remote || c.env.Objective == nil {
		return nil
	}
	wait := c.b.sendWait(c.env.Kind)
	if wait == 0 || wait+c.b.runTime(c.env.Kind, overload.SafeRunQuantile) <= c.env.Objective.Left {
		return nil
	}
	return refusedBy(admission.Verdict{Reason: admission.ReasonLink, RetryAfter: wait})
}
