package admin

// PathQuotas is the path of the table's customers, with their limits and usage.
const PathQuotas = "/quotas"

// CustomerQuota is a customer in a response of PathQuotas.
type CustomerQuota struct {
	Customer string  `json:"customer"`
	Keys     int     `json:"keys"`             // number of API keys; the keys are not shown
	Rate     float64 `json:"rate"`             // requests per second over the fleet; 0 for no limit
	Burst    float64 `json:"burst"`            // requests beyond the rate at once
	Owner    string  `json:"home,omitempty"`   // owner of the token bucket; empty without a limit
	Tokens   float64 `json:"tokens,omitempty"` // left in the bucket, if the responding node owns it
	// Admitted and Refused count requests that the responding node admitted and refused since
	// it last dropped the customer's state.
	Admitted int64 `json:"taken"`
	Refused  int64 `json:"refused"`
}
