package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is an application target beside a sidecar. It runs a request whose path ends with
// segments like w50 (works for 50 ms) and b1000 (answers with 1,000 bytes).
type target struct {
	f       *fleet
	addr    string
	service string
	zone    string
	nSlots  int
	slots   chan struct{}

	mu       sync.Mutex
	id       string
	starts   int
	seq      int
	state    string // empty if no process runs
	begun    time.Time
	last     entry // as last written, without Seq
	listener net.Listener
	server   *http.Server
}

type entryInfo struct {
	Service, Version, Zone string
	Slots                  int
}

type entryStatus struct {
	State           string
	Seq             int
	ColdRemainingMs int
}

type entry struct {
	Address string
	Info    entryInfo
	Status  entryStatus
}

// start begins a new incarnation with a new Id and registers it.
func (t *target) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		l, err := net.Listen("tcp", t.addr)
		check(err)
		t.listener = l
		t.server = &http.Server{Handler: t}
		go func() { _ = t.server.Serve(l) }()
	}
	t.starts++
	t.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "", ":", "").Replace(t.addr), t.starts)
	t.begun, t.state, t.seq = time.Now(), "ready", 0
	t.write()
	go t.beat(t.id)
}

const (
	heartbeat = 870 * time.Millisecond
	coldFor   = 3 * time.Second
)

// write puts the entry into the store. The lock is held.
func (t *target) write() {
	t.seq++
	e := entry{Address: t.addr, Info: entryInfo{t.service, "v1", t.zone, t.nSlots}, Status: entryStatus{t.state, 0, int(max(coldFor-time.Since(t.begun), 0).Milliseconds())}}
	if e == t.last {
		return // only the sequence number has changed
	}
	t.last = e
	e.Status.Seq = t.seq
	t.f.store.put("servers/"+t.id, e)
}

// beat writes the entry at each heartbeat of an incarnation until it has ended.
func (t *target) beat(id string) {
	for {
		time.Sleep(heartbeat)
		t.mu.Lock()
		if t.id != id || t.state == "" {
			t.mu.Unlock()
			return
		}
		t.write()
		t.mu.Unlock()
	}
}

// drain reports that the target leaves, serves for drainMs more, removes the entry and ends.
func (t *target) drain() {
	t.mu.Lock()
	t.state = "draining"
	t.write()
	t.mu.Unlock()
	time.Sleep((drainMs + 200) * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = ""
	t.f.store.put("servers/"+t.id, nil)
	_ = t.server.Close()
}

func (t *target) currentID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := t.currentID()
	w.Header().Set("X-Walldrift-Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	reqID := r.Header.Get("X-Walldrift-Request-Id")
	w.Header().Set("X-Walldrift-Request-Id", reqID)
	if want := r.Header.Get("X-Walldrift-Expected-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		w.Header().Set("X-Walldrift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	t.f.runs.began(reqID, r.Header.Get("X-Walldrift-Tenant"), t.service)
	work, size := 5, 0
	for _, part := range strings.Split(r.URL.Path, "/") {
		if v, err := strconv.Atoi(strings.TrimPrefix(part, "w")); err == nil && strings.HasPrefix(part, "w") {
			work = v
		}
		if v, err := strconv.Atoi(strings.TrimPrefix(part, "b")); err == nil && strings.HasPrefix(part, "b") {
			size = v
		}
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	body := []byte(fmt.Sprintf("%s got %d bytes\n", reqID, n))
	if size > len(body) {
		body = append(body, make([]byte, size-len(body))...)
	}
	w.Header().Set("X-Walldrift-Response-Signature", id)
	w.Header().Set("X-Walldrift-Server-Load", fmt.Sprintf("%d,0,%d", len(t.slots), cap(t.slots)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	t.f.runs.ended(reqID)
	_, _ = w.Write(body)
}

// runLog records the runs of requests at all targets.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
	done map[string]time.Time
}

type run struct {
	at      time.Time
	tenant  string
	service string
}

func (l *runLog) began(id, tenant, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], run{time.Now(), tenant, service})
}

func (l *runLog) ended(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done[id] = time.Now()
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *runLog) endOf(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.done[id]
	return at, ok
}
