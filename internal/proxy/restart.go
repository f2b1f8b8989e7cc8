package proxy

import (
	"context"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/overload"
)

// processLifetime is the lifetime of one process of the upstream, from one start to the
// next.
type processLifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newProcessLifetime() *processLifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &processLifetime{ctx: ctx, cancel: cancel}
}

// UpstreamRestarted records that the upstream has started again under the same name.
// Requests sent to the earlier process may have run and will get no response. They end
// at once with an unknown outcome and release their slots. If the earlier process left
// its connections unresponsive instead of closing them, they would otherwise hold the
// slots until their deadlines. Requests that wait for a slot have not run and go to the
// new process, of which no run times or response sizes are known yet.
func (b *Backend) UpstreamRestarted() {
	b.detector.recordCrash()
	b.lifetime.Swap(newProcessLifetime()).cancel()
	b.deniedTarget.Store(nil)
	b.leavingInstance.Store(nil)
	b.forgetLimit("")
	b.gate.SetSlowdown(admission.Slowdown{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runTimes, b.responseSizes = overload.NewRunTimes(), overload.NewResponseSizes()
}

// UpstreamReplaced records that another process, the given one, is listed at the upstream's
// address. What an earlier one advertised does not hold for it. If
// connections to the earlier process broke shortly before, it has crashed, although
// probing can no longer show that: this node was paused while the upstream was down.
func (b *Backend) UpstreamReplaced(instance string) {
	b.detector.recordCrash()
	b.forgetLimit(instance)
	b.gate.SetSlowdown(admission.Slowdown{})
	if !b.isLeaving(instance) {
		b.leavingInstance.Store(nil)
	}
}

// bindToLifetime cancels a call when the process to which it is sent ends, until
// release is called.
func (b *Backend) bindToLifetime(cancel context.CancelFunc) (release func() bool) {
	return context.AfterFunc(b.lifetime.Load().ctx, cancel)
}
