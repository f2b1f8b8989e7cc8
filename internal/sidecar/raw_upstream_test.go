package sidecar

import (
	"net"
	"net/http"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// replaceUpstreams ends all upstreams and serves each connection to their addresses by
// respond, which gets the ID of the upstream there. The connection is closed after it.
func (f *fleet) replaceUpstreams(respond func(id string, nc net.Conn)) {
	f.t.Helper()
	for _, replaced := range f.upstreams {
		_ = replaced.server.Close()
		l, err := net.Listen("tcp", replaced.addr.String())
		assert.NilError(f.t, err)
		f.serveRaw(l, func(nc net.Conn) { respond(replaced.id, nc) })
	}
}

// answer ends all upstreams and answers each request to their addresses.
func (f *fleet) answer(answer func(id string, req *http.Request) rawhttp.Answer) {
	f.replaceUpstreams(func(id string, nc net.Conn) {
		rawhttp.Serve(nc, func(req *http.Request) rawhttp.Answer { return answer(id, req) })
	})
}

// serveRaw serves each connection of a listener by respond, and closes it after that.
func (f *fleet) serveRaw(l net.Listener, respond func(nc net.Conn)) {
	f.t.Cleanup(func() { _ = l.Close() })
	go rawhttp.Accept(l, respond)
}

// ownFields returns the header lines that name a response as the upstream's own, made for a
// request.
func ownFields(req *http.Request, upstream string) string {
	return testDialect.RequestID + ": " + req.Header.Get(testDialect.RequestID) + "\r\n" + testDialect.Signature + ": " + upstream + "\r\n"
}
