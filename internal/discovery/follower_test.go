package discovery

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// fakeSource is a store whose responses the test sets.
type fakeSource struct {
	mu       sync.Mutex
	state    Update
	fail     error // result of every call
	watchErr error // result of the next watch
	lists    int
	watches  int
}

func (s *fakeSource) List(context.Context) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.state, s.fail
}

func (s *fakeSource) ListStale(ctx context.Context) (Update, error) { return s.List(ctx) }

func (s *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		s.watches++
		u, err, watchErr := s.state, s.fail, s.watchErr
		s.watchErr = nil
		s.mu.Unlock()
		switch {
		case err != nil:
			return Update{}, err
		case watchErr != nil:
			return Update{}, watchErr
		case u.Revision > after:
			return u, nil
		case !time.Now().Before(end):
			return Update{Revision: after}, nil
		}
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeSource) Check(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fail
}

func (s *fakeSource) Decode(_ context.Context, raw []byte) (*Document, error) {
	if len(raw) != 1 {
		return nil, errors.New("no test document")
	}
	return testDocument(uint64(raw[0])), nil
}

// calls returns the number of listings and of polls by watches so far.
func (s *fakeSource) calls() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

func (s *fakeSource) set(edit func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s)
}

func testDocument(edition uint64) *Document {
	t := &table.Table{Edition: edition, Services: []table.Service{{Name: "s"}},
		Routes: []table.Route{{Name: "r", Prefix: "/", Service: "s", Timeout: time.Second}}}
	return &Document{ID: version.Of(edition, nil), Table: t, Raw: []byte{byte(edition)}}
}

func publishedUpstream(id string, revision uint64) Upstream {
	return Upstream{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3, Revision: revision}
}

// follow runs a follower until the test ends; it is called in a synctest bubble.
func follow(t *testing.T, source Source) (*Follower, *snapshot.Holder) {
	holder := &snapshot.Holder{}
	f := NewFollower(DefaultConfig(), source, nil, holder, log.New(io.Discard), func(*Directory) {})
	f.follow(t)
	return f, holder
}

// follow runs the follower until the test ends.
func (f *Follower) follow(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

// Before anything is known, the staleness must not look like that of fresh news.
func TestStalenessBeforeAnythingIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := follow(t, &fakeSource{fail: errors.New("down")})
		time.Sleep(time.Second)
		assert.Equal(t, f.Staleness(time.Now()), unknownStaleness)
		assert.Equal(t, f.Status(time.Now()).Staleness, unknownStaleness)
	})
}

func TestSnapshotFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1)}}
		f, holder := follow(t, s)
		time.Sleep(time.Second)
		assert.Equal(t, holder.ID().Edition, uint64(1))
		assert.Equal(t, len(holder.Current().Service("s").Upstreams), 0)
		s.set(func(s *fakeSource) { s.state = Update{Revision: 2, Upstreams: []Upstream{publishedUpstream("a", 2)}} })
		time.Sleep(time.Second)
		assert.Equal(t, holder.Current().Service("s").Upstreams[0].Name, "a")
		assert.Equal(t, holder.Current().Upstream("a").Concurrency, 3)
		leaving := publishedUpstream("a", 3)
		leaving.Leaving = true
		s.set(func(s *fakeSource) {
			s.state = Update{Revision: 3, Upstreams: []Upstream{leaving}, Document: testDocument(2)}
		})
		time.Sleep(time.Second)
		m, ok := f.Member("a")
		assert.Assert(t, ok && m.Status == membership.Leaving)
		assert.Equal(t, holder.ID().Edition, uint64(2))
	})
}

// An older table, as in a stale response, must not replace a newer one.
func TestOlderTableIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{state: Update{Revision: 5, Document: testDocument(5)}}
		_, holder := follow(t, s)
		time.Sleep(time.Second)
		s.set(func(s *fakeSource) { s.state = Update{Revision: 6, Document: testDocument(4)} })
		time.Sleep(time.Second)
		assert.Equal(t, holder.ID().Edition, uint64(5))
	})
}

// When the store has dropped its history, or what has changed is longer than what is read,
// the node lists the whole store at once. Guards against a watch of the same revision that
// is repeated until the store drops that: for 18 s, in which no table was followed.
func TestUnusableWatchIsRelistedAtOnce(t *testing.T) {
	for _, cause := range []error{ErrHistoryGone, errors.Wrap(ErrUpdateTooLong, "store")} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1)}}
			_, holder := follow(t, s)
			time.Sleep(time.Second)
			s.set(func(s *fakeSource) {
				s.state = Update{Revision: 9, Document: testDocument(2)}
				s.watchErr = cause
			})
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, holder.ID().Edition, uint64(2))
			lists, _ := s.calls()
			assert.Equal(t, lists, 2)
		})
	}
}

// During an outage of the store the last snapshot stays in force and calls are few; a
// change is in force within a second of the store's recovery.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1), Upstreams: []Upstream{publishedUpstream("a", 1)}}}
		_, holder := follow(t, s)
		time.Sleep(time.Second)
		s.set(func(s *fakeSource) { s.fail = errors.New("down") })
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(holder.Current().Service("s").Upstreams), 1)
		_, before := s.calls()
		time.Sleep(10 * time.Second)
		_, after := s.calls()
		assert.Assert(t, after-before <= 50, "%d calls in ten seconds", after-before)
		s.set(func(s *fakeSource) { s.fail, s.state = nil, Update{Revision: 2, Document: testDocument(2)} })
		time.Sleep(time.Second)
		assert.Equal(t, holder.ID().Edition, uint64(2))
	})
}

// The age of the table counts from when it was received, whatever else changes.
func TestTableAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(DefaultConfig(), &fakeSource{}, nil, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
		assert.Equal(t, f.TableAge(time.Now()), time.Duration(0))
		take := func(edition uint64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.setDocument(testDocument(edition), SourceStore)
		}
		take(1)
		time.Sleep(time.Second)
		take(1)
		f.mu.Lock()
		f.refresh("")
		f.mu.Unlock()
		time.Sleep(time.Second)
		assert.Equal(t, f.TableAge(time.Now()), 2*time.Second)
		take(2)
		time.Sleep(time.Second)
		assert.Equal(t, f.TableAge(time.Now()), time.Second)
	})
}
