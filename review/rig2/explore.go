package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

// explore sends large and small requests for SECONDS, while targets misbehave and sidecars are
// killed, stopped and restarted. It is no case: it looks for faults.
func explore(f *fleet) bool {
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	seconds = max(seconds, 20)
	for i, s := range []string{"a-svc", "a-svc", "a-svc", "b-svc", "b-svc"} {
		f.addMachine(s, []string{"hall-a", "hall-b"}[i%2], 6)
	}
	c := newConfig(1, "a-svc", "b-svc")
	c.add("/up/", "upload", "a-svc", 3000, 500)
	c.add("/pay/", "unsafe", "b-svc", 3000, 500)
	c.add("/look/", "safe", "a-svc", 3000, 500)
	c.add("/get/", "download", "b-svc", 3000, 500)
	f.store.put("op/config", c)
	md := &modes{}
	for _, m := range f.machines {
		l, err := net.Listen("tcp", m.target.addr)
		check(err)
		m.target.listener = l
		r := &rawTarget{t: m.target, modes: md}
		go r.accept(l)
	}
	f.startAll()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, good, refused, other atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	for w := range 40 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				m := f.machines[rand.IntN(len(f.machines))]
				method, path := http.MethodPost, "/up/x"
				size, want := 0, rand.IntN(3000)
				switch rand.IntN(4) {
				case 0:
					size = 1 + rand.IntN(2_000_000)
				case 1:
					path, size = "/pay/x", rand.IntN(20000)
				case 2:
					method, path = http.MethodGet, "/look/x?q=%2f"
				case 3:
					method, path, want = http.MethodGet, "/get/x", rand.IntN(1_500_000)
				}
				id := nextID()
				body := content(id, size)
				var rd io.Reader
				if size > 0 {
					rd = bytes.NewReader(body)
					if w%2 == 0 && os.Getenv("CHUNKS") != "0" {
						rd = struct{ io.Reader }{rd} // chunked
					}
				}
				req, err := http.NewRequest(method, "http://"+m.callers+path, rd)
				if err != nil {
					continue
				}
				req.GetBody = nil
				req.Host = host
				h := req.Header
				h.Set("X-Walldrift-Request-Id", id)
				h.Set("X-Walldrift-Request-Deadline-Ms", "2500")
				h.Set("X-Size", strconv.Itoa(size))
				h.Set("X-Want", strconv.Itoa(want))
				h.Set("X-Method", method)
				h.Set("X-Uri", path)
				h.Set("X-From", m.target.service)
				if rand.IntN(3) == 0 {
					h.Set("X-Pad", strings.Repeat("p", rand.IntN(14_000)))
				}
				if w%5 == 0 && size > 0 {
					h.Set("Expect", "100-continue")
				}
				sent.Add(1)
				client.Timeout = 4 * time.Second
				resp, err := client.Do(req)
				if err != nil {
					other.Add(1)
					continue
				}
				raw, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				idem := method == http.MethodGet
				switch {
				case err != nil:
					other.Add(1)
				case resp.StatusCode == 200:
					good.Add(1)
					if resp.Header.Get("X-Walldrift-Response-Signature") == "" || !bytes.Equal(raw, content("answer "+id, want)) || resp.Header.Get("X-Walldrift-Request-Id") != id {
						md.report(f, "request %s got a wrong success: %d bytes of %d, signature %q, id %q", id, len(raw), want, resp.Header.Get("X-Walldrift-Response-Signature"), resp.Header.Get("X-Walldrift-Request-Id"))
					}
				case resp.StatusCode == 503 || resp.StatusCode == 429 || resp.StatusCode == 408 || resp.StatusCode == 421:
					refused.Add(1)
					if !idem {
						md.bad.Store(id, resp.StatusCode)
					}
				default:
					other.Add(1)
					if resp.StatusCode < 500 {
						md.report(f, "request %s %s got %d %s", id, path, resp.StatusCode, raw)
					}
				}
				if runs := f.runs.of(id); !idem && len(runs) > 1 {
					md.report(f, "request %s ran %d times", id, len(runs))
				}
			}
		})
	}
	rnd := rand.New(rand.NewPCG(uint64(os.Getpid()), 2))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for time.Now().Before(end) && f.trouble {
		for _, p := range []*atomic.Int64{&md.early, &md.lost, &md.garble, &md.extra, &md.full, &md.unframed} {
			p.Store(0)
			if p == &md.early && os.Getenv("EARLY") == "0" {
				continue
			}
			if rnd.IntN(3) == 0 {
				p.Store(int64(rnd.IntN(300)))
			}
		}
		m := f.machines[rnd.IntN(len(f.machines))]
		switch rnd.IntN(5) {
		case 0:
			m.kill()
			time.Sleep(200 * time.Millisecond)
			m.start()
		case 1:
			m.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			m.signal(syscall.SIGCONT)
		case 2:
			m.signal(syscall.SIGTERM)
			m.wait()
			m.start()
		}
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	md.bad.Range(func(id, status any) bool {
		if n := len(f.runs.of(id.(string))); n > 0 {
			md.report(f, "request %s was answered %v and ran %d times", id, status, n)
		}
		return true
	})
	f.say("%d sent, %d good, %d refused, %d other, %d findings", sent.Load(), good.Load(), refused.Load(), other.Load(), md.badN.Load())
	return md.badN.Load() > 0
}
