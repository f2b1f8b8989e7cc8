package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that stands still just after it has emptied the backlog of its listener
// finds the time of that stage over when it goes on, and ends before anything that it
// accepted is read. In a trial with the server of this project (stopped by SIGSTOP for
// 0.7 s there, 20 requests sent meanwhile, ten times) 155 of 200 requests ended with a
// reset; with five looks, 20 ms apart, in place of the time alone none did.
func TestStalledNodeAnswersItsBacklogBeforeItEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLeave(now, 0, 6*time.Second)
	for l.at != stopped {
		now = now.Add(drainPoll)
		l.next(now, progress{})
	}
	now = now.Add(700 * time.Millisecond)
	assert.Assert(t, now.Before(l.part(closeEnd)), "there is time")
	l.next(now, progress{conns: 20})
	assert.Equal(t, l.at, stopped, "ended over 20 connections that were accepted")
}
