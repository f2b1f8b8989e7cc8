// Package quarantine finds the requests that end the upstreams which run them, and
// keeps them from the others.
//
// An upstream that ends takes all requests with it that it is running, and one of them
// may be the cause. Which one shows with the next fall: a request that was running at
// several, and was not answered by any upstream in between, is held back. The load
// pattern: one caller's request comes again and again, at any node, and each upstream
// that runs it is gone for some seconds. Without this package the request goes on to
// those that are well until the whole service is gone.
//
// Book is the memory of one node and decides; it is pure: time is passed in. Nodes tell
// each other their records, which merge in any order to the same result. The
// invariants: a request that was never running at a fall is never held back, an answer
// of an upstream clears all falls of that service that are known then, and a request
// that is held back is tried again by one node at a time, a few times in all.
package quarantine
