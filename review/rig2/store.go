package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one version of a key in the store.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool      `json:",omitempty"`
	at        time.Time // when it was written
}

// Limits of the store's answers and of its history.
const (
	pageItems  = 500
	pageBytes  = 1_000_000
	historyFor = 20 * time.Second
)

// store is the platform's metadata store. It keeps all versions, and answers watches from
// those of the last historyFor.
type store struct {
	addr string

	mu      sync.Mutex
	log     []item
	changed chan struct{}
	// laggingBy is how old the replica is that answers the later pages of a serializable
	// listing; the leader answers the first.
	laggingBy time.Duration
}

func newStore(ip string) *store {
	s := &store{changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// lag makes the replica lag from now on.
func (s *store) lag(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.laggingBy = by
}

// put writes a key, or removes it if the value is nil, and returns the time of the
// acknowledgement.
func (s *store) put(key string, value any) time.Time {
	var raw []byte
	switch v := value.(type) {
	case nil:
	case []byte:
		raw = v
	default:
		var err error
		raw, err = json.Marshal(v)
		check(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	rev := uint64(len(s.log) + 1)
	s.log = append(s.log, item{Key: key, Value: raw, Revision: rev, Created: rev, Tombstone: value == nil, at: now})
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// view returns the items with a prefix as of a time, sorted by key, and the revision then.
func (s *store) view(prefix string, asOf time.Time) (items []item, revision uint64) {
	newest := make(map[string]item)
	for _, it := range s.log {
		if it.at.After(asOf) {
			break
		}
		revision = it.Revision
		if strings.HasPrefix(it.Key, prefix) {
			newest[it.Key] = it
		}
	}
	for _, it := range newest {
		if !it.Tombstone {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return items, revision
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/walldrift/kv-key":
		s.mu.Lock()
		items, rev := s.view(q.Get("Key"), time.Now())
		s.mu.Unlock()
		if len(items) == 0 || items[0].Key != q.Get("Key") {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, struct {
			item
			StoreRevision uint64
		}{items[0], rev})
	case "/walldrift/kv-range":
		s.serveRange(w, q.Get("Prefix"), q.Get("after"), q.Get("Serializable") == "1")
	case "/walldrift/kv-watch":
		after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, err2 := strconv.Atoi(q.Get("WaitMs"))
		if err1 != nil || err2 != nil {
			http.Error(w, "bad watch", http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, q.Get("Prefix"), after, time.Duration(ms)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string, serializable bool) {
	s.mu.Lock()
	asOf := time.Now()
	if serializable && after != "" {
		asOf = asOf.Add(-s.laggingBy)
	}
	items, rev := s.view(prefix, asOf)
	s.mu.Unlock()
	page, more, size := []item{}, false, 0
	for _, it := range items {
		if it.Key <= after {
			continue
		}
		if len(page) == pageItems || size >= pageBytes {
			more = true
			break
		}
		page = append(page, it)
		size += len(it.Value)
	}
	writeJSON(w, map[string]any{"items": page, "HasMore": more, "StoreRevision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		changed, rev := s.changed, uint64(len(s.log))
		gone := after < rev && time.Since(s.log[after].at) > historyFor
		events := []item{}
		if !gone {
			for _, it := range s.log[min(after, rev):] {
				if strings.HasPrefix(it.Key, prefix) {
					events = append(events, it)
				}
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || waited:
			writeJSON(w, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}
