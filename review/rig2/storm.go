package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["storm"] = configStorm }

// configStorm writes configurations of some 0.5 MB in quick succession. Each version adds a
// route of its own and drops that of the version before, and the last one moves a route to
// another service. Clients then use the routes of the newest version.
func configStorm(f *fleet) bool {
	const routes, storm, gap = 2840, 25, 60 * time.Millisecond
	for i, s := range []string{"look-svc", "look-svc", "pay-svc", "pay-svc"} {
		f.addMachine(s, []string{"hall-a", "hall-b"}[i%2], 12)
	}
	build := func(version int, pay string) []byte {
		c := newConfig(version, "look-svc", "pay-svc")
		c.add("/look/", "safe", "look-svc", 2000, 400)
		c.add(fmt.Sprintf("/only-%d/", version), "safe", "pay-svc", 2000, 400)
		c.add("/pay/", "unsafe", pay, 2000, 400)
		for i := range routes {
			c.add(fmt.Sprintf("/idle%d/x%d/", i, i*7919%10007), "safe", "look-svc", 2000, 400)
		}
		raw, err := json.Marshal(c)
		check(err)
		return raw
	}
	version := 1
	first := build(version, "pay-svc")
	if len(first) > 1048576 {
		check(fmt.Errorf("the configuration has %d bytes", len(first)))
	}
	f.say("a configuration has %d bytes", len(first))
	f.store.put("op/config", first)
	f.startAll()
	time.Sleep(8 * time.Second)

	var acked time.Time
	changes, pause := 1, time.Duration(0)
	if f.trouble {
		changes, pause = storm, gap
	}
	var raws [][]byte
	for i := range changes {
		pay := "pay-svc"
		if i == changes-1 {
			pay = "look-svc"
		}
		raws = append(raws, build(version+1+i*3, pay))
	}
	version += 1 + (changes-1)*3
	begin := time.Now()
	for i, raw := range raws {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * pause)))
		acked = f.store.put("op/config", raw)
		f.logf("store acknowledged change %d", i+1)
	}
	f.say("%d changes in %.2f s, the last is version %08x", changes, acked.Sub(begin).Seconds(), version)

	var mu sync.Mutex
	late, all, wrong := 0, 0, 0
	var lastLate time.Duration
	c := newClient(f)
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		var group sync.WaitGroup
		for _, m := range f.machines {
			group.Go(func() {
				r := c.send(m, http.MethodGet, fmt.Sprintf("/only-%d/a", version), nil, 1500*time.Millisecond)
				paid := c.send(m, http.MethodPost, "/pay/a", nil, 1500*time.Millisecond)
				after := r.sent.Sub(acked)
				mu.Lock()
				defer mu.Unlock()
				all++
				for _, run := range f.runs.of(paid.id) {
					if paid.sent.Sub(acked) > configApplyMs*time.Millisecond && run.service != "look-svc" {
						wrong++
					}
				}
				if after > configApplyMs*time.Millisecond && r.status == http.StatusNotFound {
					late++
					lastLate = max(lastLate, after)
				}
			})
		}
		group.Wait()
	}
	f.say("of %d requests on the route of version %08x, %d were refused with 404 later than %d ms after its acknowledgement, the last %.1f s after it", all, version, late, configApplyMs, lastLate.Seconds())
	f.say("of %d requests on the moved route, %d ran at the old service later than %d ms after the acknowledgement", all, wrong, configApplyMs)
	return late+wrong > 0
}
