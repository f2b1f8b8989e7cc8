// Package overload decides which requests are served when there are more than the slots
// can handle: when a request was first attempted, whether it can still meet its objective
// deadline, how long it may wait for a slot, and which requests take priority.
//
// A response is worth most to the caller if it arrives within the objective, counted from
// the caller's first attempt. Beyond capacity some requests must be refused. The aim is
// to give each slot to a request that can still be in time, and to refuse the others at
// once.
//
// The package is pure: times are passed in, and it starts no goroutines and does no I/O.
package overload
