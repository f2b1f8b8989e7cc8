// The case of connections between machines that go silent while long responses are being
// sent on them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	fronts = 5
	hosts  = 1

	warmUp     = 12 * time.Second
	recoverS   = 15 * time.Second
	stability  = 3 * time.Second
	measured   = 30 * time.Second
	linkMbps   = 16
	workTime   = 72 * time.Millisecond
	timeoutMs  = 1200
	aimMs      = 800
	meanLength = 90_000
	maxLength  = 540_000
	// perFront is the number of downloads a second of each front's clients.
	perFront = 3.4
	// silences is the number of times that the open connections go silent.
	silences   = 4
	silenceGap = 4 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

type phase struct{ sent, served, refused, failed atomic.Int64 }

func (p *phase) String() string {
	return fmt.Sprintf("sent %d, served %d, refused %d, failed %d", p.sent.Load(), p.served.Load(), p.refused.Load(), p.failed.Load())
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
	f.Linked, f.LinkMbps = true, linkMbps
	var links []*kit.Link
	var outbound []string
	for i := range fronts {
		m, err := f.Add("zone-a", fmt.Sprintf("front-%d", i))
		if err != nil {
			return rec.Fail(err)
		}
		links, outbound = append(links, m.Link), append(outbound, m.Outbound)
	}
	for i := range hosts {
		m, err := f.Add("zone-a", "archives")
		if err != nil {
			return rec.Fail(err)
		}
		links = append(links, m.Link)
		l, err := net.Listen("tcp", m.AppAddr)
		if err != nil {
			return rec.Fail(err)
		}
		id := fmt.Sprintf("i-%d", i)
		go func() { _ = (&http.Server{Handler: &target{rec: rec, id: id}}).Serve(l) }()
		f.Register(m, id, 6)
	}
	f.Configure(12, []kit.Route{{Name: "export", Host: "archives.example", Prefix: "/out/", Kind: "download", Service: "archives", TimeoutMs: timeoutMs, AimMs: aimMs, Priority: 2, MaxAttempts: 2}})
	if err := f.StartAll(); err != nil {
		return rec.Fail(err)
	}
	time.Sleep(2 * time.Second)
	var before, around, after phase
	var now atomic.Pointer[phase]
	now.Store(&before)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, addr := range outbound {
		group.Go(func() { load(rec, addr, &now, stop) })
	}
	time.Sleep(warmUp)
	now.Store(&around)
	if trouble {
		for i := range silences {
			if i > 0 {
				time.Sleep(silenceGap)
			}
			total := 0
			for _, k := range links {
				total += k.Silence()
			}
			rec.Say("silent: %d open connections between machines", total)
		}
	}
	time.Sleep(stability + recoverS)
	now.Store(&after)
	time.Sleep(measured)
	close(stop)
	group.Wait()
	rec.Say("before: %v", &before)
	rec.Say("from then until %v after the last silence: %v", stability+recoverS, &around)
	rec.Say("later: %v", &after)
	switch {
	case before.served.Load()*4 < before.sent.Load():
		return rec.Fail(fmt.Errorf("less than a quarter was served before"))
	case after.served.Load()*4 < after.sent.Load():
		rec.Say("RECOVER broken")
		return 1
	}
	rec.Say("the rule held")
	return 0
}

var lastID atomic.Int64

// load sends downloads, each on a new connection, until stop is closed.
func load(rec *kit.Record, addr string, now *atomic.Pointer[phase], stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perFront)):
		}
		p := now.Load()
		group.Go(func() {
			id := fmt.Sprintf("d%07d", lastID.Add(1))
			p.sent.Add(1)
			rec.Add("%s sent to %s", id, addr)
			status, n, err := get(addr, id)
			rec.Add("%s answered %d, %d bytes, %v", id, status, n, err)
			switch {
			case status == http.StatusOK && err == nil:
				p.served.Add(1)
			case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				p.refused.Add(1)
			default:
				p.failed.Add(1)
			}
		})
	}
}

func get(addr, id string) (status int, n int64, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeoutMs * time.Millisecond))
	fmt.Fprintf(c, "GET /out/%s HTTP/1.1\r\nHost: archives.example\r\nX-Walldrift-Request-Id: %s\r\nX-Walldrift-Request-Deadline-Ms: %d\r\n\r\n", id, id, timeoutMs)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, n, err
}

type target struct {
	rec *kit.Record
	id  string
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Walldrift-Request-Id")
	h := w.Header()
	h.Set("X-Walldrift-Request-Id", id)
	h.Set("X-Walldrift-Instance-Id", t.id)
	h.Set("X-Walldrift-Server-Load", "1,0,6")
	if want := r.Header.Get("X-Walldrift-Expected-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.rec.Add("%s run by %s", id, t.id)
	time.Sleep(workTime)
	n := min(maxLength, max(2000, int(rand.ExpFloat64()*meanLength)))
	h.Set("X-Walldrift-Response-Signature", "s."+id)
	h.Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(make([]byte, n))
}
