package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
)

// limitReport is what one response of the upstream advertises.
type limitReport struct {
	limit      admission.AdvertisedLimit
	receivedAt time.Time // when the head of the response arrived
}

// observeLimit applies the limit that a response advertises, before its node forwards any
// part of it. It ignores responses that the expected instance did not make itself.
func (c *backendCall) observeLimit(resp *http.Response) {
	d := c.b.cfg.Dialect
	if d.RateLimit == "" || !d.signed(resp) {
		return
	}
	limit, ok := d.advertisedLimit(resp.Header)
	if !ok {
		c.b.cfg.OnInvalidLimit(resp.Header.Get(d.RateLimit))
		return
	}
	c.limitReport = limitReport{limit: limit, receivedAt: clock.Now()}
	if limit.InForce {
		c.applyLimitReport()
	}
}

// observeUnlimited applies that a response advertises no limit. It is called when the
// response is complete: the head of a truncated one may lack headers.
func (c *backendCall) observeUnlimited() {
	if !c.limitReport.receivedAt.IsZero() && !c.limitReport.limit.InForce {
		c.applyLimitReport()
	}
}

func (c *backendCall) applyLimitReport() {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.limitChanged(c.b.advertised.Observe(c.env.Target, c.sentAt, c.limitReport.receivedAt, c.limitReport.limit))
}

// hintLimit applies the limit that the sender of a request knows of its target.
func (b *Backend) hintLimit(env Envelope) {
	if !env.KnownLimit.InForce {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitChanged(b.advertised.Hint(env.Target, clock.Now(), env.KnownLimit))
}

// forgetLimit drops what instances other than the given one advertised.
func (b *Backend) forgetLimit(except string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitChanged(b.advertised.Forget(except))
}

// limitChanged applies the advertised limit to the gate if it has changed. The lock must be
// held.
func (b *Backend) limitChanged(changed bool) {
	if !changed {
		return
	}
	limit := b.advertised.Current()
	b.gate.SetAdvertisedLimit(limit)
	b.cfg.OnLimit(limit)
}

// advertisedLimit returns the limit that is in force.
func (b *Backend) advertisedLimit() admission.AdvertisedLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.advertised.Current()
}

// RecordProbe counts a probe of the upstream against the limit that it advertises.
func (b *Backend) RecordProbe() {
	if b.advertisedLimit().InForce {
		b.gate.RecordStart()
	}
}

// appendLimit appends to a load report the limit of a request's target, if there is one,
// or that there is none to a sender that knows one.
func (b *Backend) appendLimit(report []byte, env Envelope) []byte {
	b.mu.Lock()
	limit, known := b.advertised.Limit(env.Target)
	b.mu.Unlock()
	switch {
	case known && limit.InForce:
		return append(append(report, "/"+loadLimitPrefix...), formatRate(limit.PerSecond)...)
	case known && env.KnownLimit.InForce:
		return append(report, "/"+loadLimitPrefix+loadNoLimit...)
	}
	return report
}

// advertisedLimit returns the limit that a response advertises; false if it can't be read.
func (d Dialect) advertisedLimit(h http.Header) (admission.AdvertisedLimit, bool) {
	if len(h.Values(d.RateLimit)) == 0 {
		return admission.AdvertisedLimit{}, true
	}
	return parseLimit(h.Get(d.RateLimit))
}

// parseLimit reads a limit in requests per second. Only a finite number of at least 0 is
// one.
func parseLimit(text string) (admission.AdvertisedLimit, bool) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return admission.AdvertisedLimit{}, false
	}
	return admission.AdvertisedLimit{InForce: true, PerSecond: rate}, true
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', -1, 64) }
