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
	After   time.Duration // until it is tried again; 0 if that is due
	Refused int64         // attempts, here
	About   About
}

// HeldBack lists the requests that are held back, by fingerprint.
func (b *Book) HeldBack(now time.Time) []HeldRequest {
	var out []HeldRequest
	for r, services := range b.records {
		for service, rec := range services {
			falls, last := weigh(services, service)
			if falls < b.cfg.HoldAfter {
				continue
			}
			h := HeldRequest{Request: r, Service: service, Falls: falls, Refused: rec.refused, About: rec.about, After: b.untilTrial(now, falls, last)}
			if !rec.since.IsZero() {
				h.Since = now.Sub(rec.since)
			}
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, c HeldRequest) int { return compareKeys(key{a.Request, a.Service}, key{c.Request, c.Service}) })
	return out
}

func (b *Book) untilTrial(now time.Time, falls int, last time.Time) time.Duration {
	number := falls - b.cfg.HoldAfter
	if number >= len(b.cfg.Trials) {
		return b.cfg.Memory
	}
	return max(last.Add(b.cfg.Trials[number]).Sub(now), 0)
}
