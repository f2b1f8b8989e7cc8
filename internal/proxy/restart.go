package proxy

import (
	"context"

	"github.com/walldrift/walldrift/internal/overload"
)

// life is one life of the upstream beside a node, from a start to the next.
type life struct {
	ctx context.Context
	end context.CancelFunc
}

func newLife() *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{ctx: ctx, end: end}
}

// UpstreamRestarted notes that the upstream has started again under its name. What it was
// sent before may have run and gets no answer any more: it ends at once as such and
// gives its slot back, where on a connection that fell silent it would hold it until
// its deadline. What waits for a slot has not run and goes to the new process, of
// which nothing is known yet.
func (b *Backend) UpstreamRestarted() {
	b.falls.fell()
	b.life.Swap(newLife()).end()
	b.denied.Store(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs, b.sizes = overload.NewRunTimes(), overload.NewResponseSizes()
}

// UpstreamReplaced notes that another process is published at the upstream's address. One that
// lost connections a short while ago has ended, though it is too late to see it: this
// process stood still meanwhile.
func (b *Backend) UpstreamReplaced() { b.falls.fell() }

// withLife ends a call with the life of the upstream to which it is sent, until
// release is called.
func (b *Backend) withLife(cancel context.CancelFunc) (release func() bool) {
	return context.AfterFunc(b.life.Load().ctx, cancel)
}
