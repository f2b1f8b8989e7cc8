package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["quota"] = quotaOverACut }

const (
	tenants      = 16
	ratePerS     = 40.0
	burst        = 20.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20.0
	cutFor       = 12 * time.Second
)

// quotaOverACut cuts one machine off from the others, which owns the limits of some tenants.
// The clients of each side go on: those of the cut machine use the service on that machine,
// those of the others the service on the others.
func quotaOverACut(f *fleet) bool {
	links := make(map[*machine]*link)
	f.links = func(m *machine) string {
		node := fmt.Sprintf("127.%d.8.%d", f.net, f.hosts)
		links[m] = newLink(fmt.Sprintf("%s:%d", m.ip, f.peerPort), fmt.Sprintf("%s:%d", node, f.peerPort))
		return node
	}
	for i, s := range []string{"left-svc", "right-svc", "right-svc", "right-svc"} {
		f.addMachine(s, []string{"ub-north", "ub-east", "ub-west"}[i%3], 13)
	}
	c := newConfig(1, "left-svc", "right-svc")
	c.add("/left/", "safe", "left-svc", 2500, 600)
	c.add("/right/", "safe", "right-svc", 2500, 600)
	for i := range tenants {
		c.Tenants = append(c.Tenants, tenant{Name: fmt.Sprintf("tenant-%d", i), ApiKeys: []string{fmt.Sprintf("key-%d", i)}, RatePerS: ratePerS, Burst: burst})
	}
	f.store.put("op/config", c)
	f.startAll()
	time.Sleep(8 * time.Second)

	cl := newClient(f)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range tenants {
		for k := range 2 {
			// Each tenant sends one and a half times its limit on each side.
			group.Go(func() {
				tick := time.NewTicker(time.Second / 60)
				defer tick.Stop()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-tick.C:
					}
					m, path := f.machines[0], "/left/w1"
					if k == 1 {
						m, path = f.machines[1+n%3], "/right/w1"
					}
					group.Go(func() {
						cl.send(m, http.MethodGet, path, nil, 2500*time.Millisecond, "X-Api-Key", fmt.Sprintf("key-%d", i))
					})
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	if f.trouble {
		links[f.machines[0]].cut.Store(true)
		f.say("%s is cut off", f.machines[0].name)
	}
	time.Sleep(cutFor)
	links[f.machines[0]].cut.Store(false)
	f.logf("the cut is over")
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	return f.overQuota()
}

// overQuota reports whether a tenant had more runs in some window than its limit allows.
func (f *fleet) overQuota() bool {
	runs := make(map[string][]time.Time)
	f.runs.mu.Lock()
	for _, all := range f.runs.runs {
		for _, r := range all {
			runs[r.tenant] = append(runs[r.tenant], r.at)
		}
	}
	f.runs.mu.Unlock()
	bound := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	broken := 0
	for name, at := range runs {
		slices.SortFunc(at, time.Time.Compare)
		most, from, when := 0, 0, time.Time{}
		for i := range at {
			for at[i].Sub(at[from]) > quotaWindow {
				from++
			}
			if n := i - from + 1; n > most {
				most, when = n, at[from]
			}
		}
		f.say("%s: %d runs at most in %v (from %.1f s on), %.0f allowed", name, most, quotaWindow, when.Sub(f.started).Seconds(), bound)
		if float64(most) > bound {
			broken++
		}
	}
	f.say("%d tenants beyond their limit", broken)
	return broken > 0
}
