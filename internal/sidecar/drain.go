package sidecar

import (
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/proxy"
)

// drain ends the work of this node without leaving a request unanswered.
func (s *Sidecar) drain() {
	l := newLeave(clock.Now(), s.cfg.DrainAnnounce, s.cfg.DrainTimeout)
	s.leaving.Store(true)
	s.frontend.BeginShutdown(proxy.ShutdownSchedule{Start: l.began, AnnouncedBy: l.told(), Deadline: l.end()})
	s.backend.SetShutdownDeadline(l.end())
	s.log.Info("leaving", "timeout", s.cfg.DrainTimeout)
	for l.at != ended {
		if l.next(clock.Now(), s.progress()) {
			s.enter(l.at)
			continue
		}
		time.Sleep(drainPoll)
	}
}

func (s *Sidecar) progress() progress {
	return progress{upstream: s.backend.InFlight(), callers: s.frontend.InFlight(), conns: s.servers.callers.Conns()}
}

// enter does what a stage of leaving begins with.
func (s *Sidecar) enter(at stage) {
	switch at {
	case warning:
		s.backend.SetLeaving(true)
	case draining:
		s.backend.SetDraining(true)
		s.servers.callers.AnnounceClose()
		s.servers.peers.AnnounceClose()
	case refusing:
		s.frontend.RefuseAll()
	case cutting:
		s.frontend.RefuseAll()
		s.cut()
	case closing:
		s.frontend.CancelAll()
		s.servers.callers.Drain()
		s.servers.peers.Drain()
	case stopped:
		s.servers.callers.StopAccepting()
		s.servers.peers.StopAccepting()
	}
	s.log.Info("leaving", "stage", at, "connections", s.servers.callers.Conns())
}

// cut ends what still runs or waits; answers on their way go on until the next
// stage. What waits here for a slot is refused: it got the slots that came free as
// the process ended, ran and lost its answer, 15 of 60 requests in a test.
func (s *Sidecar) cut() {
	s.log.Warn("shutdown timeout cuts requests", "requests", s.backend.InFlight()+s.frontend.InFlight())
	s.frontend.CancelUnanswered()
	s.backend.RefuseAll(admission.ReasonDraining)
}
