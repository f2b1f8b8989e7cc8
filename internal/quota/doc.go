// Package quota bounds the requests of a customer over all nodes without shared state.
//
// Each customer has one home, chosen alike by all nodes. The home's Lender keeps a token
// bucket and lends tokens in batches for a short time; a Borrower on each other node spends
// them, one a request. A batch covers what the node expects within a lease, so a customer
// of many requests costs a few messages a second and node, however uneven they come.
//
// The invariant: what is sent in a window of length w is at most the rate times w plus one
// lease, plus the burst, plus the reserve of the nodes that cannot reach the home. A lease
// that was not spent is lost, so that a node which froze, or was cut off, holds nothing
// that has been given to others meanwhile. A home that starts lends from an empty bucket.
//
// The package is pure: time and randomness are passed in, and nothing is safe for
// concurrent use.
package quota

import "time"

// Limit is what a customer may send over all nodes.
type Limit struct {
	Rate  float64 // requests per second, over 0
	Burst float64 // requests that may come beyond the rate at once
}

// Lease is how long lent tokens may be spent. Longer costs fewer messages, shorter loses
// less with a node and keeps the sum nearer to the limit.
const Lease = time.Second
