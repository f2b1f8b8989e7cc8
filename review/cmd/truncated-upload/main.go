// The case of an upload that a target rejects before it is in, and that reaches a second
// target without its first part.
package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	clients    = 4
	runTime    = 60 * time.Second
	bodyLength = 700 << 10 // MaxBodyBytes is 1 MiB
	workTime   = 20 * time.Millisecond
	// rejectShare is the share of long requests that one of three targets rejects early.
	rejectShare = 0.02
)

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

type sent struct {
	sum    string
	length int
}

// day is what the stand-ins share.
type day struct {
	rec *kit.Record
	mu  sync.Mutex
	// by request id
	sent map[string]sent
	runs map[string]int

	rejects                                   atomic.Bool // the first target rejects some long requests
	requests, served, rejected, bad, twice, n atomic.Int64
	other                                     atomic.Int64
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
	d := &day{rec: rec, sent: make(map[string]sent), runs: make(map[string]int)}
	d.rejects.Store(trouble)
	front, err := f.Add("zone-a", "front")
	if err != nil {
		return rec.Fail(err)
	}
	for i := range 3 {
		m, err := f.Add("zone-a", "intake")
		if err != nil {
			return rec.Fail(err)
		}
		l, err := net.Listen("tcp", m.AppAddr)
		if err != nil {
			return rec.Fail(err)
		}
		id := fmt.Sprintf("i-%d", i)
		go func() { _ = (&http.Server{Handler: &target{d: d, id: id, faulty: i == 0}}).Serve(l) }()
		f.Register(m, id, 12)
	}
	f.Configure(12, []kit.Route{{Name: "upload", Host: "intake.example", Prefix: "/in/", Kind: "upload", Service: "intake", TimeoutMs: 1500, AimMs: 500, Priority: 1, MaxAttempts: 2}})
	if err := f.StartAll(); err != nil {
		return rec.Fail(err)
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(runTime)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for time.Now().Before(end) {
				d.upload(front.Outbound)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	rec.Say("sent %d, served %d, other answers %d; rejected early by the faulty target %d; run with a changed body %d, run twice %d",
		d.requests.Load(), d.served.Load(), d.other.Load(), d.rejected.Load(), d.bad.Load(), d.twice.Load())
	switch {
	case d.served.Load() < d.requests.Load()/2:
		return rec.Fail(fmt.Errorf("less than half of the uploads were served"))
	case d.bad.Load()+d.twice.Load() > 0:
		rec.Say("UNASKED or TWICE broken")
		return 1
	}
	rec.Say("the rule held")
	return 0
}

// upload sends one upload in chunks on a new connection.
func (d *day) upload(addr string) {
	id := fmt.Sprintf("u%07d", d.n.Add(1))
	body := make([]byte, bodyLength)
	for i := 0; i+8 <= len(body); i += 8 {
		copy(body[i:], fmt.Sprintf("%s%07x", id[5:], i/8)[:8])
	}
	sum := sha256.Sum256(body)
	d.mu.Lock()
	d.sent[id] = sent{hex.EncodeToString(sum[:8]), len(body)}
	d.mu.Unlock()
	d.requests.Add(1)
	d.rec.Add("%s sent, %d bytes, sum %x", id, len(body), sum[:8])
	status, err := post(addr, id, body)
	d.rec.Add("%s answered %d %v", id, status, err)
	if status == http.StatusOK {
		d.served.Add(1)
		return
	}
	d.other.Add(1)
}

// post sends a body in chunks of 16 KB and returns the status of the answer.
func post(addr, id string, body []byte) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	go func() {
		w := bufio.NewWriterSize(c, 32<<10)
		fmt.Fprintf(w, "POST /in/%s HTTP/1.1\r\nHost: intake.example\r\nX-Walldrift-Request-Id: %s\r\nX-Walldrift-Request-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for rest := body; len(rest) > 0; {
			n := min(16<<10, len(rest))
			fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(rest[:n])
			_, _ = w.WriteString("\r\n")
			rest = rest[n:]
		}
		_, _ = w.WriteString("0\r\n\r\n")
		_ = w.Flush()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, err
}

// target runs uploads. A faulty one rejects some before they are in.
type target struct {
	d      *day
	id     string
	faulty bool
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Walldrift-Request-Id")
	h := w.Header()
	h.Set("X-Walldrift-Request-Id", id)
	h.Set("X-Walldrift-Instance-Id", t.id)
	h.Set("X-Walldrift-Server-Load", "1,0,12")
	if want := r.Header.Get("X-Walldrift-Expected-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.faulty && t.d.rejects.Load() && rand.Float64() < rejectShare {
		t.d.rejected.Add(1)
		t.d.rec.Add("%s rejected early by %s, not run", id, t.id)
		reject(w, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.d.rec.Add("%s came in part to %s, not run: %v", id, t.id, err)
		return
	}
	sum := sha256.Sum256(body)
	t.d.noteRun(id, t.id, sent{hex.EncodeToString(sum[:8]), len(body)})
	time.Sleep(workTime)
	h.Set("X-Walldrift-Response-Signature", "s."+id)
	_, _ = io.WriteString(w, "done "+id)
}

func (d *day) noteRun(id, target string, got sent) {
	d.mu.Lock()
	want, known := d.sent[id]
	d.runs[id]++
	times := d.runs[id]
	d.mu.Unlock()
	d.rec.Add("%s run by %s, %d bytes, sum %s", id, target, got.length, got.sum)
	if times > 1 {
		d.twice.Add(1)
		d.rec.Say("%s run %d times", id, times)
	}
	if !known || got != want {
		d.bad.Add(1)
		d.rec.Say("%s run by %s with %d bytes instead of %d", id, target, got.length, want.length)
	}
}

// reject answers before the body is in, and reads the rest.
func reject(w http.ResponseWriter, id string) {
	c, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(rw, "HTTP/1.1 503 Service Unavailable\r\nX-Walldrift-Request-Id: %s\r\nX-Walldrift-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
	_ = rw.Flush()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, rw)
}
