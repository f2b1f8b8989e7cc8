// Package http1 implements HTTP/1.1 for a proxy: a server for callers and other nodes,
// and a client for other nodes and the upstream.
//
// net/http parses request and response heads and decodes body framing; this package
// handles what a proxy must control itself. The server runs pipelined requests
// concurrently and writes their responses in order, detects a caller that disconnects
// while its request runs, rejects ambiguous framing, and closes connections without
// resetting unread bytes. The client writes the request target unchanged, sends each
// request exactly once, reports whether any byte of it was sent, and never reuses a
// connection that holds bytes beyond the response to its last request.
package http1
