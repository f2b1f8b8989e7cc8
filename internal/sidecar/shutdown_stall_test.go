package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that is paused just after it has accepted the backlog of its listener finds
// the time of this stage over when it continues. If it ended then, before it had read the
// accepted connections, they would be reset: 155 of 200 requests sent during pauses of
// 0.7 s (SIGSTOP). If the stage also requires five polls, 20 ms apart, none are.
func TestPausedNodeAnswersItsBacklogBeforeItEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	sd := newShutdown(now, 0, 6*time.Second)
	for sd.current != stageStopped {
		now = now.Add(drainPoll)
		sd.advance(now, progress{})
	}
	now = now.Add(700 * time.Millisecond)
	assert.Assert(t, now.Before(sd.atPart(closeEndPart)), "the pause must leave time")
	sd.advance(now, progress{conns: 20})
	assert.Equal(t, sd.current, stageStopped, "the process ended with 20 accepted connections")
}
