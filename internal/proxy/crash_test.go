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

// recordingDetector is a crashDetector that collects the crashes it reports.
type recordingDetector struct {
	*crashDetector
	down    atomic.Bool
	crashes []Crash
}

func newRecordingDetector() *recordingDetector {
	d := &recordingDetector{}
	d.crashDetector = newCrashDetector(func() bool { return d.down.Load() }, func(c Crash) {
		slices.Sort(c.Requests)
		d.crashes = append(d.crashes, c)
	})
	return d
}

// dispatch records a request as sent to the upstream.
func (d *recordingDetector) dispatch(r quarantine.Fingerprint) *backendCall {
	c := &backendCall{env: Envelope{Target: "i-1", Fingerprint: r}, sentAt: time.Now()}
	d.requestSent(c)
	return c
}

// lose breaks the connection of a request.
func (d *recordingDetector) lose(c *backendCall) {
	d.connectionLost(c)
	d.requestEnded(c)
	synctest.Wait()
}

func TestCrashesAreDistinguished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newRecordingDetector()
		first, second, answered := d.dispatch(1), d.dispatch(2), d.dispatch(3)
		d.requestAnswered(answered)
		d.requestEnded(answered)
		d.down.Store(true)
		d.lose(first)
		assert.Equal(t, len(d.crashes), 1)
		assert.DeepEqual(t, d.crashes[0].Requests, []quarantine.Fingerprint{1, 2})
		d.lose(second)
		assert.Equal(t, len(d.crashes), 2, "requests found later are reported")
		assert.Equal(t, d.crashes[1].ID, d.crashes[0].ID)
		assert.Assert(t, d.crashes[0].FirstReport && !d.crashes[1].FirstReport)
		d.down.Store(false)
		time.Sleep(time.Second)
		third := d.dispatch(4)
		d.down.Store(true)
		d.lose(third)
		assert.Equal(t, len(d.crashes), 3)
		assert.Assert(t, d.crashes[2].ID != d.crashes[0].ID && d.crashes[2].FirstReport, "the upstream had recovered in between")
		assert.DeepEqual(t, d.crashes[2].Requests, []quarantine.Fingerprint{4})
	})
}

// A process that ends may close its listener shortly after its connections.
func TestCrashIsDetectedByRecheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newRecordingDetector()
		d.lose(d.dispatch(1))
		d.down.Store(true)
		time.Sleep(2 * recheckDelay)
		synctest.Wait()
		assert.Equal(t, len(d.crashes), 1)
	})
}

// Neither a response that is lost while the upstream is alive nor a refused connection
// without lost responses is a crash.
func TestLostResponseIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newRecordingDetector()
		d.lose(d.dispatch(1))
		time.Sleep(2 * lostWindow)
		d.recordCrash()
		assert.Equal(t, len(d.crashes), 0)
	})
}

// Memory stays bounded when a live upstream keeps losing responses.
func TestLostResponsesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newRecordingDetector()
		for range 10 * maxLost {
			d.lose(d.dispatch(1))
		}
		assert.Assert(t, len(d.lost) <= maxLost+1)
		time.Sleep(2 * lostWindow)
		d.lose(d.dispatch(1))
		assert.Equal(t, len(d.lost), 1)
		time.Sleep(2 * recheckDelay) // until the last probe has ended
	})
}
