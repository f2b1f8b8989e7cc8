package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// Whatever comes and however long it takes: work is taken as long as it was
// announced, nothing is refused by the callers' side while something runs that
// could call, nothing is cut before time is out, connections are closed last, and
// the process ends by itself before it is killed.
func TestStagesOfLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(1, 30).Draw(t, "timeout")) * time.Second
		announce := time.Duration(rapid.IntRange(0, 20000).Draw(t, "announce")) * time.Millisecond
		now := time.Unix(1000, 0)
		l := newLeave(now, announce, timeout)
		began, told := now, min(announce, timeout/2)
		var p progress
		for l.at != ended {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			p = progress{
				upstream: int64(rapid.IntRange(0, 2).Draw(t, "upstream")),
				callers:  int64(rapid.IntRange(0, 2).Draw(t, "callers")),
				conns:    rapid.IntRange(0, 2).Draw(t, "conns"),
			}
			before := l.at
			if !l.next(now, p) {
				continue
			}
			assert.Assert(t, l.at > before)
			passed := now.Sub(began)
			switch l.at {
			case draining:
				assert.Assert(t, passed >= told)
			case refusing:
				assert.Equal(t, p.upstream, int64(0))
			case cutting:
				assert.Assert(t, passed >= timeout*7/8)
			case closing:
				assert.Assert(t, p.callers == 0 || before == cutting)
			}
			if before < draining {
				assert.Equal(t, l.at, before+1)
			}
		}
		assert.Assert(t, now.Sub(began) < timeout+60*time.Millisecond)
	})
}

// With nothing to do a node is gone soon after its announcement.
func TestIdleNodeLeavesSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLeave(now, 2500*time.Millisecond, 6*time.Second)
	for l.at != ended {
		now = now.Add(drainPoll)
		l.next(now, progress{})
	}
	took := now.Sub(l.began)
	assert.Assert(t, took > 2500*time.Millisecond && took < 2800*time.Millisecond, "%v", took)
}
