package proxy

import (
	"net/http"

	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/retry"
)

// Quarantine stops requests that crash the upstreams that run them.
type Quarantine interface {
	// Check returns whether a request may run at a service.
	Check(r quarantine.Fingerprint, service string) quarantine.Verdict
	// Start is Check for a request that is about to be sent to an upstream.
	Start(r quarantine.Fingerprint, service string) quarantine.Verdict
	// Answered records that an upstream of a service has answered a request.
	Answered(r quarantine.Fingerprint, service string)
	// Refused records that a request was refused because of a verdict.
	Refused(r quarantine.Fingerprint, service string, v quarantine.Verdict, about quarantine.RequestInfo)
}

// noQuarantine refuses nothing.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Fingerprint, string) (v quarantine.Verdict) { return v }
func (noQuarantine) Start(quarantine.Fingerprint, string) (v quarantine.Verdict) { return v }
func (noQuarantine) Answered(quarantine.Fingerprint, string)                     {}
func (noQuarantine) Refused(quarantine.Fingerprint, string, quarantine.Verdict, quarantine.RequestInfo) {
}

// reasonQuarantined is the reason for refusing a request under which upstreams have
// crashed.
const reasonQuarantined = "quarantined"

// quarantineProblem returns a refusal if the verdict says that the request is
// quarantined, otherwise nil. The advised retry delay is the time until the request is
// probed again; the caller cannot shorten it.
func quarantineProblem(q Quarantine, v quarantine.Verdict, env Envelope, req *http.Request) *Problem {
	if !v.Quarantined {
		return nil
	}
	q.Refused(env.Fingerprint, env.Service, v, requestInfo(req, env.Tenant))
	return notRun(http.StatusServiceUnavailable, retry.Refused, reasonQuarantined, v.After)
}

// requestInfo describes a request without its body.
func requestInfo(req *http.Request, tenant string) quarantine.RequestInfo {
	return quarantine.RequestInfo{
		Method: req.Method,
		Host:   req.Host,
		Target: req.URL.RequestURI(),
		Tenant: tenant,
	}
}

// refuseQuarantined refuses a quarantined request before it is forwarded.
func (ex *exchange) refuseQuarantined() *Problem {
	q := ex.f.cfg.Quarantine
	return quarantineProblem(q, q.Check(ex.env.Fingerprint, ex.env.Service), ex.env, ex.req)
}

// refuseQuarantined refuses a quarantined request before it waits for a slot.
func (c *backendCall) refuseQuarantined() *Problem {
	q := c.b.cfg.Quarantine
	return quarantineProblem(q, q.Check(c.env.Fingerprint, c.env.Service), c.env, c.req)
}

// refuseQuarantinedAtStart repeats the check right before the dispatch. Requests that
// waited for a slot were checked before the crash was reported; without a second check
// each node dispatched some more of them.
func (c *backendCall) refuseQuarantinedAtStart() *Problem {
	q := c.b.cfg.Quarantine
	return quarantineProblem(q, q.Start(c.env.Fingerprint, c.env.Service), c.env, c.req)
}
