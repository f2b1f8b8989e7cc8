// Package http1 carries HTTP/1.1 over connections of its own: a server for
// callers and other nodes, and a client for other nodes and the upstream.
//
// net/http parses heads and frames bodies; what a proxy must control itself is
// here. The server works on pipelined requests at the same time and answers
// them in order, notices a caller that leaves while its request runs, refuses
// ambiguous framing, and closes connections without resetting unread bytes.
// The client writes the request target as it came, sends a request exactly
// once, reports whether any of it was sent, and never keeps a connection on
// which bytes arrived that belong to no request.
package http1
