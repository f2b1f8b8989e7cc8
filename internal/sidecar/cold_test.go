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

// coldRate is what the upstreams of these tests bear while they are cold, and coldTime
// how long they are.
const (
	coldRate = 5
	coldTime = 3 * time.Second
)

// arrivals notes when requests reached an upstream and answers what it is asked of
// itself.
type arrivals struct {
	mu    sync.Mutex
	at    []time.Time
	cold  time.Time // the upstream is cold until then, by its word
	asked int
}

func (a *arrivals) watch(u *upstream) {
	inner := u.server.Handler
	u.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		if r.URL.Path == "/healthy" {
			a.asked++
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

// turnCold makes the upstream say that it is cold from now on.
func (a *arrivals) turnCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold = time.Now().Add(coldTime)
}

// most returns the most arrivals in any second since a time, and how many there were.
func (a *arrivals) most(since time.Time) (inSecond, all int) {
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
		inSecond = max(inSecond, n)
	}
	return inSecond, len(at)
}

// coldFleet is a fleet whose upstreams tell of themselves.
func coldFleet(t *testing.T, n int) (*fleet, []*arrivals) {
	t.Helper()
	f := startFleet(t, n, 0)
	seen := make([]*arrivals, n)
	for i := range seen {
		seen[i] = &arrivals{}
		seen[i].watch(f.upstreams[i])
	}
	f.store.change(func(u *discovery.Update) {
		u.Document = document(2)
		u.Document.ColdStarts = map[string]discovery.ColdStart{"shop": {Duration: coldTime, Rate: coldRate, HealthPath: "/healthy"}}
	})
	for _, s := range f.sidecars {
		for s.follower.ColdStart("shop").Rate == 0 {
			time.Sleep(time.Millisecond)
		}
		for s.backend.Restriction() != "" { // each asked its upstream, which is warm
			time.Sleep(time.Millisecond)
		}
	}
	return f, seen
}

// press sends requests to all nodes, several at once, for a time.
func (f *fleet) press(d time.Duration) (served, refused int) {
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

// An upstream that is published as cold gets no more than it bears in any second, from
// all nodes together, though the others are pressed; when it is warm it gets its part.
func TestColdUpstreamGetsWhatItBears(t *testing.T) {
	f, seen := coldFleet(t, 3)
	seen[0].turnCold()
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
	served, refused := f.press(2 * time.Second)
	inSecond, all := seen[0].most(began)
	assert.Assert(t, inSecond <= coldRate, "%d in a second", inSecond)
	assert.Assert(t, all > 0, "it bears some")
	assert.Assert(t, refused == 0, "%d refused and %d served, though two upstreams are warm", refused, served)
	time.Sleep(time.Until(began.Add(coldTime + 600*time.Millisecond)))
	warm := time.Now()
	f.press(time.Second)
	_, all = seen[0].most(warm)
	assert.Assert(t, all > 2*coldRate, "%d reach it when it is warm", all)
}

// Where all upstreams of a service are cold, what they bear is served and the rest is
// refused.
func TestServiceOfColdUpstreams(t *testing.T) {
	f, seen := coldFleet(t, 2)
	for _, a := range seen {
		a.turnCold()
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
	served, refused := f.press(2 * time.Second)
	assert.Assert(t, served > 0 && refused > 0, "%d served, %d refused", served, refused)
	for _, a := range seen {
		inSecond, _ := a.most(began)
		assert.Assert(t, inSecond <= coldRate, "%d in a second", inSecond)
	}
}

// Upstreams may be cold when the evacuation of their data centre ends. Their nodes ask
// them and bound what they get, or do not where they are warm.
func TestUpstreamMayBeColdAfterAnEvacuation(t *testing.T) {
	for name, cold := range map[string]time.Duration{"cold": coldTime, "warm": 0} {
		t.Run(name, func(t *testing.T) {
			f, seen := coldFleet(t, 2)
			f.moveUpstream(0, "b")
			f.evacuate("b", false)
			f.awaitEvacuated(1)
			if cold > 0 {
				seen[0].turnCold()
			}
			seen[0].mu.Lock()
			asked := seen[0].asked
			seen[0].mu.Unlock()
			began := time.Now()
			f.evacuate("b", true)
			f.awaitEvacuated(0)
			f.press(1500 * time.Millisecond)
			inSecond, all := seen[0].most(began)
			seen[0].mu.Lock()
			assert.Assert(t, seen[0].asked > asked)
			seen[0].mu.Unlock()
			if cold > 0 {
				assert.Assert(t, inSecond <= coldRate, "%d in a second", inSecond)
				return
			}
			assert.Assert(t, all > 2*coldRate, "%d in all", all)
		})
	}
}

// An upstream that turns cold without a word of its entry is asked often enough: it gets
// a second's worth more at most.
func TestUpstreamThatTurnsColdUnseen(t *testing.T) {
	f, seen := coldFleet(t, 2)
	f.press(300 * time.Millisecond)
	seen[0].turnCold()
	began := time.Now()
	f.press(1500 * time.Millisecond)
	inSecond, _ := seen[0].most(began)
	assert.Assert(t, inSecond <= 2*coldRate, "%d in a second", inSecond)
}

func TestOwnColdAgainstItsWord(t *testing.T) {
	now := time.Unix(1000, 0)
	var c ownCold
	assert.Assert(t, c.begin(now, now.Add(coldTime)))
	assert.Assert(t, !c.begin(now, now.Add(time.Hour)), "the same cause again")
	c.told(now.Add(-time.Millisecond), now, 0)
	assert.Equal(t, c.until, now.Add(coldTime), "told before the cause came")
	c.told(now.Add(time.Millisecond), now.Add(2*time.Millisecond), time.Second)
	assert.Equal(t, c.until, now.Add(2*time.Millisecond+time.Second))
	later := now.Add(time.Second)
	assert.Assert(t, c.begin(later, later.Add(coldTime)))
	assert.Equal(t, c.until, later.Add(coldTime))
}
