package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/retry"
)

// receiveThreshold is the body length, in bytes, above which a body is received before
// its request is admitted. Shorter bodies arrive together with the head.
const receiveThreshold = 8 << 10

// receivesFirst reports whether the body is received before the request is admitted.
func (c *backendCall) receivesFirst() bool {
	length := c.req.ContentLength
	return c.b.receiveLimiter != nil && c.remote && !c.env.AwaitsAdmission && length > receiveThreshold && length <= c.b.cfg.MaxReceivedBody
}

// receive reads the body of a request that is likely to get a slot. If it is not, the
// body is not read and admission refuses the request.
func (c *backendCall) receive(ctx context.Context) *Problem {
	if !c.receivesFirst() || !c.slotLikely() {
		return nil
	}
	commitment, problem := c.commitBody()
	if problem != nil {
		return problem
	}
	defer commitment.release()
	if !c.b.receiveLimiter.acquire(ctx, c.maxTransferWait()) {
		return admissionProblem(c.b.gate.Refusal(admission.ReasonBusy))
	}
	start := clock.Now()
	body := make([]byte, c.req.ContentLength)
	_, err := io.ReadFull(&arrivingBody{ReadCloser: c.progressingBody(), commitment: commitment}, body)
	c.b.receiveLimiter.release(clock.Since(start))
	if err != nil {
		return notRun(http.StatusServiceUnavailable, retry.Refused, bodyCutReason(err), defaultRetryAfter)
	}
	c.req.Body = io.NopCloser(bytes.NewReader(body))
	c.receivedAt = clock.Now()
	return nil
}

// bodyStallTimeout is how long a body may make no progress while it holds a place of the
// receive limiter, or a slot of the upstream as it streams. A lost packet is retransmitted after one second, and again after two more.
const bodyStallTimeout = 3 * time.Second

// bodyCutReason returns why a body was not received.
func bodyCutReason(err error) string {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return reasonBodyStalled
	}
	return reasonBodyCut
}

// readDeadlineKey is the context key of the function that sets the deadline of reads of
// the request's body.
type readDeadlineKey struct{}

// progressingBody returns the request's body, whose reads fail if it makes no progress or
// the request's deadline passes. An open connection may fall silent without an error.
func (c *backendCall) progressingBody() io.ReadCloser {
	set, ok := c.req.Context().Value(readDeadlineKey{}).(func(time.Time) error)
	if !ok {
		return c.req.Body
	}
	return &progressingBody{ReadCloser: c.req.Body, setDeadline: set, deadline: c.start.Add(c.env.Timeout)}
}

// progressingBody is a body with a deadline that follows its progress.
type progressingBody struct {
	io.ReadCloser
	setDeadline func(time.Time) error
	deadline    time.Time
}

// Read implements io.Reader.
func (b *progressingBody) Read(p []byte) (int, error) {
	// Without support for deadlines the end of the connection ends the read.
	_ = b.setDeadline(progressDeadline(b.deadline))
	return b.ReadCloser.Read(p)
}

// progressDeadline returns the deadline of a read that begins now: it must make progress,
// and must not outlast the request.
func progressDeadline(requestDeadline time.Time) time.Time {
	stall := clock.Now().Add(bodyStallTimeout)
	if requestDeadline.Before(stall) {
		stall = requestDeadline
	}
	return clock.ToMonotonic(stall)
}

// slotLikely reports whether the request is expected to get a slot in time.
func (c *backendCall) slotLikely() bool {
	f := c.b.gate.Forecast(c.env.queueKind(), c.env.KindWeight)
	if c.env.NoWait {
		return f.InUse < f.Slots && f.Waiting == 0
	}
	if bound := c.waitBound(); bound.Worthwhile > 0 && f.Wait > bound.Worthwhile {
		return false
	}
	maxWait, bounded := c.b.maxWait(c.env)
	return !bounded || f.Wait <= maxWait
}
