package sidecar

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// headerLimit is the header in which the upstreams of these tests advertise a limit.
const headerLimit = "Test-Limit"

// What an upstream that advertises a limit may still get.
const (
	limitSettleTime = 3 * time.Second        // from the first response until the limit is judged
	limitWindow     = 4 * time.Second        // in which the requests are counted
	limitFactor     = 1.5                    // of what the limit allows in the window
	limitSlack      = 5                      // requests beyond that
	limitToldFor    = 500 * time.Millisecond // a node counts from then after it forwarded such a response
)

// counted returns the times of the requests that count against an advertised limit.
func (a *advertiser) counted() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []time.Time
	for _, one := range a.arrivals {
		told := a.toldAt[one.node]
		if one.at.After(a.firstAt.Add(limitSettleTime)) && !told.IsZero() && !one.at.Before(told.Add(limitToldFor)) {
			out = append(out, one.at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkLimit checks that the upstream got no more than its limit allows.
func (a *advertiser) checkLimit(t *testing.T, perSecond float64) {
	t.Helper()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
	most, from := 0, 0
	times := a.counted()
	for i, at := range times {
		for at.Sub(times[from]) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	assert.Assert(t, !a.firstAt.IsZero(), "no node was told of the limit")
	assert.Assert(t, most <= allowed, "%s named %v a second and got %d requests in %v from nodes that it had told, allowed %d", a.u.id, perSecond, most, limitWindow, allowed)
}

// An upstream that advertised a limit got many times as many requests.
func TestRequestsBeyondAnAdvertisedLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		upstreams []int // that advertise it
	}{
		{"one upstream of three", 3.5, []int{0}},
		{"all upstreams", 20, []int{0, 1, 2}},
		{"all upstreams under overload", 3.5, []int{0, 1, 2}},
		{"no request at all", 0, []int{0}},
		{"less than one a second", 0.4, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, 2*time.Millisecond)
			var watchers []*advertiser
			for _, i := range c.upstreams {
				watchers = append(watchers, f.watchAdvertised(i, headerLimit))
				f.upstreams[i].advertise(headerLimit, strconv.FormatFloat(c.perSecond, 'f', -1, 64))
			}
			const duration = limitSettleTime + limitWindow + time.Second
			got := f.sendThrough(duration, f.allNodes(), watchers...)
			for _, a := range watchers {
				a.checkLimit(t, c.perSecond)
			}
			if len(c.upstreams) < len(f.upstreams) {
				assert.Assert(t, got.refused == 0, "%d refused and %d served, though two upstreams have no limit: %v, the slowest after %v", got.refused, got.served, got.reasons, got.slowestRefusal)
				return
			}
			offered := c.perSecond * float64(len(c.upstreams)) * duration.Seconds()
			assert.Assert(t, float64(got.served) >= 0.7*offered, "%d served, though the limits allow %v", got.served, offered)
			assert.Assert(t, got.withoutRetryAfter == 0, "%d of %d refusals do not say when to retry", got.withoutRetryAfter, got.refused)
			t.Logf("%d served, %d refused, the slowest refusal after %v", got.served, got.refused, got.slowestRefusal)
		})
	}
}

// A sidecar that restarts beside an upstream with a limit knows neither the limit nor what
// was sent before, while the nodes that send to it do.
func TestRequestsBeyondAnAdvertisedLimitAmongRestarts(t *testing.T) {
	t.Parallel()
	const perSecond = 2
	f := startFleet(t, 3, 300*time.Millisecond) // so that many requests come before the first response
	a := f.watchAdvertised(0, headerLimit)
	a.u.advertise(headerLimit, strconv.Itoa(perSecond))
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for range 6 {
			time.Sleep(1500 * time.Millisecond)
			a.restart(0)
		}
	})
	f.sendThrough(limitSettleTime+2*limitWindow, []int{1, 2, 1, 2, 1, 2}, a)
	restarts.Wait()
	a.checkLimit(t, perSecond)
}

// A limit that an upstream no longer advertises ends, also if it let no request through.
func TestAdvertisedLimitEnds(t *testing.T) {
	for _, limit := range []string{"3.5", "0"} {
		t.Run(limit, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 2, 2*time.Millisecond)
			a := f.watchAdvertised(0, headerLimit)
			a.u.advertise(headerLimit, limit)
			f.sendThrough(2*time.Second, f.allNodes(), a)
			a.u.advertise(headerLimit, "")
			f.sendThrough(8*time.Second, f.allNodes(), a)
			a.mu.Lock()
			before := len(a.arrivals)
			a.mu.Unlock()
			f.sendThrough(time.Second, f.allNodes(), a)
			a.mu.Lock()
			defer a.mu.Unlock()
			assert.Assert(t, len(a.arrivals)-before > 20, "%d requests in a second", len(a.arrivals)-before)
		})
	}
}
