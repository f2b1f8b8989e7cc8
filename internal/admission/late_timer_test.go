package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/clock"
)

// A request that waits for a limit was refused at its latest start, though the limit had
// opened before: the timer that starts it was late.
func TestLimitTimerIsLate(t *testing.T) {
	const interval, latest = 250 * time.Millisecond, 300 * time.Millisecond
	for name, probed := range map[string]bool{"open at the latest start": false, "closed at the latest start": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewGate(Config{Slots: 2, QueueLimit: 2})
				g.SetAdvertisedLimit(AdvertisedLimit{InForce: true, PerSecond: float64(time.Second / interval)})
				assert.Assert(t, g.Acquire(t.Context(), &Ticket{Kind: "read", Weight: 1}).Started)
				verdict := make(chan Verdict)
				go func() {
					verdict <- g.Acquire(t.Context(), &Ticket{Kind: "read", Weight: 1, Latest: clock.Now().Add(latest)})
				}()
				synctest.Wait()
				g.mu.Lock()
				g.limitTimer.Stop() // as late as can be
				g.mu.Unlock()
				if probed {
					time.Sleep(interval / 2)
					g.RecordStart()
				}
				v := <-verdict
				assert.Equal(t, v.Started, !probed)
				assert.Equal(t, g.Load().Waiting, 0)
				if probed {
					assert.Equal(t, v.Reason, ReasonTooLate)
				}
			})
		})
	}
}
