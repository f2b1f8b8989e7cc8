package proxy

import (
	"context"
	"sync"
	"time"
)

// turns lets a few long transfers on a link at a time, so that a slow link neither
// holds the upstream's slots nor fills with what short messages have to wait
// behind.
type turns struct {
	places chan struct{}

	mu      sync.Mutex // guards what follows
	waiting int
	took    float64 // smoothed seconds of one transfer
}

// turnSmoothing is the weight of the newest time of a transfer.
const turnSmoothing = 0.1

func newTurns(places int) *turns {
	return &turns{places: make(chan struct{}, places)}
}

// wait is how long a further transfer is expected to wait for its turn.
func (t *turns) wait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.took * float64(t.waiting) / float64(cap(t.places)) * float64(time.Second))
}

// enter takes a place; it reports false if there is none until the patience or
// ctx ends.
func (t *turns) enter(ctx context.Context, patience time.Duration) bool {
	select {
	case t.places <- struct{}{}:
		return true
	default:
	}
	t.count(1)
	defer t.count(-1)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case t.places <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (t *turns) count(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting += n
}

func (t *turns) leave(took time.Duration) {
	<-t.places
	t.mu.Lock()
	defer t.mu.Unlock()
	t.took += turnSmoothing * (took.Seconds() - t.took)
}
