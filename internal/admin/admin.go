// Package admin holds the paths and JSON response types that the admin addresses of nodes
// and sidecars have in common.
package admin

import "github.com/walldrift/walldrift/internal/routing"

// Paths of an admin address. PathStatus is the status of the node itself, PathFleet that of
// all nodes. PathExplain is followed by the name of a service.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	PathFleet   = "/fleet"
	PathTable   = "/table"
	PathExplain = "/explain/"
	PathProfile = "/debug/pprof/"
)

// Explanation says whether a request may be sent to an upstream, in a response of
// PathExplain. Excluded is the reason why not.
type Explanation struct {
	Upstream   string  `json:"upstream"`
	DataCentre string  `json:"dc"`
	Excluded   string  `json:"excluded,omitempty"`
	Weight     float64 `json:"weight"`
	Cost       float64 `json:"cost"`
}

// Explain returns the explanations of candidates, in their order.
func Explain(candidates []routing.Candidate) []Explanation {
	return convert(candidates, func(c routing.Candidate) Explanation {
		return Explanation{
			Upstream:   c.Upstream.Name,
			DataCentre: c.Instance.DataCentre,
			Excluded:   string(c.Excluded),
			Weight:     c.Weight,
			Cost:       c.Cost,
		}
	})
}

// convert returns the results of to for each of the values, in their order; an empty slice
// rather than nil, which JSON would show as null.
func convert[From, To any](values []From, to func(From) To) []To {
	out := make([]To, len(values))
	for i, v := range values {
		out[i] = to(v)
	}
	return out
}
