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

// receiveFrom is the length from which a body is received before its request is
// admitted, in bytes: shorter ones come with the head.
const receiveFrom = 8 << 10

// receivable reports whether the body is taken before the request is admitted.
func (c *backendCall) receivable() bool {
	length := c.req.ContentLength
	return c.b.receiver != nil && c.remote && !c.env.AwaitsAdmission && length > receiveFrom && length <= c.b.cfg.MaxReceivedBody
}

// receive takes the body of a request that is likely to be admitted. Where it is
// not, the body stays where it is and admission refuses the request.
func (c *backendCall) receive(ctx context.Context) *Problem {
	if !c.receivable() || !c.roomLikely() {
		return nil
	}
	patience := c.env.Timeout
	if c.env.NoWait {
		patience = 0
	} else if d, bounded := c.b.patience(c.env); bounded {
		patience = d
	}
	if !c.b.receiver.enter(ctx, patience) {
		return refusedBy(c.b.gate.Refusal(admission.ReasonBusy))
	}
	began := clock.Now()
	body := make([]byte, c.req.ContentLength)
	_, err := io.ReadFull(c.req.Body, body)
	c.b.receiver.leave(clock.Since(began))
	if err != nil {
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonBodyCut, defaultRetryAfter)
	}
	c.req.Body = io.NopCloser(bytes.NewReader(body))
	c.received = clock.Now()
	return nil
}

// roomLikely reports whether the request is expected to get a slot in time.
func (c *backendCall) roomLikely() bool {
	f := c.b.gate.Forecast(c.env.queueKind(), c.env.KindWeight)
	if c.env.NoWait {
		return f.InUse < f.Slots && f.Waiting == 0
	}
	patience, bounded := c.b.patience(c.env)
	return !bounded || f.Wait <= patience
}
