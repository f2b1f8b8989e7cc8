package sidecar

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/discovery"
)

// coldRate is the number of requests a second that the upstreams of these tests can serve
// while they are cold, and coldTime how long they are cold.
const (
	coldRate = 5
	coldTime = 3 * time.Second
)

// upstreamMonitor records when requests reached an upstream, and responds to the probes of
// the upstream's node.
type upstreamMonitor struct {
	mu     sync.Mutex
	at     []time.Time
	cold   time.Time // the upstream reports that it is cold until then
	probes int
}

func (a *upstreamMonitor) attach(u *upstream) {
	inner := u.server.Handler
	u.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		if r.URL.Path == "/healthy" {
			a.probes++
			w.Header().Set(testDialect.Instance, u.id)
			if time.Now().Before(a.cold) {
				w.Header().Set(testDialect.Cold, strconv.FormatInt(time.Until(a.cold).Milliseconds(), 10))
			}
			a.mu.Unlock()
			return
		}
		a.at = append(a.at, time.Now())
		a.mu.Unlock()
		inner.ServeHTTP(w, r)
	})
}

// becomeCold makes the upstream report that it is cold from now on.
func (a *upstreamMonitor) becomeCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold = time.Now().Add(coldTime)
}

// countSince returns the highest number of requests in any second since a time, and the
// number of all requests since then.
func (a *upstreamMonitor) countSince(since time.Time) (perSecond, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var at []time.Time
	for _, t := range a.at {
		if t.After(since) {
			at = append(at, t)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for i := range at {
		n := 0
		for _, t := range at[:i+1] {
			if at[i].Sub(t) < time.Second {
				n++
			}
		}
		perSecond = max(perSecond, n)
	}
	return perSecond, len(at)
}

// startColdFleet starts a fleet whose upstreams report whether they are cold.
func startColdFleet(t *testing.T, n int) (*fleet, []*upstreamMonitor) {
	t.Helper()
	f := startFleet(t, n, 0)
	monitors := make([]*upstreamMonitor, n)
	for i := range monitors {
		monitors[i] = &upstreamMonitor{}
		monitors[i].attach(f.upstreams[i])
	}
	f.store.change(func(u *discovery.Update) {
		u.Document = document(2)
		u.Document.ColdStarts = map[string]discovery.ColdStart{"shop": {Duration: coldTime, Rate: coldRate, HealthPath: "/healthy"}}
	})
	for _, s := range f.sidecars {
		for s.follower.ColdStart("shop").Rate == 0 {
			time.Sleep(time.Millisecond)
		}
		for s.backend.Restriction() != "" { // until each has probed its upstream, which is warm
			time.Sleep(time.Millisecond)
		}
	}
	return f, monitors
}

// sendLoad sends requests to all nodes, several at once, for a duration.
func (f *fleet) sendLoad(d time.Duration) (served, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	until := time.Now().Add(d)
	for i := range 4 * len(f.sidecars) {
		group.Go(func() {
			for time.Now().Before(until) {
				resp, err := http.DefaultClient.Do(f.request(i%len(f.sidecars), "GET", "/read/x", ""))
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				mu.Lock()
				if resp.StatusCode == http.StatusOK {
					served++
				} else {
					refused++
				}
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return served, refused
}

// An upstream that is published as cold gets at most coldRate requests in any second, from
// all nodes together, although the other upstreams are under load. When it is warm it gets
// its share.
func TestColdUpstreamIsRateLimited(t *testing.T) {
	f, monitors := startColdFleet(t, 3)
	monitors[0].becomeCold()
	began := time.Now()
	f.store.change(func(u *discovery.Update) {
		u.Upstreams[0].ColdFor, u.Upstreams[0].Revision = coldTime, u.Revision
	})
	for _, s := range f.sidecars {
		for m, _ := s.follower.Member("shop-0"); m.ColdUntil.IsZero(); m, _ = s.follower.Member("shop-0") {
			time.Sleep(time.Millisecond)
		}
	}
	assert.Assert(t, cmp.Contains(string(f.get(0, admin.PathFleet)), `"upstream":"cold for`))
	served, refused := f.sendLoad(2 * time.Second)
	perSecond, all := monitors[0].countSince(began)
	assert.Assert(t, perSecond <= coldRate, "%d in a second", perSecond)
	assert.Assert(t, all > 0, "the cold upstream got no requests")
	assert.Assert(t, refused == 0, "%d refused and %d served, though two upstreams are warm", refused, served)
	time.Sleep(time.Until(began.Add(coldTime + 600*time.Millisecond)))
	warm := time.Now()
	f.sendLoad(time.Second)
	_, all = monitors[0].countSince(warm)
	assert.Assert(t, all > 2*coldRate, "%d requests reached the warm upstream", all)
}

// If all upstreams of a service are cold, they serve coldRate requests a second each, and
// the rest is refused.
func TestServiceWithOnlyColdUpstreams(t *testing.T) {
	f, monitors := startColdFleet(t, 2)
	for _, a := range monitors {
		a.becomeCold()
	}
	began := time.Now()
	f.store.change(func(u *discovery.Update) {
		for i := range u.Upstreams {
			u.Upstreams[i].ColdFor, u.Upstreams[i].Revision = coldTime, u.Revision
		}
	})
	for _, s := range f.sidecars {
		for s.backend.Restriction() == "" {
			time.Sleep(time.Millisecond)
		}
	}
	served, refused := f.sendLoad(2 * time.Second)
	assert.Assert(t, served > 0 && refused > 0, "%d served, %d refused", served, refused)
	for _, a := range monitors {
		perSecond, _ := a.countSince(began)
		assert.Assert(t, perSecond <= coldRate, "%d in a second", perSecond)
	}
}

// Upstreams may be cold when the evacuation of their data centre ends. Their nodes probe
// them, and limit the requests only to those that are cold.
func TestUpstreamMayBeColdAfterAnEvacuation(t *testing.T) {
	for name, cold := range map[string]time.Duration{"cold": coldTime, "warm": 0} {
		t.Run(name, func(t *testing.T) {
			f, monitors := startColdFleet(t, 2)
			// Both upstreams move, so that neither is preferred as the one of the own data
			// centre: it would leave the other one only occasional trial requests.
			f.moveUpstream(0, "b")
			f.moveUpstream(1, "b")
			f.evacuate("b", false)
			f.awaitEvacuated(1)
			if cold > 0 {
				monitors[0].becomeCold()
			}
			monitors[0].mu.Lock()
			probes := monitors[0].probes
			monitors[0].mu.Unlock()
			began := time.Now()
			f.evacuate("b", true)
			f.awaitEvacuated(0)
			f.sendLoad(1500 * time.Millisecond)
			perSecond, all := monitors[0].countSince(began)
			monitors[0].mu.Lock()
			assert.Assert(t, monitors[0].probes > probes)
			monitors[0].mu.Unlock()
			if cold > 0 {
				assert.Assert(t, perSecond <= coldRate, "%d in a second", perSecond)
				return
			}
			assert.Assert(t, all > 2*coldRate, "%d in all", all)
		})
	}
}

// An upstream that turns cold without its store entry showing it is probed often enough:
// it gets at most one more second's worth of requests.
func TestUpstreamThatIsColdBeforeItIsPublished(t *testing.T) {
	f, monitors := startColdFleet(t, 2)
	f.sendLoad(300 * time.Millisecond)
	monitors[0].becomeCold()
	began := time.Now()
	f.sendLoad(1500 * time.Millisecond)
	perSecond, _ := monitors[0].countSince(began)
	assert.Assert(t, perSecond <= 2*coldRate, "%d in a second", perSecond)
}

func TestColdPeriodAppliesProbeResults(t *testing.T) {
	now := time.Unix(1000, 0)
	var c coldPeriod
	assert.Assert(t, c.start(now, now.Add(coldTime)))
	assert.Assert(t, !c.start(now, now.Add(time.Hour)), "the same cause again must be ignored")
	c.applyReport(now.Add(-time.Millisecond), now, 0)
	assert.Equal(t, c.until, now.Add(coldTime), "a report from before the cause must be ignored")
	c.applyReport(now.Add(time.Millisecond), now.Add(2*time.Millisecond), time.Second)
	assert.Equal(t, c.until, now.Add(2*time.Millisecond+time.Second))
	later := now.Add(time.Second)
	assert.Assert(t, c.start(later, later.Add(coldTime)))
	assert.Equal(t, c.until, later.Add(coldTime))
}
