// Package overload decides who is served when there is more work than slots:
// how old a request is, whether it can still be answered in time, how long it
// may wait for a slot, who goes first, and when a refused one should come back.
//
// A request is worth most to its caller when it is answered within its
// objective, counted from the caller's first attempt. Beyond capacity somebody
// is refused whatever is done; what can be chosen is that each slot goes to a
// request that can still be in time, and that the others learn of their refusal
// at once.
//
// The package is pure: times are passed in, and it has no goroutines. It sees
// no network and no clock.
package overload
