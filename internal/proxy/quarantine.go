package proxy

import (
	"net/http"

	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/retry"
)

// Quarantine keeps requests that end the upstreams which run them from the others.
type Quarantine interface {
	// Check says whether a request may run at a service.
	Check(r quarantine.Fingerprint, service string) quarantine.Verdict
	// Start is Check for a request that is passed to an upstream now.
	Start(r quarantine.Fingerprint, service string) quarantine.Verdict
	// Answered notes that an upstream of a service has answered a request.
	Answered(r quarantine.Fingerprint, service string)
	// Refused notes that a request was held back by a verdict.
	Refused(r quarantine.Fingerprint, service string, v quarantine.Verdict, about quarantine.RequestInfo)
}

// noQuarantine holds nothing back.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Fingerprint, string) (v quarantine.Verdict) { return v }
func (noQuarantine) Start(quarantine.Fingerprint, string) (v quarantine.Verdict) { return v }
func (noQuarantine) Answered(quarantine.Fingerprint, string)                     {}
func (noQuarantine) Refused(quarantine.Fingerprint, string, quarantine.Verdict, quarantine.RequestInfo) {
}

// reasonQuarantined is given to a request that is held back, since upstreams ended
// under it.
const reasonQuarantined = "quarantined"

// holdBack refuses a request if a verdict says so. The advice is the time until it is
// tried again, which the caller can do nothing about.
func holdBack(q Quarantine, v quarantine.Verdict, env Envelope, req *http.Request) *Problem {
	if !v.Held {
		return nil
	}
	q.Refused(env.Fingerprint, env.Service, v, about(req, env.Tenant))
	return notRun(http.StatusServiceUnavailable, retry.Refused, reasonQuarantined, v.After)
}

// about is what a caller asks for, but for the body.
func about(req *http.Request, tenant string) quarantine.RequestInfo {
	return quarantine.RequestInfo{
		Method: req.Method,
		Host:   req.Host,
		Target: req.URL.RequestURI(),
		Tenant: tenant,
	}
}

// heldBack refuses a request that is known to end upstreams, before it takes the way to
// one.
func (x *exchange) heldBack() *Problem {
	q := x.f.cfg.Quarantine
	return holdBack(q, q.Check(x.env.Fingerprint, x.env.Service), x.env, x.req)
}

// heldBack refuses a request that is known to end upstreams, before it waits for a slot.
func (c *backendCall) heldBack() *Problem {
	q := c.b.cfg.Quarantine
	return holdBack(q, q.Check(c.env.Fingerprint, c.env.Service), c.env, c.req)
}

// heldAtStart is heldBack right before the upstream. What waited for a slot came before
// the news of a fall: without this look each node passed on some more of them.
func (c *backendCall) heldAtStart() *Problem {
	q := c.b.cfg.Quarantine
	return holdBack(q, q.Start(c.env.Fingerprint, c.env.Service), c.env, c.req)
}
