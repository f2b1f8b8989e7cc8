package quarantine

import (
	"slices"
	"time"
)

// HeldRequest is a request that is held back, for operators.
type HeldRequest struct {
	Request Fingerprint
	Service string
	Falls   int
	Since   time.Duration // that it has been held back here
	After   time.Duration // until it is tried again here; 0 if that is due
	Refused int64         // attempts, here
	About   About
}

// HeldBack lists the requests that are held back, by fingerprint.
func (b *Book) HeldBack(now time.Time) []HeldRequest {
	var out []HeldRequest
	for r, services := range b.records {
		for service, rec := range services {
			v := b.judge(now, r, service)
			if !v.Held && !v.Probe {
				continue
			}
			h := HeldRequest{Request: r, Service: service, Falls: v.Falls, Refused: rec.refused, About: rec.about, After: v.After}
			if !rec.since.IsZero() {
				h.Since = now.Sub(rec.since)
			}
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, c HeldRequest) int { return compareKeys(key{a.Request, a.Service}, key{c.Request, c.Service}) })
	return out
}
