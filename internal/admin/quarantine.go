package admin

import "github.com/walldrift/walldrift/internal/quarantine"

// Paths about quarantined requests.
const (
	PathQuarantine = "/quarantine"
	// PathRelease is followed by the fingerprint of a request. A POST to it releases the
	// request from quarantine on all nodes.
	PathRelease = "/quarantine/release/"
)

// QuarantinedRequest is a quarantined request in a response of PathQuarantine.
type QuarantinedRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	// Crashes is the number of upstreams that crashed while running the request.
	Crashes int `json:"falls"`
	// SinceMs is the time for which the responding node has had the request in quarantine,
	// ProbeInMs the time until its next probe, both in milliseconds.
	SinceMs   int64 `json:"since_ms"`
	ProbeInMs int64 `json:"tried_again_ms"`
	// Refused counts the attempts that the responding node refused. The fields below are
	// empty if it received no attempt.
	Refused int64  `json:"refused"`
	Method  string `json:"method,omitempty"`
	Host    string `json:"host,omitempty"`
	Target  string `json:"target,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
}

// QuarantinedRequests returns the response of PathQuarantine.
func QuarantinedRequests(requests []quarantine.QuarantinedRequest) []QuarantinedRequest {
	return convert(requests, func(r quarantine.QuarantinedRequest) QuarantinedRequest {
		return QuarantinedRequest{
			Fingerprint: r.Request.String(),
			Service:     r.Service,
			Crashes:     r.Crashes,
			SinceMs:     r.HeldFor.Milliseconds(),
			ProbeInMs:   r.RetryAfter.Milliseconds(),
			Refused:     r.Refused,
			Method:      r.About.Method,
			Host:        r.About.Host,
			Target:      r.About.Target,
			Tenant:      r.About.Tenant,
		}
	})
}
