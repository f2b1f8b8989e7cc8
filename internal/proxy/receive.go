package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/retry"
)

// receiver takes the bodies of requests from other nodes, a few at a time, so
// that a slow link neither holds the upstream's slots nor fills with bodies that
// short requests have to wait behind.
type receiver struct {
	places chan struct{}

	mu      sync.Mutex // guards what follows
	waiting int
	took    float64 // smoothed seconds of one body
}

// receiveFrom is the length from which a body is received before its request is
// admitted, in bytes: shorter ones come with the head.
const receiveFrom = 8 << 10

// receiveSmoothing is the weight of the newest time of a body.
const receiveSmoothing = 0.1

func newReceiver(places int) *receiver {
	return &receiver{places: make(chan struct{}, places)}
}

// wait is how long a further body is expected to wait for its turn.
func (r *receiver) wait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.took * float64(r.waiting) / float64(cap(r.places)) * float64(time.Second))
}

// enter takes a place; it reports false if there is none until the patience or
// ctx ends.
func (r *receiver) enter(ctx context.Context, patience time.Duration) bool {
	select {
	case r.places <- struct{}{}:
		return true
	default:
	}
	r.count(1)
	defer r.count(-1)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r.places <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (r *receiver) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting += n
}

func (r *receiver) leave(took time.Duration) {
	<-r.places
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took += receiveSmoothing * (took.Seconds() - r.took)
}

// receivable reports whether the body is taken before the request is admitted.
func (c *backendCall) receivable() bool {
	length := c.req.ContentLength
	return c.b.receiver != nil && c.remote && !c.env.Await && length > receiveFrom && length <= c.b.cfg.ReceiveLimit
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
	began := time.Now()
	body := make([]byte, c.req.ContentLength)
	_, err := io.ReadFull(c.req.Body, body)
	c.b.receiver.leave(time.Since(began))
	if err != nil {
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonBodyCut, defaultRetryAfter)
	}
	c.req.Body = io.NopCloser(bytes.NewReader(body))
	c.received = time.Now()
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
