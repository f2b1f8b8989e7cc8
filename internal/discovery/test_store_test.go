package discovery

import "sync"

// testStore is a store with a history, read by any number of nodes.
type testStore struct {
	mu           sync.Mutex
	log          []Update // one change each
	changed      chan struct{}
	calls        int
	staleLists   int // counted separately from calls
	staleBy      int // changes that a stale listing lacks
	peerRequests int // between nodes
}

func newTestStore() *testStore { return &testStore{changed: make(chan struct{})} }

// write publishes one change under the next revision.
func (s *testStore) write(edit func(u *Update)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Revision: uint64(len(s.log) + 1)}
	edit(&u)
	s.log = append(s.log, u)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testStore) put(up Upstream) {
	s.write(func(u *Update) { up.Revision = u.Revision; u.Upstreams = []Upstream{up} })
}

func (s *testStore) remove(id string) {
	s.write(func(u *Update) { u.Removed = []Removal{{ID: id, Revision: u.Revision}} })
}

func (s *testStore) publish(edition uint64) {
	s.write(func(u *Update) { u.Document = testDocument(edition) })
}

// changesAfter merges the changes after a revision, and returns a channel that is closed
// at the next one.
func (s *testStore) changesAfter(revision uint64) (Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Revision: uint64(len(s.log))}
	last := make(map[string]int)
	for i, one := range s.log {
		for _, up := range one.Upstreams {
			last[up.ID] = i
		}
		for _, r := range one.Removed {
			last[r.ID] = i
		}
	}
	for i, one := range s.log {
		if one.Revision <= revision {
			continue
		}
		if one.Document != nil {
			u.Document = one.Document
		}
		for _, up := range one.Upstreams {
			if last[up.ID] == i {
				u.Upstreams = append(u.Upstreams, up)
			}
		}
		for _, r := range one.Removed {
			if last[r.ID] == i {
				u.Removed = append(u.Removed, r)
			}
		}
	}
	return u, s.changed
}

func (s *testStore) present() map[string]uint64 {
	u, _ := s.changesAfter(0)
	out := make(map[string]uint64)
	for _, up := range u.Upstreams {
		out[up.ID] = up.Revision
	}
	return out
}

func (s *testStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// peerRequestCount returns the number of requests between nodes, and staleListCount the
// number of stale listings.
func (s *testStore) peerRequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerRequests
}

func (s *testStore) staleListCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleLists
}
