package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"

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
	_, err := io.ReadFull(&arrivingBody{ReadCloser: c.req.Body, commitment: commitment}, body)
	c.b.receiveLimiter.release(clock.Since(start))
	if err != nil {
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonBodyCut, defaultRetryAfter)
	}
	c.req.Body = io.NopCloser(bytes.NewReader(body))
	c.receivedAt = clock.Now()
	return nil
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
