// Package quarantine detects requests that crash the upstreams running them, and keeps
// them from being dispatched to further ones.
//
// When an upstream crashes, all requests that it was running end with it, and one of them
// may be the cause. The next crash shows which one: a request that was running at several
// crashes, and was not answered by any upstream in between, is quarantined. Without this,
// a request that callers retry at any node takes down one upstream after the other for
// some seconds each, until the whole service is unavailable.
//
// Tracker holds the records of one node and makes the decisions. It is pure: time is
// passed in. Nodes exchange their records, and merging them in any order gives the same
// result. The invariants are: a request that was not running at a crash is never
// quarantined; an answer of an upstream clears all crashes of the request at that service
// that are known at the time; a quarantined request is probed by one node at a time and
// only a few times in total.
package quarantine
