package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// Guards against an upstream taken out of use by a health response that is none.
func TestMalformedHealthResponseSaysNothing(t *testing.T) {
	for response, valid := range map[string]bool{
		"HTTP/1.1 503\r\n\r\ndraining":                                true,
		"HTTP/1.1 000 OK\r\n\r\ndraining":                             false,
		"HTTP/1.1 200 OK\r\nX Foo: a\r\n\r\ndraining":                 false,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\ndraining":       false,
		"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\ndraining, not": false,
	} {
		addr, server, err := rawhttp.Start(rawhttp.Answer{Bytes: response, End: rawhttp.Close})
		assert.NilError(t, err)
		client := newHealthClient()
		draining, err := queryDraining(t.Context(), client, "http://"+addr+"/")
		assert.Equal(t, err == nil, valid, "%q: %v", response, err)
		assert.Assert(t, draining || !valid, "%q", response)
		_ = server.Close()
	}
}
