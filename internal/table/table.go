// Package table holds the operator's table: its types, its CSV form, the
// acceptance check, row differences and the line delta that travels between
// nodes.
//
// Acceptance is a pure function of the bytes: every node accepts or refuses
// the same version. The package does no I/O.
package table

import "time"

// MaxBytes is the largest accepted table, the platform's limit for one value.
const MaxBytes = 1 << 20

// MaxEdition bounds the edition number, so that a mistyped one cannot use up
// the whole range and stay the newest for ever.
const MaxEdition = 1_000_000_000_000

// DefaultTimeout applies to a route that names no timeout.
const DefaultTimeout = 10 * time.Second

// Table is one parsed version. Slices keep the order of the file.
type Table struct {
	Edition   uint64
	Services  []Service
	Upstreams []Upstream
	Routes    []Route
	// Customers are those whose requests carry keys; nil if no request needs one.
	Customers *Customers
}

// Service is a named group of interchangeable upstreams.
type Service struct {
	Row  int    // line of the file, from 1
	Name string // unique among services
	// Rate is the limit over the whole fleet in calls per second; 0 means no limit.
	Rate float64
	// Concurrency is the limit of calls in progress over the whole fleet; 0 means no limit.
	Concurrency int
}

// Upstream is one target of a service; the instance list maps its name to an
// address.
type Upstream struct {
	Row     int
	Name    string // unique among upstreams
	Service string
	// Weight is the share of the service's traffic, relative to its siblings.
	Weight float64
	// Rate is the limit of this upstream in calls per second; 0 means no limit.
	Rate float64
	// Concurrency is the number of slots, calls in progress at once; 0 leaves
	// the node's own setting in force.
	Concurrency int
}

// Route sends the requests of a path prefix to a service.
type Route struct {
	Row     int
	Name    string // unique among routes
	Service string
	// Upstream pins the route to one upstream of the service; empty means any.
	Upstream string
	// Host limits the route to requests for this host, in lower case without a
	// port; empty means any.
	Host string
	// Prefix is the path prefix, starting with a slash; the longest match wins.
	Prefix string
	// Methods lists the HTTP methods served; empty means all.
	Methods []string
	// Kind names the class of request for queueing and histograms.
	Kind string
	// KindWeight is the value of one such request relative to other kinds.
	KindWeight float64
	// Timeout bounds the whole request including retries.
	Timeout time.Duration
	// Retries is the largest number of further tries after the first.
	Retries int
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// Objective is the time within which an answer is worth its full value;
	// 0 means none is set.
	Objective time.Duration
	// Priority ranks kinds under overload; 0 is served first.
	Priority int
	// Public routes take requests without a customer's key.
	Public bool
	// Split shares the requests among services by weight. Empty sends all to
	// Service, which is otherwise the first of the shares.
	Split []Share
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares
}
