package sidecar

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/http1"
)

func TestConnectionEndsAreCountedAndLogged(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var out bytes.Buffer
	e := newConnEndRecorder(log.New(&out), scope, "callers", func(time.Time) nodeState {
		return nodeState{tableAge: 1200 * time.Millisecond, leaving: true}
	})
	e.record(http1.ConnEnd{Cause: http1.EndIdle})
	e.record(http1.ConnEnd{Cause: http1.EndAnnounced, Unread: true})                // callers send it again
	e.record(http1.ConnEnd{Cause: http1.EndCallerDisconnected, Unanswered: 1})      // no caller to respond to
	e.record(http1.ConnEnd{Cause: http1.EndHeadRejected, BytesAfterClose: 300_000}) // the rest of a refused body
	assert.Equal(t, out.String(), "")
	e.record(http1.ConnEnd{Cause: http1.EndIdle, Unread: true, DetectionDelay: 700 * time.Millisecond})
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

// A burst of connection ends causes a bounded number of log lines, and the suppressed ones
// are counted.
func TestConnectionEndLinesAreLimited(t *testing.T) {
	var out bytes.Buffer
	e := newConnEndRecorder(log.New(&out), tally.NoopScope, "callers", func(time.Time) nodeState { return nodeState{} })
	for range 10 * logLineBurst {
		e.record(http1.ConnEnd{Cause: http1.EndResponseAborted, Unanswered: 1})
	}
	assert.Assert(t, strings.Count(out.String(), "\n") < 5*logLineBurst)
	assert.Assert(t, e.limiter.suppressed.Load() > 0)
}

// The metrics address shows the connection ends of both listening sides.
func TestMetricsShowConnectionEnds(t *testing.T) {
	f := startFleet(t, 1, 0)
	for _, l := range f.sidecars[0].servers.listeners[:2] {
		nc, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(nc, "no HTTP\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.ReadAll(nc)
		assert.NilError(t, err)
		assert.NilError(t, nc.Close())
	}
	for _, side := range []string{"callers", "nodes"} {
		want := `walldrift_connections_ended{cause="head_refused",side="` + side + `"} 1`
		for !strings.Contains(string(f.get(0, admin.PathMetrics)), want) {
			time.Sleep(10 * time.Millisecond) // the metrics reporter runs once a second
		}
	}
}
