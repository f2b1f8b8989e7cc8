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
	meetStall(t, &overdueSource{second: 20 * time.Millisecond})
}

// When the whole process stands still, its answers lie in the kernel: they are read a
// moment after it goes on, and the clock is looked at first. Of 20 stalls of 0.9 s,
// in which the store answered all calls in time, 3 left it counted as lost, and in 20
// stalls 18 calls were made beside one that had its answer.
func TestAnswerThatIsReadAfterAStallCounts(t *testing.T) {
	meetStall(t, &overdueSource{second: ownStall + 15*time.Millisecond})
}

// ownStall is how long the loop that calls the store stands still.
const ownStall = 850 * time.Millisecond

// meetStall lets a follower stand still after the first watch, which was overdue,
// while the second is answered.
func meetStall(t *testing.T, source *overdueSource) {
	synctest.Test(t, func(t *testing.T) {
		lines := &stallingWriter{on: "store call slow", stall: ownStall}
		f := NewFollower(DefaultConfig(), source, nil, &snapshot.Holder{}, log.New(lines), func(*Directory) {})
		f.follow(t)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, !strings.Contains(lines.String(), "store lost"), "%s", lines)
		waits := source.asked()
		assert.Assert(t, len(waits) > 2 && waits[1] == time.Millisecond, "the second watch was made beside the first, overdue one: %v", waits)
		assert.Assert(t, waits[2] > time.Millisecond, "the third was made beside the second, whose answer was here: %v", waits)
	})
}

// overdueSource answers its first watch so late that another one is made beside it,
// that one after a time, and all others at once.
type overdueSource struct {
	fakeSource
	second time.Duration
	waits  []time.Duration
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
		time.Sleep(s.second)
	default:
		time.Sleep(wait)
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
