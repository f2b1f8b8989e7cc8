package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// Invariants for any load and any pauses: a node admits requests until its announcement
// has ended, refuses no caller's request while a request runs at its upstream that could
// call through it, cuts nothing before the shutdown deadline, closes connections last, and
// ends before it is killed.
func TestShutdownStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(1, 30).Draw(t, "timeout")) * time.Second
		announce := time.Duration(rapid.IntRange(0, 20000).Draw(t, "announce")) * time.Millisecond
		now := time.Unix(1000, 0)
		sd := newShutdown(now, announce, timeout)
		began, announceEnd := now, min(announce, timeout/2)
		var p progress
		for sd.current != stageEnded {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			p = progress{
				upstream: int64(rapid.IntRange(0, 2).Draw(t, "upstream")),
				callers:  int64(rapid.IntRange(0, 2).Draw(t, "callers")),
				conns:    rapid.IntRange(0, 2).Draw(t, "conns"),
			}
			before := sd.current
			if !sd.advance(now, p) {
				continue
			}
			assert.Assert(t, sd.current > before)
			passed := now.Sub(began)
			switch sd.current {
			case stageDraining:
				assert.Assert(t, passed >= announceEnd)
			case stageRefusing:
				assert.Equal(t, p.upstream, int64(0))
			case stageCutting:
				assert.Assert(t, passed >= timeout*7/8)
			case stageClosing:
				assert.Assert(t, p.callers == 0 || before == stageCutting)
			}
			if before < stageDraining {
				assert.Equal(t, sd.current, before+1)
			}
		}
		assert.Assert(t, now.Sub(began) < timeout+60*time.Millisecond)
	})
}

// A node without requests ends soon after its announcement.
func TestIdleNodeShutsDownSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	sd := newShutdown(now, 2500*time.Millisecond, 6*time.Second)
	for sd.current != stageEnded {
		now = now.Add(drainPoll)
		sd.advance(now, progress{})
	}
	took := now.Sub(sd.startedAt)
	assert.Assert(t, took > 2500*time.Millisecond && took < 2800*time.Millisecond, "%v", took)
}
