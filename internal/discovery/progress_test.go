package discovery

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// slowSource is a store whose responses with a table take a given time to transfer, in
// chunks.
type slowSource struct {
	fakeSource
	transferTime time.Duration
	stalls       bool // after the first chunk, for good
	inFlight     int
	maxInFlight  int // concurrent calls in flight
}

const (
	chunkInterval = 50 * time.Millisecond
	chunkBytes    = 25_000 // 0.9 MB in 1.8 s
)

func (s *slowSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.mu.Unlock()
	defer s.set(func(*fakeSource) { s.inFlight-- })
	u, err := s.fakeSource.Watch(ctx, after, wait)
	if err != nil || u.Document == nil {
		return u, err
	}
	for came := time.Duration(0); came < s.transferTime; came += chunkInterval {
		next, bytes := chunkInterval, chunkBytes
		if s.stalls {
			next, bytes = time.Hour, minProgressBytes
		}
		ReportProgress(ctx, bytes)
		select {
		case <-time.After(next):
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
	return u, nil
}

// Guards against a response in transfer that counts as lost. Over a link of 10 Mbit/s a
// table of 3,312 routes, 0.9 MB in the store's response, takes 0.7 s or more. A hedged
// call 0.3 s after its expected time fetched the same table over the same link, and 0.8 s
// after it the store counted as unreachable: 74 nodes lost the store 541 times in 36 s
// with seven such tables. A call with progress must be neither overdue nor lost.
func TestResponseInProgressIsNotOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, logged := followSlowSource(t, 1800*time.Millisecond, false)
		assert.Equal(t, s.maxInFlight, 1)
		assert.Equal(t, strings.Count(logged, "store lost"), 0, logged)
	})
}

// A response that stops arriving is overdue like any other.
func TestStalledResponseIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, logged := followSlowSource(t, 1800*time.Millisecond, true)
		assert.Assert(t, s.maxInFlight > 1)
		assert.Equal(t, strings.Count(logged, "store lost"), 1, logged)
	})
}

// followSlowSource follows a store that publishes a table with the given transfer time,
// and returns the store and the log of the follower.
func followSlowSource(t *testing.T, transferTime time.Duration, stalls bool) (*slowSource, string) {
	t.Helper()
	s := &slowSource{transferTime: transferTime, stalls: stalls}
	s.state = Update{Revision: 1, Document: testDocument(1)}
	var logged bytes.Buffer
	f := NewFollower(DefaultConfig(), s, nil, &snapshot.Holder{}, log.New(&logged), func(*Directory) {})
	f.follow(t)
	time.Sleep(time.Second)
	s.set(func(*fakeSource) { s.state = Update{Revision: 2, Document: testDocument(2)} })
	time.Sleep(transferTime + 400*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, logged.String()
}
