// The case of large configurations in quick succession: a watch of the store returns
// several of them at once.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	machines = 6
	// A config_storm with for_s = 2.0, gap_s = 0.08 and how = "route".
	stormTime = 2 * time.Second
	stormGap  = 80 * time.Millisecond
	// tableBytes is the length of a configuration; ValueBytes is 1,048,576.
	tableBytes = 1_000_000
	afterStorm = 30 * time.Second
	requestGap = 250 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

// services are the two services between which the route moves.
var services = [2]string{"ledger-a", "ledger-b"}

// idleRoutes returns routes without requests, enough for a long configuration.
func idleRoutes() []kit.Route {
	var routes []kit.Route
	for i, length := 0, 0; length < tableBytes; i++ {
		r := newRoute(fmt.Sprintf("idle-%05d", i), fmt.Sprintf("host-of-the-idle-route-%05d.services.example", i), fmt.Sprintf("/path-of-the-idle-route-%05d/and-its-second-part/", i), services[i%2])
		raw, _ := json.Marshal(r)
		length += len(raw) + 1
		routes = append(routes, r)
	}
	return routes
}

func newRoute(name, host, prefix, service string) kit.Route {
	return kit.Route{Name: name, Host: host, Prefix: prefix, Kind: "unsafe", Service: service, TimeoutMs: 1500, AimMs: 500, Priority: 1, MaxAttempts: 2}
}

// day is what the stand-ins share.
type day struct {
	rec *kit.Record

	mu   sync.Mutex
	sent map[string]time.Duration // after the acknowledgement, by request id

	wanted                   string // service of the newest configuration
	late, right, stale, none atomic.Int64
	last                     atomic.Int64
}

func run(recordFile string, trouble bool) int {
	rec, err := kit.NewRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f, err := kit.NewFleet()
	if err != nil {
		return rec.Fail(err)
	}
	defer f.Close()
	d := &day{rec: rec, sent: make(map[string]time.Duration)}
	var all []*kit.Machine
	for i := range machines {
		m, err := f.Add(fmt.Sprintf("zone-%c", 'a'+i/2), services[i%2])
		if err != nil {
			return rec.Fail(err)
		}
		all = append(all, m)
		l, err := net.Listen("tcp", m.AppAddr)
		if err != nil {
			return rec.Fail(err)
		}
		id := fmt.Sprintf("i-%d", i)
		go func() { _ = (&http.Server{Handler: &target{d: d, id: id, service: m.Service}}).Serve(l) }()
		f.Register(m, id, 12)
	}
	idle := idleRoutes()
	version := 12
	d.wanted = services[0]
	configure := func() int {
		return f.Configure(version, append([]kit.Route{newRoute("pay", "pay.example", "/pay/", d.wanted)}, idle...))
	}
	rec.Say("configurations of %d routes and %d bytes", len(idle)+1, configure())
	if err := f.StartAll(); err != nil {
		return rec.Fail(err)
	}
	time.Sleep(5 * time.Second)
	changes := int(stormTime / stormGap)
	if !trouble {
		changes = 1
	}
	var acked time.Time
	for i := range changes {
		if i > 0 {
			time.Sleep(stormGap)
		}
		version += 1 + i%3
		idle[i].Service = services[(i+1)%2] // moves this route
		if i == changes-1 {
			d.wanted = services[1]
		}
		configure()
		acked = time.Now()
		rec.Add("version %08x acknowledged: /pay/ goes to %s", version, d.wanted)
	}
	rec.Say("%d changes of routes, %v apart; the last moves /pay/ to %s", changes, stormGap, d.wanted)
	var group sync.WaitGroup
	for _, m := range all {
		group.Go(func() {
			for n := 0; time.Since(acked) < afterStorm; n++ {
				d.request(m, time.Since(acked), fmt.Sprintf("p-%s-%d", m.Name, n))
				time.Sleep(requestGap)
			}
		})
	}
	group.Wait()
	rec.Say("sent later than ConfigApplyMs: %d; run by %s %d, by the old service %d, not answered with 200 %d; the last run by the old service was sent %v after the acknowledgement",
		d.late.Load(), d.wanted, d.right.Load(), d.stale.Load(), d.none.Load(), time.Duration(d.last.Load()).Round(time.Millisecond))
	switch {
	case d.stale.Load() > 0:
		rec.Say("CONFIG broken")
		return 1
	case d.right.Load() < d.late.Load()/2:
		return rec.Fail(fmt.Errorf("less than half was served"))
	}
	rec.Say("the rule held")
	return 0
}

func (d *day) request(m *kit.Machine, sent time.Duration, id string) {
	d.mu.Lock()
	d.sent[id] = sent
	d.mu.Unlock()
	late := sent > kit.ConfigApplyMs*time.Millisecond
	if late {
		d.late.Add(1)
	}
	status, err := post(m.Outbound, id)
	d.rec.Add("%s sent %v after the acknowledgement, answered %d %v", id, sent.Round(time.Millisecond), status, err)
	if late && status != http.StatusOK {
		d.none.Add(1)
	}
}

func post(addr, id string) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "POST /pay/%s HTTP/1.1\r\nHost: pay.example\r\nX-Walldrift-Request-Id: %s\r\nX-Walldrift-Request-Deadline-Ms: 1500\r\nContent-Length: 3\r\n\r\npay", id, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

type target struct {
	d           *day
	id, service string
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Walldrift-Request-Id")
	h := w.Header()
	h.Set("X-Walldrift-Request-Id", id)
	h.Set("X-Walldrift-Instance-Id", t.id)
	if want := r.Header.Get("X-Walldrift-Expected-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.d.noteRun(id, t.service)
	time.Sleep(20 * time.Millisecond)
	h.Set("X-Walldrift-Response-Signature", "s."+id)
	_, _ = io.WriteString(w, "done "+id)
}

func (d *day) noteRun(id, service string) {
	d.mu.Lock()
	sent, known := d.sent[id]
	d.mu.Unlock()
	d.rec.Add("%s run by %s", id, service)
	switch {
	case !known || sent <= kit.ConfigApplyMs*time.Millisecond:
	case service == d.wanted:
		d.right.Add(1)
	default:
		d.stale.Add(1)
		d.last.Store(max(d.last.Load(), int64(sent)))
	}
}
