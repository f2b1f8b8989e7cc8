// Package kit holds the stand-ins that the review cases share: the platform's store, the
// machines with their sidecar processes, connections between them, and a record.
package kit

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// History is how long the store keeps its history: HistoryS of the sheets.
const History = 20 * time.Second

// Store is a stand-in of the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	log     []Item
	times   []time.Time   // of the items of log
	changed chan struct{} // closed at the next change
}

// Item is a key as it was written, or a tombstone.
type Item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Put writes a value as JSON and returns its length.
func (s *Store) Put(key string, value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.append(Item{Key: key, Value: raw})
	return len(raw)
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.append(Item{Key: key, Tombstone: true}) }

func (s *Store) append(it Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it.Revision = uint64(len(s.log) + 1)
	it.Created = it.Revision
	s.log, s.times = append(s.log, it), append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the last item of each key with a prefix that is newer than a revision.
func (s *Store) newest(prefix string, after uint64) []Item {
	last := make(map[string]Item)
	for _, it := range s.log {
		if strings.HasPrefix(it.Key, prefix) {
			last[it.Key] = it
		}
	}
	out := []Item{}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if last[key].Revision > after {
			out = append(out, last[key])
		}
	}
	return out
}

// events returns all that was written under a prefix after a revision; false if that
// history is no longer kept.
func (s *Store) events(prefix string, after uint64) ([]Item, bool) {
	out := []Item{}
	for i, it := range s.log {
		if it.Revision <= after || !strings.HasPrefix(it.Key, prefix) {
			continue
		}
		if time.Since(s.times[i]) > History {
			return nil, false
		}
		out = append(out, it)
	}
	return out, true
}

// ServeHTTP serves the reading calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/walldrift/kv-key":
		s.serveKey(w, q.Get("Key"))
	case "/walldrift/kv-range":
		s.serveRange(w, q.Get("Prefix"), q.Get("after"))
	case "/walldrift/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("WaitMs"))
		s.serveWatch(w, r, q.Get("Prefix"), after, time.Duration(min(ms, 30000))*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.newest(key, 0) {
		if it.Key == key && !it.Tombstone {
			writeJSON(w, it)
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []Item{}
	for _, it := range s.newest(prefix, 0) {
		if !it.Tombstone && it.Key > after {
			page = append(page, it)
		}
	}
	writeJSON(w, map[string]any{"items": page, "HasMore": false, "StoreRevision": len(s.log)})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		events, kept := s.events(prefix, after)
		revision, changed := len(s.log), s.changed
		s.mu.Unlock()
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || waited {
			writeJSON(w, map[string]any{"events": events, "StoreRevision": revision})
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
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
