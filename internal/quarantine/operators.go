package quarantine

import (
	"slices"
	"time"
)

// QuarantinedRequest is a request that is held back, for operators.
type QuarantinedRequest struct {
	Request    Fingerprint
	Service    string
	Crashes    int
	HeldFor    time.Duration // that it has been held back here
	RetryAfter time.Duration // until it is tried again here; 0 if that is due
	Refused    int64         // attempts, here
	About      RequestInfo
}

// Quarantined lists the requests that are held back, by fingerprint.
func (b *Tracker) Quarantined(now time.Time) []QuarantinedRequest {
	var out []QuarantinedRequest
	for r, services := range b.records {
		for service, rec := range services {
			v := b.judge(now, r, service)
			if !v.Held && !v.Probe {
				continue
			}
			h := QuarantinedRequest{Request: r, Service: service, Crashes: v.Crashes, Refused: rec.refused, About: rec.about, RetryAfter: v.After}
			if !rec.since.IsZero() {
				h.HeldFor = now.Sub(rec.since)
			}
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, c QuarantinedRequest) int {
		return compareKeys(key{a.Request, a.Service}, key{c.Request, c.Service})
	})
	return out
}
