package sidecar

import "time"

// stage is how far a node has come in leaving. Each stage keeps what the ones
// before refuse; none is left for an earlier one.
//
//	stage      new connection, idle connection   new request of a caller    request of another node
//	announced  served                            served if it usually ends  served if it usually ends
//	                                             in time                    in time
//	warning    the same                          the same                   the same, told that this ends
//	draining   served, told with its answer      served if its own deadline refused, not run
//	                                             comes in time as well
//	refusing   answered, told                    refused, not run           refused, not run
//	cutting    the same                          refused, not run           refused, not run
//	closing    answered; idle ones are closed    refused, not run           refused, not run
//	stopped    not accepted; the backlog is      refused, not run           the same
//	           answered
//
// Requests behind another one on a connection are read until an answer has told
// that it is the last; those behind that answer were not read, and callers send
// them again. What is in progress goes on in every stage; cutting ends what runs or
// waits with an answer that says what is known of it, and closing the answers that
// are on their way.
type stage int

const (
	announced stage = iota
	warning
	draining
	refusing // nothing runs at the upstream that could call through this node
	cutting  // out of time
	closing
	stopped
	ended
)

// String names the stage in lines.
func (s stage) String() string {
	return [...]string{"announced", "warning", "draining", "refusing", "cutting", "closing", "stopped", "ended"}[s]
}

// The course of a shutdown, in parts of the time that the process is given: the
// announcement ends at four eighths at the latest, so that requests which came
// last can still run, and the process ends an eighth before it is killed, as
// timers are late on a slow machine.
const (
	drainParts  = 32
	announceEnd = 16
	drainEnd    = 28
	cutEnd      = 29
	closeEnd    = 30
	stopEnd     = 31
)

const (
	// closeWait is how long callers have to close their side, and those who have
	// just connected to send: longer than http1 waits for the latter.
	closeWait = 700 * time.Millisecond
	// stopWait is how long the backlog of the listener has to be answered, and
	// stopLooks how often the process must have come to it at least, as a time may
	// pass while the process stands still: of 200 requests that were sent during 0.7 s
	// of that 155 were reset unread by the time alone, none with the looks (server of a
	// child process, SIGSTOP).
	stopWait  = 100 * time.Millisecond
	stopLooks = 5
)

// leave decides the stage of a node that leaves. It is pure: time is passed in.
type leave struct {
	began             time.Time
	announce, timeout time.Duration
	at                stage
	since             time.Time // when the stage began
	looks             int       // how often it was looked at since
}

// newLeave begins with the announcement, which lasts for announce, of a process
// that is killed after timeout.
func newLeave(now time.Time, announce, timeout time.Duration) *leave {
	announce = min(announce, timeout*announceEnd/drainParts)
	return &leave{began: now, announce: announce, timeout: timeout, since: now}
}

// part returns the time at which so many parts of the timeout are over.
func (l *leave) part(n time.Duration) time.Time { return l.began.Add(l.timeout * n / drainParts) }

// told is when callers have been told, and new work is refused.
func (l *leave) told() time.Time { return l.began.Add(l.announce) }

// end is when what is in progress is cut.
func (l *leave) end() time.Time { return l.part(drainEnd) }

// progress is what a node that leaves still has to do.
type progress struct {
	upstream int64 // requests at the own upstream
	callers  int64 // requests of callers
	conns    int   // connections of callers
}

// next moves to the next stage if the time has come, and reports whether it did.
func (l *leave) next(now time.Time, p progress) bool {
	l.looks++
	to := l.follows(now, p)
	if to == l.at {
		return false
	}
	l.at, l.since, l.looks = to, now, 0
	return true
}

func (l *leave) follows(now time.Time, p progress) stage {
	after := func(t time.Time) bool { return !now.Before(t) }
	out := after(l.end())
	switch {
	case l.at == announced && after(l.told().Add(-peerNotice)):
		return warning
	case l.at == warning && after(l.told()):
		return draining
	case l.at == draining && p.upstream == 0:
		return refusing
	case l.at == refusing && p.upstream == 0 && p.callers == 0:
		return closing
	case (l.at == draining || l.at == refusing) && out:
		return cutting
	case l.at == cutting && (p.callers == 0 || after(l.part(cutEnd))):
		return closing
	case l.at == closing && (p.conns == 0 || after(l.since.Add(closeWait)) || after(l.part(closeEnd))):
		return stopped
	case l.at == stopped && after(l.since.Add(min(stopWait, l.timeout/drainParts/2))) && l.answered(p, after(l.part(stopEnd))):
		return ended
	}
	return l.at
}

// answered reports whether what was accepted last has had its chance, or there is no
// more time for it.
func (l *leave) answered(p progress, out bool) bool {
	return p.conns == 0 || l.looks >= stopLooks || out
}
