package admin

import "github.com/walldrift/walldrift/internal/quarantine"

// Paths about requests that are held back.
const (
	PathQuarantine = "/quarantine"
	// PathRelease stands before the fingerprint of a request that is to be let through
	// again; it takes a POST.
	PathRelease = "/quarantine/release/"
)

// HeldRequest is a request that is held back, in an answer of PathQuarantine.
type HeldRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Falls       int    `json:"falls"`
	// SinceMs is for how long it has been held back at the node that answers, TriedMs the
	// time until it is tried again, in milliseconds.
	SinceMs int64 `json:"since_ms"`
	TriedMs int64 `json:"tried_again_ms"`
	// Refused counts its attempts at the node that answers. The rest is empty where none
	// came there.
	Refused int64  `json:"refused"`
	Method  string `json:"method,omitempty"`
	Host    string `json:"host,omitempty"`
	Target  string `json:"target,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
}

// Quarantined returns what operators see of held requests.
func Quarantined(all []quarantine.QuarantinedRequest) []HeldRequest {
	out := make([]HeldRequest, len(all))
	for i, h := range all {
		out[i] = HeldRequest{
			Fingerprint: h.Request.String(),
			Service:     h.Service,
			Falls:       h.Crashes,
			SinceMs:     h.HeldFor.Milliseconds(),
			TriedMs:     h.RetryAfter.Milliseconds(),
			Refused:     h.Refused,
			Method:      h.About.Method,
			Host:        h.About.Host,
			Target:      h.About.Target,
			Tenant:      h.About.Tenant,
		}
	}
	return out
}
