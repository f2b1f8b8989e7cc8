// Package quota limits the requests of a customer over all nodes without shared state.
//
// Each customer has one owner, which all nodes determine in the same way. The owner's
// Lender keeps a token bucket and lends tokens in batches for a short time (Lease). A
// Borrower on each other node spends them, one per request. A batch covers the requests
// that the node expects within part of a lease, so that a busy customer costs a few
// messages a second and node, however irregular its requests.
//
// The invariant: the number of requests admitted in a window of length w is at most the
// rate times (w + Lease), plus the burst, plus what the nodes that can't reach the owner
// get from the standby and from their local reserves. Tokens that were not spent within
// their lease are lost, so that a node that was paused or partitioned holds no tokens
// that have been lent to others in the meantime. A new owner starts with an empty bucket.
//
// The package is pure: time and randomness are passed in. Nothing in it is safe for
// concurrent use.
package quota

import "time"

// Limit is the limit of a customer over all nodes.
type Limit struct {
	Rate  float64 // requests per second, above 0
	Burst float64 // requests admitted at once beyond the rate
}

// Lease is how long lent tokens may be spent. A longer lease costs fewer messages; a
// shorter one loses fewer tokens with a node and keeps the total closer to the limit.
const Lease = time.Second
