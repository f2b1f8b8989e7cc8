package discovery

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// Guards against a response that arrived during a stall of the loop and counts as
// overdue. Putting a large table in force blocks a node for 0.7 to 0.9 s. If the loop
// then compared the clock first, it sent a hedged call beside the answered one and marked
// the store as unreachable.
func TestResponseReceivedDuringAStallCounts(t *testing.T) {
	runWithStall(t, &overdueSource{secondDelay: 20 * time.Millisecond})
}

// Guards against the same when the whole process was stalled: responses are still in
// kernel buffers then and are read a moment after it continues. Of 20 stalls of 0.9 s in
// which the store answered all calls in time, 3 marked the store as unreachable, and 18
// calls were made beside one that had its response.
func TestResponseReadAfterAStallCounts(t *testing.T) {
	runWithStall(t, &overdueSource{secondDelay: loopStall + 15*time.Millisecond})
}

// loopStall is how long the loop that calls the store is blocked.
const loopStall = 850 * time.Millisecond

// runWithStall blocks a follower after the first watch, which was overdue, while the
// second gets its response.
func runWithStall(t *testing.T, source *overdueSource) {
	synctest.Test(t, func(t *testing.T) {
		logged := &stallingWriter{trigger: "store call slow", stall: loopStall}
		f := NewFollower(DefaultConfig(), source, nil, &snapshot.Holder{}, log.New(logged), func(*Directory) {})
		f.follow(t)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, !strings.Contains(logged.String(), "store lost"), "%s", logged)
		waits := source.watchWaits()
		assert.Assert(t, len(waits) > 2 && waits[1] == time.Millisecond, "the second watch must be a hedged call beside the first, overdue one: %v", waits)
		assert.Assert(t, waits[2] > time.Millisecond, "the third watch was sent beside the second, whose response was here: %v", waits)
	})
}

// overdueSource answers its first watch so late that a hedged one is sent, the second
// after secondDelay, and all others after their wait.
type overdueSource struct {
	fakeSource
	secondDelay time.Duration
	waits       []time.Duration
}

func (s *overdueSource) Watch(_ context.Context, after uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	number := len(s.waits)
	s.mu.Unlock()
	switch number {
	case 1:
		time.Sleep(wait + DefaultConfig().HedgeDelay + 10*time.Millisecond)
	case 2:
		time.Sleep(s.secondDelay)
	default:
		time.Sleep(wait)
	}
	return Update{Revision: after}, nil
}

func (s *overdueSource) watchWaits() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits
}

// stallingWriter blocks the first writer of a line that contains trigger.
type stallingWriter struct {
	trigger string
	stall   time.Duration
	once    sync.Once
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *stallingWriter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(w.trigger)) {
		w.once.Do(func() { time.Sleep(w.stall) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *stallingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}
