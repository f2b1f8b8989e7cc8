package sidecar

import "github.com/walldrift/walldrift/internal/admission"

// limitAdvertised logs and counts a change of the limit that the own upstream advertises.
func (s *Sidecar) limitAdvertised(limit admission.AdvertisedLimit) {
	s.metrics.Scope.Counter("upstream_limit_changes").Inc(1)
	s.metrics.Scope.Gauge("upstream_limited").Update(boolGauge(limit.InForce))
	s.metrics.Scope.Gauge("upstream_limit_per_second").Update(limit.PerSecond)
	if suppressed, ok := s.limitLines.allow(); ok {
		s.log.Info("limit of the own upstream", "in_force", limit.InForce, "per_second", limit.PerSecond, "suppressed", suppressed)
	}
}

// maxLoggedValue bounds the part of an invalid limit or load that a log line shows, in
// bytes.
const maxLoggedValue = 32

// invalidLimit logs and counts a limit of the own upstream that has no meaning.
func (s *Sidecar) invalidLimit(text string) {
	s.metrics.Scope.Counter("upstream_limits_invalid").Inc(1)
	if suppressed, ok := s.limitLines.allow(); ok {
		s.log.Warn("limit of the own upstream is no number", "limit", text[:min(len(text), maxLoggedValue)], "suppressed", suppressed)
	}
}

// invalidLoad logs and counts a load of the own upstream that can't be read.
func (s *Sidecar) invalidLoad(text string) {
	s.metrics.Scope.Counter("upstream_loads_invalid").Inc(1)
	if suppressed, ok := s.limitLines.allow(); ok {
		s.log.Warn("load of the own upstream can't be read", "load", text[:min(len(text), maxLoggedValue)], "suppressed", suppressed)
	}
}

// leavingAnnounced logs and counts that the own upstream says in its responses that it
// leaves.
func (s *Sidecar) leavingAnnounced(instance string) {
	s.metrics.Scope.Counter("upstream_leavings_announced").Inc(1)
	s.log.Info("own upstream says that it leaves", "upstream", instance)
}
