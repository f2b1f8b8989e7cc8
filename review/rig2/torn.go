package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pages"] = pagesOfDifferentAge }

// staleRead is how old a serializable read from the lagging replica is.
const staleRead = 6 * time.Second

// pagesOfDifferentAge kills all sidecars right after a configuration was acknowledged, some
// seconds after the targets of a service were replaced. The store answers the first page of
// each serializable listing from its leader and the later ones from a replica that lags.
func pagesOfDifferentAge(f *fleet) bool {
	for i, s := range []string{"look-svc", "look-svc", "look-svc", "look-svc", "pay-svc", "pay-svc", "pay-svc"} {
		f.addMachine(s, []string{"hall-a", "hall-b", "hall-c"}[i%3], 12)
	}
	build := func(version int) []byte {
		c := newConfig(version, "look-svc", "pay-svc")
		c.add("/look/", "safe", "look-svc", 1000, 400)
		c.add("/pay/", "unsafe", "pay-svc", 1000, 400)
		for i := range 5890 {
			c.add(fmt.Sprintf("/idle%d/x%d/", i, i*7919%10007), "safe", "look-svc", 2000, 400)
		}
		raw, err := json.Marshal(c)
		check(err)
		if len(raw) < pageBytes || len(raw) > 1048576 {
			check(fmt.Errorf("the configuration has %d bytes", len(raw)))
		}
		return raw
	}
	f.store.put("op/config", build(1))
	f.startAll()
	time.Sleep(8 * time.Second)
	c := newClient(f)
	before := f.round(c, 3*time.Second)
	f.say("before: %d of %d served", before.served, before.sent)
	f.store.lag(staleRead)

	// The release: two new targets at a time start first, on machines of their own, then two
	// old ones drain and leave with their machines.
	release := time.Now()
	old, rest := f.machines[:4], f.machines[4:]
	var group sync.WaitGroup
	for i := range old {
		time.Sleep(time.Until(release.Add(time.Duration(i/2) * 800 * time.Millisecond)))
		m := f.addMachine("look-svc", []string{"hall-a", "hall-b", "hall-c"}[i%3], 12)
		m.target.start()
		m.start()
		f.logf("target %s starts beside %s", m.target.currentID(), m.name)
		rest = append(rest, m)
		leaving := old[i]
		group.Go(func() {
			leaving.target.drain()
			f.logf("target %s has left", leaving.target.currentID())
			leaving.signal(syscall.SIGTERM)
		})
	}
	group.Wait()
	f.machines = rest
	mid := f.round(c, time.Until(release.Add(4500*time.Millisecond)))
	f.say("after the release: %d of %d served", mid.served, mid.sent)
	f.store.put("op/config", build(4))
	f.logf("store acknowledged a configuration")
	if f.trouble {
		for _, m := range append(old, f.machines...) {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range append(old, f.machines...) {
			m.wait()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.machines {
			m.start()
		}
	}
	f.retired = old
	f.waitReady(10 * time.Second)
	back := time.Now()
	f.say("all machines are back")
	f.round(c, recoverS*time.Second)
	after := f.round(c, 10*time.Second)
	f.say("later than %d s after that: %d of %d served, %d of %d on /look/", recoverS, after.served, after.sent, after.look, after.lookSent)
	f.say("checked until %.1f s after the machines were back", time.Since(back).Seconds())
	return before.served*4 >= before.sent && after.served*4 < after.sent
}

// tally counts requests and how many were served.
type tally struct{ sent, served, lookSent, look int }

// round sends requests through all machines for a time, nine tenths of them on /look/.
func (f *fleet) round(c *client, d time.Duration) (t tally) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, m := range f.machines {
		group.Go(func() {
			n := i
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				n++
				method, path := http.MethodGet, "/look/w20"
				if n%10 == 0 {
					method, path = http.MethodPost, "/pay/w20"
				}
				r := c.send(m, method, path, nil, 1500*time.Millisecond)
				served := r.status == http.StatusOK && r.signed
				mu.Lock()
				t.sent++
				if method == http.MethodGet {
					t.lookSent++
				}
				if served {
					t.served++
					if method == http.MethodGet {
						t.look++
					}
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return t
}
