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

// A node that takes a large table stands still for 0.7 to 0.9 s. When it went on it
// first looked at the clock: a call whose answer had come meanwhile was overdue, so
// another one was made beside it, and the store counted as lost ("store lost err=no
// answer of the store in time"), with the answer in hand.
func TestAnswerThatCameDuringAStallCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &overdueSource{}
		lines := &stallingWriter{on: "store call slow", stall: 850 * time.Millisecond}
		holder := &snapshot.Holder{}
		f := NewFollower(DefaultConfig(), source, nil, holder, log.New(lines), func(*Directory) {})
		f.follow(t)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, !strings.Contains(lines.String(), "store lost"), "%s", lines)
		waits := source.asked()
		assert.Assert(t, len(waits) > 2 && waits[1] == time.Millisecond, "the second watch was made beside the first, overdue one: %v", waits)
		assert.Assert(t, waits[2] > time.Millisecond, "the third was made beside the second, whose answer was here: %v", waits)
	})
}

// overdueSource answers its first watch so late that another one is made beside it,
// and that one, and all others, in time.
type overdueSource struct {
	fakeSource
	waits []time.Duration
}

func (s *overdueSource) Watch(_ context.Context, after uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	first := len(s.waits) == 1
	s.mu.Unlock()
	if first {
		c := DefaultConfig()
		time.Sleep(wait + c.CallOverdue + 10*time.Millisecond)
	} else {
		time.Sleep(wait + 20*time.Millisecond)
	}
	return Update{Revision: after}, nil
}

func (s *overdueSource) asked() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits
}

// stallingWriter holds up whoever writes a line, once.
type stallingWriter struct {
	on    string
	stall time.Duration
	once  sync.Once
	mu    sync.Mutex
	buf   bytes.Buffer
}

func (w *stallingWriter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(w.on)) {
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
