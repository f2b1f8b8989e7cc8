package sidecar

import "time"

// stage is a stage of a node's shutdown. Each stage keeps the restrictions of the earlier
// ones, and no stage returns to an earlier one.
//
//	stage      new connection, idle connection   new request of a caller    request of another node
//	announced  served                            served if it usually ends  served if it usually ends
//	                                             in time                    in time
//	warning    the same                          the same                   the same, the response
//	                                                                        announces the shutdown
//	draining   served, the response closes the   served if its own deadline refused, not run
//	           connection                        comes in time as well
//	refusing   answered, closing the connection  refused, not run           refused, not run
//	cutting    the same                          refused, not run           refused, not run
//	closing    answered; idle ones are closed    refused, not run           refused, not run
//	stopped    not accepted; the backlog is      refused, not run           the same
//	           answered
//
// Pipelined requests are read until a response has announced the close of their
// connection. Those after that response are not read, and callers send them again.
// Requests in progress continue in every stage: cutting ends those that run or wait, with
// a response that says what is known of them, and closing ends the responses that are
// still being sent.
type stage int

const (
	stageAnnounced stage = iota
	stageWarning
	stageDraining
	stageRefusing // no request runs at the upstream that could call through this node
	stageCutting  // the shutdown deadline has passed
	stageClosing
	stageStopped
	stageEnded
)

// String returns the name of the stage in log lines.
func (s stage) String() string {
	return [...]string{"announced", "warning", "draining", "refusing", "cutting", "closing", "stopped", "ended"}[s]
}

// The ends of the shutdown phases, in parts of the time after which the process is killed.
// The announcement ends at four eighths at the latest, so that the requests admitted last
// can still run. Requests are cut an eighth before the process is killed, as timers are
// late on a slow machine.
const (
	timeoutParts    = 32
	announceEndPart = 16
	drainEndPart    = 28
	cutEndPart      = 29
	closeEndPart    = 30
	stopEndPart     = 31
)

const (
	// closeWait is how long callers have to close their side of the connection, and
	// callers that have just connected to send a request. It is longer than http1 waits
	// for the latter.
	closeWait = 700 * time.Millisecond
	// backlogWait is the minimum time for answering the connections of the listener's
	// backlog, and minBacklogPolls the number of polls that this stage also requires, as
	// the time can pass during a process pause. With the time alone 155 of 200 requests
	// sent during a pause of 0.7 s were reset unread, with the polls none.
	backlogWait     = 100 * time.Millisecond
	minBacklogPolls = 5
)

// shutdown determines the shutdown stage of a node. It is pure: the caller passes the time
// in.
type shutdown struct {
	startedAt         time.Time
	announce, timeout time.Duration
	current           stage
	stageSince        time.Time // when the stage began
	polls             int       // calls of advance since then
}

// newShutdown starts the shutdown, which is announced for the time announce, of a process
// that is killed after timeout.
func newShutdown(now time.Time, announce, timeout time.Duration) *shutdown {
	announce = min(announce, timeout*announceEndPart/timeoutParts)
	return &shutdown{startedAt: now, announce: announce, timeout: timeout, stageSince: now}
}

// atPart returns the time at which n of the timeoutParts have passed.
func (sd *shutdown) atPart(n time.Duration) time.Time {
	return sd.startedAt.Add(sd.timeout * n / timeoutParts)
}

// announcedBy returns the end of the announcement, from which on new requests are refused.
func (sd *shutdown) announcedBy() time.Time { return sd.startedAt.Add(sd.announce) }

// deadline returns the shutdown deadline, at which requests in progress are cut.
func (sd *shutdown) deadline() time.Time { return sd.atPart(drainEndPart) }

// progress is what a node that shuts down still has to finish.
type progress struct {
	upstream int64 // requests at the own upstream
	callers  int64 // requests of callers
	conns    int   // connections of callers
}

// advance moves to the next stage if that is due, and reports whether it did.
func (sd *shutdown) advance(now time.Time, p progress) bool {
	sd.polls++
	to := sd.nextStage(now, p)
	if to == sd.current {
		return false
	}
	sd.current, sd.stageSince, sd.polls = to, now, 0
	return true
}

func (sd *shutdown) nextStage(now time.Time, p progress) stage {
	after := func(t time.Time) bool { return !now.Before(t) }
	pastDeadline := after(sd.deadline())
	switch {
	case sd.current == stageAnnounced && after(sd.announcedBy().Add(-peerNoticePeriod)):
		return stageWarning
	case sd.current == stageWarning && after(sd.announcedBy()):
		return stageDraining
	case sd.current == stageDraining && p.upstream == 0:
		return stageRefusing
	case sd.current == stageRefusing && p.upstream == 0 && p.callers == 0:
		return stageClosing
	case (sd.current == stageDraining || sd.current == stageRefusing) && pastDeadline:
		return stageCutting
	case sd.current == stageCutting && (p.callers == 0 || after(sd.atPart(cutEndPart))):
		return stageClosing
	case sd.current == stageClosing && (p.conns == 0 || after(sd.stageSince.Add(closeWait)) || after(sd.atPart(closeEndPart))):
		return stageStopped
	case sd.current == stageStopped && after(sd.stageSince.Add(min(backlogWait, sd.timeout/timeoutParts/2))) && sd.backlogAnswered(p, after(sd.atPart(stopEndPart))):
		return stageEnded
	}
	return sd.current
}

// backlogAnswered reports whether the process had the chance to answer the connections
// that it accepted last, or has no more time for it.
func (sd *shutdown) backlogAnswered(p progress, pastDeadline bool) bool {
	return p.conns == 0 || sd.polls >= minBacklogPolls || pastDeadline
}
