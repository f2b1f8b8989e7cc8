// Package table defines the operators' routing table: its types, its CSV form, the check
// that a version must pass before it is used, the differences between two versions by
// cell, and the binary deltas that nodes send to each other.
//
// The result of the check depends only on the bytes of the table, so all nodes accept or
// reject the same versions. The package does no I/O.
package table

import "time"

// MaxBytes is the largest size of a raw table in bytes. It is the platform's limit for one
// value.
const MaxBytes = 1 << 20

// MaxEdition limits the edition number, so that a mistyped one cannot be the highest
// possible and thereby remain the newest version for ever.
const MaxEdition = 1_000_000_000_000

// DefaultTimeout applies to routes without a timeout.
const DefaultTimeout = 10 * time.Second

// Table is one parsed version. Its slices are in the order of the file.
type Table struct {
	Edition   uint64
	Services  []Service
	Upstreams []Upstream
	Routes    []Route
	// Customers identifies callers by API key; nil if requests need no key.
	Customers *Customers
}

// Service is a named group of interchangeable upstreams.
type Service struct {
	Row  int    // line of the file, from 1
	Name string // unique among services
	// Rate is the limit in requests per second over the whole fleet; 0 means no limit.
	Rate float64
	// Concurrency is the limit of requests in progress over the whole fleet; 0 means no
	// limit.
	Concurrency int
}

// Upstream is one instance of a service. Its address is not in the table but comes from
// the instance list, by name.
type Upstream struct {
	Row     int
	Name    string // unique among upstreams
	Service string
	// Weight is the share of the service's traffic, relative to its other upstreams.
	Weight float64
	// Rate is the limit of this upstream in requests per second; 0 means no limit.
	Rate float64
	// Concurrency is the number of slots, that is of requests in progress at once; 0 means
	// that the node's own setting applies.
	Concurrency int
}

// Route sends the requests of a path prefix to a service.
type Route struct {
	Row     int
	Name    string // unique among routes
	Service string
	// Upstream pins the route to one upstream of the service; empty means any.
	Upstream string
	// Host limits the route to requests for this host, in lower case and without a port;
	// empty means any.
	Host string
	// Prefix is the path prefix and begins with a slash. Of the prefixes that match, the
	// longest wins.
	Prefix string
	// Methods lists the HTTP methods that the route matches; empty means all.
	Methods []string
	// Kind is the class of the requests, by which they are queued and measured.
	Kind string
	// KindWeight is the value of one request of this kind relative to other kinds.
	KindWeight float64
	// Timeout limits the whole request including retries.
	Timeout time.Duration
	// Retries is the largest number of tries after the first.
	Retries int
	// Idempotent reports that a request may safely be run twice.
	Idempotent bool
	// Objective is the duration within which a response is worth its full value; 0 means
	// none is set.
	Objective time.Duration
	// Priority ranks requests under overload; 0 is served first.
	Priority int
	// Public is true if requests need no customer's key.
	Public bool
	// Split divides the requests among services by weight. If it is empty, all go to
	// Service; otherwise Service is that of the first share.
	Split []Share
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares
}
