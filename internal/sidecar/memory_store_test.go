package sidecar

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/discovery"
)

// memoryStore is a discovery.Source in memory.
type memoryStore struct {
	mu       sync.Mutex
	update   discovery.Update
	changed  chan struct{}
	watching int // watches in progress
}

func newMemoryStore(doc *discovery.Document) *memoryStore {
	return &memoryStore{update: discovery.Update{Revision: 1, Document: doc}, changed: make(chan struct{})}
}

func (m *memoryStore) List(context.Context) (discovery.Update, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.update
	u.Upstreams = append([]discovery.Upstream(nil), u.Upstreams...)
	return u, nil
}

func (m *memoryStore) ListStale(ctx context.Context) (discovery.Update, error) { return m.List(ctx) }

func (m *memoryStore) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Update, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.count(1)
	defer m.count(-1)
	for {
		m.mu.Lock()
		u, changed := m.update, m.changed
		u.Upstreams = append([]discovery.Upstream(nil), u.Upstreams...)
		m.mu.Unlock()
		if u.Revision > after {
			return u, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return discovery.Update{Revision: after}, nil
		case <-ctx.Done():
			return discovery.Update{}, ctx.Err()
		}
	}
}

func (m *memoryStore) count(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watching += n
}

func (m *memoryStore) watches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watching
}

func (m *memoryStore) Check(context.Context) error { return nil }

func (m *memoryStore) Decode(_ context.Context, raw []byte) (*discovery.Document, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.update.Document == nil || !bytes.Equal(raw, m.update.Document.Raw) {
		return nil, errors.New("not the published table")
	}
	return m.update.Document, nil
}

// change edits the published state and wakes the watches.
func (m *memoryStore) change(edit func(*discovery.Update)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update.Revision++
	edit(&m.update)
	close(m.changed)
	m.changed = make(chan struct{})
}
