package cli

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// Guards against a state shown to an operator that was read from a response that is none.
func TestMalformedAdminResponseIsNotShown(t *testing.T) {
	for response, valid := range map[string]bool{
		"HTTP/1.1 200\r\nUnknown: a\r\n\r\n{}":                  true,
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}":        false,
		"HTTP/1.1 200 OK\r\nX Foo: a\r\n\r\n{}":                 false,
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n{}":       false,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}":        false,
		"HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200\r\n\r\n{}":  false,
		"HTTP/1.1 103 \r\nX Foo: a\r\n\r\nHTTP/1.1 200\r\n\r\n": false,
	} {
		addr, server, err := rawhttp.Start(rawhttp.Answer{Bytes: response, End: rawhttp.Close})
		assert.NilError(t, err)
		raw, err := requestAdmin(t.Context(), http.MethodGet, addr, "/status")
		assert.Equal(t, err == nil, valid, "%q: %v", response, err)
		assert.Equal(t, string(raw) == "{}", valid, "%q", response)
		_ = server.Close()
	}
}
