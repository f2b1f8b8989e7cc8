package quarantine

import (
	"slices"
	"time"
)

// QuarantinedRequest describes a quarantined request to operators.
type QuarantinedRequest struct {
	Request    Fingerprint
	Service    string
	Crashes    int
	HeldFor    time.Duration // since its first refusal at this node
	RetryAfter time.Duration // until the next probe at this node; 0 if it is due
	Refused    int64         // number of refused attempts at this node
	About      RequestInfo
}

// Quarantined returns the quarantined requests, sorted by fingerprint and service.
func (t *Tracker) Quarantined(now time.Time) []QuarantinedRequest {
	var out []QuarantinedRequest
	for r, services := range t.records {
		for service, rec := range services {
			v := t.evaluate(now, r, service)
			if !v.Quarantined && !v.Probe {
				continue
			}
			h := QuarantinedRequest{Request: r, Service: service, Crashes: v.Crashes, Refused: rec.refused, About: rec.info, RetryAfter: v.After}
			if !rec.quarantinedAt.IsZero() {
				h.HeldFor = now.Sub(rec.quarantinedAt)
			}
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, c QuarantinedRequest) int {
		return compareKeys(key{a.Request, a.Service}, key{c.Request, c.Service})
	})
	return out
}
