package sidecar

import (
	"time"
)

// The course of a shutdown, in parts of the time that the process is given: the
// announcement ends at four eighths at the latest, so that requests which came
// last can still run, and the process ends an eighth before it is killed, as
// timers are late on a slow machine.
const (
	drainParts  = 8
	announceEnd = 4
	drainEnd    = 7
)

// drain ends the work of this node without cutting a request.
func (s *Sidecar) drain() {
	began := time.Now()
	end := began.Add(s.cfg.DrainTimeout * drainEnd / drainParts)
	announce := min(s.cfg.DrainAnnounce, s.cfg.DrainTimeout*announceEnd/drainParts)
	s.leaving.Store(true)
	s.frontend.SetLeaving()
	s.log.Info("leaving", "timeout", s.cfg.DrainTimeout)
	// The upstream's slots are used as long as callers may still come.
	time.Sleep(announce - min(announce, peerNotice))
	s.backend.SetLeaving(true)
	time.Sleep(min(announce, peerNotice))
	s.backend.SetDraining(true)
	s.servers.callers.Drain()
	s.servers.peers.Drain()
	s.awaitUntil(end, func() bool { return s.backend.InFlight() == 0 })
	// Nothing runs at the upstream that could still call through this node.
	_ = s.servers.listeners[0].Close()
	s.awaitUntil(end, func() bool { return s.inFlight() == 0 && s.servers.callers.Conns() == 0 })
	if cut := s.inFlight(); cut > 0 {
		s.log.Warn("shutdown timeout cuts requests", "requests", cut)
		s.frontend.EndAll()
		s.awaitUntil(end.Add(s.cfg.DrainTimeout/(2*drainParts)), func() bool { return s.frontend.InFlight() == 0 })
	}
}

// awaitUntil waits for a condition, until end at the latest.
func (s *Sidecar) awaitUntil(end time.Time, met func() bool) {
	for !met() && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
}

func (s *Sidecar) inFlight() int64 { return s.backend.InFlight() + s.frontend.InFlight() }
