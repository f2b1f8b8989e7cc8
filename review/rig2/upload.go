package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["early"] = earlyRejections }

// Dose of the early rejections: this share of the long requests at this share of the
// targets, for this time.
const (
	earlyPerMille = 400
	earlyFor      = 6 * time.Second
	earlyTimes    = 3
	photoBytes    = 1_000_000
	uploaders     = 24
)

// earlyRejections has clients upload photos of 1 MB in chunks. For some seconds the targets
// reject part of the uploads before they have read them, and read on later.
func earlyRejections(f *fleet) bool {
	for i, s := range []string{"docs-svc", "docs-svc", "docs-svc", "look-svc"} {
		f.addMachine(s, []string{"hall-a", "hall-b", "hall-c"}[i%3], 18)
	}
	c := newConfig(1, "docs-svc", "look-svc")
	c.add("/photos/", "upload", "docs-svc", 2000, 500)
	f.store.put("op/config", c)
	md := &modes{}
	for i, m := range f.machines {
		l, err := net.Listen("tcp", m.target.addr)
		check(err)
		m.target.listener = l
		r := &rawTarget{t: m.target, modes: md, sound: i == 0}
		go r.accept(l)
	}
	f.startAll()
	time.Sleep(8 * time.Second)

	var sent, good, refused, other atomic.Int64
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	upload := func(m *machine) {
		id := nextID()
		body := content(id, photoBytes/2+rand.IntN(photoBytes))
		// A reader of unknown length is sent in chunks.
		req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+"/photos/x", struct{ io.Reader }{bytes.NewReader(body)})
		if err != nil {
			return
		}
		req.Host = host
		for name, value := range map[string]string{
			"X-Walldrift-Request-Id": id, "X-Walldrift-Request-Deadline-Ms": "2000",
			"X-Size": strconv.Itoa(len(body)), "X-Want": "200", "X-Method": http.MethodPost, "X-Uri": "/photos/x", "X-From": m.target.service,
		} {
			req.Header.Set(name, value)
		}
		sent.Add(1)
		begin := time.Now()
		resp, err := client.Do(req)
		status := 0
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			status = resp.StatusCode
		}
		switch {
		case err == nil && status == http.StatusOK:
			good.Add(1)
		case status == http.StatusServiceUnavailable:
			refused.Add(1)
		default:
			other.Add(1)
		}
		f.logf("request %s POST %d bytes by %s sent %.3f status %d err %v, %d runs", id, len(body), m.name, begin.Sub(f.started).Seconds(), status, err, len(f.runs.of(id)))
	}
	send := func(d time.Duration) {
		var group sync.WaitGroup
		for i := range uploaders {
			group.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					upload(f.machines[i%len(f.machines)])
				}
			})
		}
		group.Wait()
	}
	send(2 * time.Second)
	for range earlyTimes {
		if f.trouble {
			md.early.Store(earlyPerMille)
			f.logf("two of the three targets reject part of the long requests early")
		}
		send(earlyFor)
		md.early.Store(0)
		f.logf("no target rejects")
		send(2 * time.Second)
	}
	f.say("%d uploads: %d good, %d refused, %d otherwise; %d times a target got a changed body", sent.Load(), good.Load(), refused.Load(), other.Load(), md.badN.Load())
	return md.badN.Load() > 0
}
