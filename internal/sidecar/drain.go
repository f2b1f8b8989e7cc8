package sidecar

import (
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/proxy"
)

// drain shuts this node down gracefully: every request that was read gets a response.
func (s *Sidecar) drain() {
	sd := newShutdown(clock.Now(), s.cfg.ShutdownAnnounce, s.cfg.ShutdownTimeout)
	s.leaving.Store(true)
	s.frontend.BeginShutdown(proxy.ShutdownSchedule{Start: sd.startedAt, AnnouncedBy: sd.announcedBy(), Deadline: sd.deadline()})
	s.backend.SetShutdownDeadline(sd.deadline())
	s.log.Info("leaving", "timeout", s.cfg.ShutdownTimeout)
	for sd.current != stageEnded {
		if sd.advance(clock.Now(), s.progress()) {
			s.enterStage(sd.current)
			continue
		}
		time.Sleep(drainPoll)
	}
}

func (s *Sidecar) progress() progress {
	return progress{upstream: s.backend.InFlight(), callers: s.frontend.InFlight(), conns: s.servers.callers.Conns()}
}

// enterStage performs the actions at the start of a shutdown stage.
func (s *Sidecar) enterStage(to stage) {
	switch to {
	case stageWarning:
		s.backend.SetLeaving(true)
	case stageDraining:
		s.backend.SetDraining(true)
		s.servers.callers.AnnounceClose()
		s.servers.peers.AnnounceClose()
	case stageRefusing:
		s.frontend.RefuseAll()
	case stageCutting:
		s.frontend.RefuseAll()
		s.abortInProgress()
	case stageClosing:
		s.frontend.CancelAll()
		s.servers.callers.Drain()
		s.servers.peers.Drain()
	case stageStopped:
		s.servers.callers.StopAccepting()
		s.servers.peers.StopAccepting()
	}
	s.log.Info("leaving", "stage", to, "connections", s.servers.callers.Conns())
}

// abortInProgress ends the requests that still run or wait. Responses in progress continue
// until the next stage. Requests that wait here for a slot are refused, as they would get
// the slots that become free while the process ends: 15 of 60 requests in a test ran like
// that and lost their responses.
func (s *Sidecar) abortInProgress() {
	s.log.Warn("shutdown timeout cuts requests", "requests", s.backend.InFlight()+s.frontend.InFlight())
	s.frontend.CancelUnanswered()
	s.backend.RefuseAll(admission.ReasonDraining)
}
