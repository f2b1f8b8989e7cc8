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

// slowWay is a store with a table that takes a time to come, part by part.
type slowWay struct {
	fakeSource
	takes   time.Duration
	stalls  bool // after the first part, for good
	flying  int
	highest int // calls in flight at once
}

const (
	part      = 50 * time.Millisecond
	partBytes = 25_000 // 0.9 MB in 1.8 s
)

func (s *slowWay) Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.flying++
	s.highest = max(s.highest, s.flying)
	s.mu.Unlock()
	defer s.set(func(*fakeSource) { s.flying-- })
	u, err := s.fakeSource.Watch(ctx, after, wait)
	if err != nil || u.Document == nil {
		return u, err
	}
	for came := time.Duration(0); came < s.takes; came += part {
		next, bytes := part, partBytes
		if s.stalls {
			next, bytes = time.Hour, leastPart
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

// Behind a link of 10 Mbit/s a table of 3,312 routes, 0.9 MB in the store's answer,
// takes 0.7 s and more. A reader took the answer that was coming for one that was
// lost: 0.3 s after its time another call went out beside it, which brought the same
// table over the same link, and 0.8 s after its time the store counted as away. In
// 36 s, with seven such tables, 74 nodes lost the store 541 times:
//
//	6.0194 store call slow call=watch took=492.083711ms
//	5.8943 store lost err="no answer of the store in time" news_age=2.101309056s
//
// An answer of which parts come is neither overdue nor lost.
func TestAnswerThatComesIsNotOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := followSlowWay(t, 1800*time.Millisecond, false)
		assert.Equal(t, s.highest, 1)
		assert.Equal(t, strings.Count(lines, "store lost"), 0, lines)
	})
}

// One that has begun to come and stays away is overdue like any other.
func TestAnswerThatStallsIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := followSlowWay(t, 1800*time.Millisecond, true)
		assert.Assert(t, s.highest > 1)
		assert.Equal(t, strings.Count(lines, "store lost"), 1, lines)
	})
}

// followSlowWay follows a store while it publishes a table that takes a time to come,
// and returns it and the lines of the follower.
func followSlowWay(t *testing.T, takes time.Duration, stalls bool) (*slowWay, string) {
	t.Helper()
	s := &slowWay{takes: takes, stalls: stalls}
	s.state = Update{Revision: 1, Document: testDocument(1)}
	var lines bytes.Buffer
	f := NewFollower(DefaultConfig(), s, nil, &snapshot.Holder{}, log.New(&lines), func(*Directory) {})
	f.follow(t)
	time.Sleep(time.Second)
	s.set(func(*fakeSource) { s.state = Update{Revision: 2, Document: testDocument(2)} })
	time.Sleep(takes + 400*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, lines.String()
}
