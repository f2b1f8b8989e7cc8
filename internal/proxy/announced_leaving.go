package proxy

import (
	"net/http"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/routing"
)

// observeLeaving records that the upstream says in a response that it leaves. An instance
// that leaves does not come back: the next process at its address is another instance.
func (c *backendCall) observeLeaving(resp *http.Response) {
	d := c.b.cfg.Dialect
	if d.Leaving == "" || resp.Header.Get(d.Leaving) != LeavingNow || !d.signed(resp) {
		return
	}
	if before := c.b.leavingInstance.Swap(&c.env.Target); before == nil || *before != c.env.Target {
		c.b.cfg.OnLeaving(c.env.Target)
	}
}

// isLeaving reports whether an instance has said that it leaves.
func (b *Backend) isLeaving(instance string) bool {
	leaving := b.leavingInstance.Load()
	return leaving != nil && *leaving == instance
}

// recordLeaving excludes a target from all further choices if a load report says that it
// leaves. It is called before any part of the response is forwarded.
func (f *Frontend) recordLeaving(target membership.Instance, report *routing.LoadReport) {
	if report == nil || !report.Leaving {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordLeaving(clock.Now(), target)
}
