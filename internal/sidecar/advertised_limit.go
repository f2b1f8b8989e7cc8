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
