package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// content is the body of a request: a stream that its id determines.
func content(id string, n int) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	rnd := rand.New(rand.NewPCG(h.Sum64(), 1))
	b := make([]byte, (n+7)/8*8)
	for i := 0; i < len(b); i += 8 {
		v := rnd.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return b[:n]
}

// rawTarget is a target that answers by hand, so that it can misbehave as the pages say.
type rawTarget struct {
	t     *target
	modes *modes
	sound bool // rejects no request early
	mu    sync.Mutex
	busy  int
}

// modes holds how often, per mille, raw targets misbehave in each way, and what was found.
type modes struct {
	early, lost, garble, extra, full, unframed atomic.Int64 // per mille
	bad                                        sync.Map     // refused requests that are not idempotent
	badN                                       atomic.Int64
}

// report writes a finding to the record; only the first ones are written.
func (m *modes) report(f *fleet, format string, args ...any) {
	if m.badN.Add(1) < 20 {
		f.say("BROKEN "+format, args...)
	}
}

// chunks returns a body in the chunked coding, in pieces of up to 40,000 bytes.
func chunks(body []byte) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(len(body), 1+rand.IntN(40_000))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// hit draws whether something of a frequency per mille happens.
func hit(p *atomic.Int64) bool { return rand.Int64N(1000) < p.Load() }

// accept serves connections until the listener is closed.
func (r *rawTarget) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(nc)
	}
}

// serve serves the requests of one connection and checks that each arrives unchanged.
func (r *rawTarget) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReaderSize(nc, 4<<10)
	f := r.t.f
	for {
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(br)
		if err != nil {
			if !strings.Contains(err.Error(), "EOF") && !strings.Contains(err.Error(), "timeout") && !strings.Contains(err.Error(), "reset") {
				r.modes.report(f, "target %s got bytes that are no request: %v", r.t.addr, err)
			}
			return
		}
		id, own := req.Header.Get("X-Walldrift-Request-Id"), r.t.currentID()
		head := "X-Walldrift-Request-Id: " + id + "\r\nX-Walldrift-Instance-Id: " + own + "\r\n"
		refuse := func(status int) {
			fmt.Fprintf(nc, "HTTP/1.1 %d X\r\n%sX-Walldrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, head)
		}
		if want := req.Header.Get("X-Walldrift-Expected-Instance"); want != own {
			refuse(421)
			return
		}
		size, _ := strconv.Atoi(req.Header.Get("X-Size"))
		want := content(id, size)
		if size > 0 && !r.sound && hit(&r.modes.early) {
			refuse(503)
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			got, err := io.ReadAll(req.Body)
			if !bytes.HasPrefix(want, got) || err == nil && len(got) != size {
				r.modes.report(f, "target got other bytes where the rest of the body of %s is due: %d bytes, %v", id, len(got), err)
			}
			if err != nil {
				return
			}
			continue
		}
		got, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		full := r.busy >= r.t.nSlots+4
		if !full {
			r.busy++
		}
		r.mu.Unlock()
		if full || hit(&r.modes.full) {
			if !full {
				r.mu.Lock()
				r.busy--
				r.mu.Unlock()
			}
			if rand.IntN(2) == 0 {
				return
			}
			refuse(503)
			continue
		}
		f.runs.began(id, "", r.t.service)
		if !bytes.Equal(got, want) || req.Method != req.Header.Get("X-Method") || req.RequestURI != req.Header.Get("X-Uri") || req.Header.Get("X-Walldrift-Caller-Service") != req.Header.Get("X-From") {
			r.modes.report(f, "request %s ran changed: %s %s, %d bytes of %d, equal %v, caller %q", id, req.Method, req.RequestURI, len(got), size, bytes.Equal(got, want), req.Header.Get("X-Walldrift-Caller-Service"))
		}
		time.Sleep(time.Duration(1+rand.IntN(40)) * time.Millisecond)
		r.mu.Lock()
		r.busy--
		r.mu.Unlock()
		n, _ := strconv.Atoi(req.Header.Get("X-Want"))
		body := content("answer "+id, n)
		head += "X-Walldrift-Response-Signature: " + own + "\r\n"
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, n, body)
		switch {
		case hit(&r.modes.lost):
			return
		case hit(&r.modes.garble):
			if rand.IntN(2) == 0 {
				_, _ = io.WriteString(nc, "garbage garbage\r\n\r\n")
			} else {
				_, _ = io.WriteString(nc, whole[:rand.IntN(len(whole))])
			}
			return
		case hit(&r.modes.unframed):
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s\r\n%s", head, body)
			return
		case hit(&r.modes.extra):
			_, _ = io.WriteString(nc, whole)
			go func() {
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
				_, _ = io.WriteString(nc, whole)
			}()
			continue
		}
		if rand.IntN(4) == 0 {
			whole = "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body)
		}
		if _, err := io.WriteString(nc, whole); err != nil {
			return
		}
	}
}
