package proxy

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/quarantine"
)

// watched is a fallWatch with the falls that it tells of.
type watched struct {
	*fallWatch
	down  atomic.Bool
	falls []Crash
}

func newWatched() *watched {
	w := &watched{}
	w.fallWatch = newFallWatch(func() bool { return w.down.Load() }, func(f Crash) {
		slices.Sort(f.Requests)
		w.falls = append(w.falls, f)
	})
	return w
}

// pass passes a request to the upstream.
func (w *watched) pass(r quarantine.Fingerprint) *backendCall {
	c := &backendCall{env: Envelope{Target: "i-1", Fingerprint: r}, sent: time.Now()}
	w.sent(c)
	return c
}

// lose breaks the connection of a request.
func (w *watched) lose(c *backendCall) {
	w.lostConnection(c)
	w.ended(c)
	synctest.Wait()
}

func TestFallsAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatched()
		first, second, answered := w.pass(1), w.pass(2), w.pass(3)
		w.answered(answered)
		w.ended(answered)
		w.down.Store(true)
		w.lose(first)
		assert.Equal(t, len(w.falls), 1)
		assert.DeepEqual(t, w.falls[0].Requests, []quarantine.Fingerprint{1, 2})
		w.lose(second)
		assert.Equal(t, len(w.falls), 2, "what is learnt later is told")
		assert.Equal(t, w.falls[1].ID, w.falls[0].ID)
		assert.Assert(t, w.falls[0].FirstReport && !w.falls[1].FirstReport)
		w.down.Store(false)
		time.Sleep(time.Second)
		third := w.pass(4)
		w.down.Store(true)
		w.lose(third)
		assert.Equal(t, len(w.falls), 3)
		assert.Assert(t, w.falls[2].ID != w.falls[0].ID && w.falls[2].FirstReport, "it was back in between")
		assert.DeepEqual(t, w.falls[2].Requests, []quarantine.Fingerprint{4})
	})
}

// A process that ends may close its listener a moment after its connections.
func TestFallIsSeenAtTheSecondLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatched()
		w.lose(w.pass(1))
		w.down.Store(true)
		time.Sleep(2 * secondLook)
		synctest.Wait()
		assert.Equal(t, len(w.falls), 1)
	})
}

// An answer that is lost while the upstream lives is no fall, nor is a refused connection
// with nothing lost.
func TestLostAnswerIsNoFall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatched()
		w.lose(w.pass(1))
		time.Sleep(2 * lostMemory)
		w.fell()
		assert.Equal(t, len(w.falls), 0)
	})
}

// An upstream that loses answers all day, and lives, takes bounded memory.
func TestLostAnswersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatched()
		for range 10 * maxLost {
			w.lose(w.pass(1))
		}
		assert.Assert(t, len(w.lost) <= maxLost+1)
		time.Sleep(2 * lostMemory)
		w.lose(w.pass(1))
		assert.Equal(t, len(w.lost), 1)
		time.Sleep(2 * secondLook) // until the last look has ended
	})
}
