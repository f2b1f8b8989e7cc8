package sidecar

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
)

func TestEndsAreCountedAndTold(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var out bytes.Buffer
	e := newEnds(log.New(&out), scope, "callers", func(time.Time) nodeState {
		return nodeState{tableAge: 1200 * time.Millisecond, leaving: true}
	})
	e.ended(http1.ConnEnd{Cause: http1.EndIdle})
	e.ended(http1.ConnEnd{Cause: http1.EndTold, Unread: true})        // callers send it again
	e.ended(http1.ConnEnd{Cause: http1.EndCallerGone, Unanswered: 1}) // nobody to answer
	e.ended(http1.ConnEnd{Cause: http1.EndRefused, Crossed: 300_000}) // the rest of a refused body
	assert.Equal(t, out.String(), "")
	e.ended(http1.ConnEnd{Cause: http1.EndIdle, Unread: true, Late: 700 * time.Millisecond})
	for _, want := range []string{"cause=idle", "unread=true", "late_ms=700", "table_age_ms=1200", "leaving=true"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s in %s", want, out.String())
	}
	counted := func(name, cause string) int64 {
		c, ok := scope.Snapshot().Counters()[name+"+cause="+cause+",side=callers"]
		assert.Assert(t, ok, "%s %s", name, cause)
		return c.Value()
	}
	assert.Equal(t, counted("connections_ended", "idle"), int64(2))
	assert.Equal(t, counted("connections_ended_unread", "idle"), int64(1))
	assert.Equal(t, counted("requests_unanswered", "caller_gone"), int64(1))
}

// A storm of ends costs a bounded number of lines, and says how many it left out.
func TestLinesOfEndsAreBounded(t *testing.T) {
	var out bytes.Buffer
	e := newEnds(log.New(&out), tally.NoopScope, "callers", func(time.Time) nodeState { return nodeState{} })
	for range 10 * recordBurst {
		e.ended(http1.ConnEnd{Cause: http1.EndCut, Unanswered: 1})
	}
	assert.Assert(t, strings.Count(out.String(), "\n") < 5*recordBurst)
	assert.Assert(t, e.missed.Load() > 0)
}
