package proxy

import (
	"context"
	"sync"
	"time"
)

// transferLimiter bounds the number of concurrent long transfers on a link, so that a
// slow link neither occupies the upstream's slots nor queues long transfers in front of
// short messages.
type transferLimiter struct {
	slots chan struct{}

	mu          sync.Mutex // guards the fields below
	waiting     int
	meanSeconds float64 // smoothed duration of one transfer
}

// transferSmoothing is the weight of the latest duration in the smoothed one.
const transferSmoothing = 0.1

func newTransferLimiter(slots int) *transferLimiter {
	return &transferLimiter{slots: make(chan struct{}, slots)}
}

// expectedWait returns how long a further transfer is expected to wait for a slot.
func (t *transferLimiter) expectedWait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.meanSeconds * float64(t.waiting) / float64(cap(t.slots)) * float64(time.Second))
}

// acquire takes a slot; false if none becomes free before maxWait has passed or ctx
// ends.
func (t *transferLimiter) acquire(ctx context.Context, maxWait time.Duration) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.addWaiting(1)
	defer t.addWaiting(-1)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (t *transferLimiter) addWaiting(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting += n
}

func (t *transferLimiter) release(took time.Duration) {
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meanSeconds += transferSmoothing * (took.Seconds() - t.meanSeconds)
}
