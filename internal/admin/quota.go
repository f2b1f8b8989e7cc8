package admin

// PathQuotas lists the customers of the table with their limits.
const PathQuotas = "/quotas"

// CustomerQuota is a customer in an answer of PathQuotas.
type CustomerQuota struct {
	Customer string  `json:"customer"`
	Keys     int     `json:"keys"`             // how many it has; none is shown
	Rate     float64 `json:"rate"`             // requests per second over the fleet; 0 for any
	Burst    float64 `json:"burst"`            // requests beyond the rate at once
	Home     string  `json:"home,omitempty"`   // node that lends its tokens; empty without a limit
	Tokens   float64 `json:"tokens,omitempty"` // left there, if that is the node that answers
	// Taken and Refused count its requests at the node that answers, since they were last
	// forgotten.
	Taken   int64 `json:"taken"`
	Refused int64 `json:"refused"`
}
