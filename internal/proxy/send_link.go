package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/link"
	"github.com/walldrift/walldrift/internal/overload"
)

// Causes of refusals with reason link-full.
const (
	linkCauseResponse = "response"         // the response would leave through a full link
	linkCauseAwaited  = "awaited-response" // the response would arrive through a full link
	linkCauseBody     = "request-body"     // the body would arrive through a full link
)

// linkProblem returns the refusal of a request whose transfer does not fit.
func (m *Metrics) linkProblem(cause string, d link.Decision) *Problem {
	m.linkRefusals.get(cause).Inc(1)
	// Retry-After is sent in whole milliseconds; it is rounded up, so that a retry is not
	// too early.
	p := admissionProblem(admission.Verdict{Reason: admission.ReasonLink, RetryAfter: d.RetryAfter + time.Millisecond - 1})
	p.link = formatLinkDecision(cause, d)
	return p
}

// commitResponse commits the link to the response of a request whose kind has long
// responses, or refuses the request if the response can't be complete within its
// objective.
func (c *backendCall) commitResponse() *Problem {
	size := c.b.responseSize(c.env.Kind)
	if !c.remote || size.mean < link.LongThreshold || c.req.Method == http.MethodHead {
		return nil
	}
	var left time.Duration
	if c.env.Objective != nil {
		left = c.env.Objective.Left - clock.Since(c.start)
	}
	run := c.b.runTimeQuantile(c.env.Kind, overload.SafeRunQuantile)
	commitment, d := c.b.cfg.Links.send.admit(size, run, left, c.env.Objective != nil)
	if commitment == nil {
		return c.b.metrics.linkProblem(linkCauseResponse, d)
	}
	c.sending = commitment
	return nil
}

// responseSize returns the response size of a kind; zero if unknown.
func (b *Backend) responseSize(kind string) transferSize {
	b.mu.Lock()
	defer b.mu.Unlock()
	return expectedSize(b.responseSizes, kind)
}

// waitWithLink returns the expected wait of a kind: that for a slot, or that for the link
// if the response is delayed longer by it.
func (b *Backend) waitWithLink(kind string, forSlot time.Duration) time.Duration {
	if b.cfg.Links == nil {
		return forSlot + b.expectedSendWait(kind)
	}
	if b.responseSize(kind).mean < link.LongThreshold {
		return forSlot
	}
	return max(forSlot, b.cfg.Links.send.wait(b.runTimeQuantile(kind, overload.SafeRunQuantile)))
}

// pace returns the body of a response; a long one to another node is written as the link
// has room for it, if responses of its kind are long on the mean. A long response of another
// kind is an exception that the link is not planned for; it waits for the send limiter.
func (c *backendCall) pace(resp *http.Response) io.ReadCloser {
	length := resp.ContentLength
	if c.req.Method == http.MethodHead {
		return resp.Body
	}
	c.b.observeResponseSize(c.env.Kind, length)
	if !c.remote {
		return resp.Body
	}
	long := length >= link.LongThreshold
	if long && c.b.responseSize(c.env.Kind).mean >= link.LongThreshold {
		return c.pacedBody(resp.Body, length)
	}
	c.sending.release()
	counted := &countedBody{ReadCloser: resp.Body, m: c.b.cfg.Links.send}
	switch {
	case long && c.b.sendLimiter != nil:
		return c.limitedBody(counted, length)
	case long || length < 0:
		return counted
	}
	return resp.Body
}

// pacedBody returns the body of a long response, whose length becomes the commitment.
func (c *backendCall) pacedBody(body io.ReadCloser, length int64) *pacedSend {
	if c.sending == nil {
		c.sending, _ = c.b.cfg.Links.send.admit(exactly(length), 0, 0, false)
	}
	c.sending.resize(length)
	c.b.sendBuffered.Add(length)
	ctx, cancel := clock.WithDeadline(c.req.Context(), c.start.Add(c.env.Timeout))
	return &pacedSend{
		ReadCloser: body, c: c, ctx: ctx, cancel: cancel, length: length, left: length,
		transfer: c.b.cfg.Links.send.begin(peerOf(c.req), c.sending),
	}
}

// peerOf returns the address of the node that sent a request, without the port.
func peerOf(req *http.Request) string {
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		return host
	}
	return req.RemoteAddr
}

// countedBody is a body that passes the link as it comes.
type countedBody struct {
	io.ReadCloser
	m *machineLink
}

// Read counts what it returns as short messages.
func (s *countedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if n > 0 {
		s.m.short(int64(n))
	}
	return n, err
}

// pacedSend is the body of a long response. Its reader writes what a Read returned before
// it calls Read again, so the time between two calls is that of the write.
type pacedSend struct {
	io.ReadCloser
	c        *backendCall
	ctx      context.Context // ends with the request's deadline or its caller
	cancel   context.CancelFunc
	transfer *pacedTransfer
	length   int64
	left     int64 // bytes not read yet
	unpaced  bool  // nothing is sent any more
	err      error
	closed   bool
}

// Read returns the next bytes when the link has room for them.
func (s *pacedSend) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	if s.unpaced || s.left <= 0 {
		return s.ReadCloser.Read(p)
	}
	chunk, err := s.transfer.await(s.ctx)
	if err != nil {
		return s.interrupted(p, err)
	}
	n, err := s.ReadCloser.Read(p[:min(int64(len(p)), chunk)])
	s.left -= int64(n)
	s.transfer.writing(int64(n))
	return n, err
}

// interrupted ends the transfer. A response that is kept for its idempotency key is still
// read to its end after its caller has disconnected.
func (s *pacedSend) interrupted(p []byte, err error) (int, error) {
	s.transfer.end()
	s.c.sending.release()
	if s.c.keyed && !errors.Is(err, context.DeadlineExceeded) {
		s.unpaced = true
		return s.ReadCloser.Read(p)
	}
	s.err = context.DeadlineExceeded
	return 0, s.err
}

// Close ends the transfer.
func (s *pacedSend) Close() error {
	if !s.closed {
		s.closed = true
		s.c.b.sendBuffered.Add(-s.length)
		s.transfer.end()
		s.cancel()
	}
	return s.ReadCloser.Close()
}
