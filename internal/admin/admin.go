// Package admin holds what the admin addresses of nodes and sidecars have in
// common: paths and the forms of answers.
package admin

import "github.com/walldrift/walldrift/internal/routing"

// Paths of an admin address.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathSelf    = "/status"
	PathFleet   = "/fleet"
	PathTable   = "/table"
	PathExplain = "/explain/"
	PathProfile = "/debug/pprof/"
)

// Explanation is the verdict on one upstream in an answer of PathExplain.
type Explanation struct {
	Upstream   string  `json:"upstream"`
	DataCentre string  `json:"dc"`
	Excluded   string  `json:"excluded,omitempty"`
	Weight     float64 `json:"weight"`
	Cost       float64 `json:"cost"`
}

// Explain returns the explanations of candidates.
func Explain(all []routing.Candidate) []Explanation {
	out := make([]Explanation, len(all))
	for i, c := range all {
		out[i] = Explanation{
			Upstream:   c.Upstream.Name,
			DataCentre: c.Instance.DataCentre,
			Excluded:   string(c.Excluded),
			Weight:     c.Weight,
			Cost:       c.Cost,
		}
	}
	return out
}
