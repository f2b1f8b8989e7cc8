// Package link models one direction of a machine's network link as a capacity that is
// shared like the slots of an upstream: it estimates the rate, paces long transfers,
// counts the bytes that admitted requests still need, and tells whether another long
// transfer can be complete in time.
//
// The package is pure: times are passed in, and it starts no goroutines and does no I/O.
// A Link is not safe for concurrent use.
package link
