package platform

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin/rawhttp"
)

// Guards against a value taken from a response that is none, or from a part of one.
func TestMalformedResponsesAreNotRead(t *testing.T) {
	const index = HeaderIndex + ": 7\r\n"
	for response, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + index + "Content-Length: 5\r\n\r\nvalue":               true,
		"HTTP/1.1 200\r\nUnknown: a\r\n" + index + "\r\nvalue":                         true,
		"HTTP/1.1 000 OK\r\n" + index + "\r\nvalue":                                    false,
		"HTTP/1.1 200 OK\r\n" + index + "X Foo: a\r\n\r\nvalue":                        false,
		"HTTP/1.1 200 OK\r\n" + index + "X-\x01Foo: a\r\n\r\nvalue":                    false,
		"HTTP/1.1 200 OK\r\n" + index + "Content-Length : 9\r\n\r\nvalue":              false,
		"HTTP/1.1 200 OK\r\n" + index + "Transfer-Encoding : chunked\r\n\r\nvalue":     false,
		"HTTP/1.1 200 OK\r\n" + index + "Content-Length: 9\r\n\r\nvalue":               false,
		"HTTP/1.0 200 OK\r\n" + index + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalue": false,
	} {
		addr, server, err := rawhttp.Start(rawhttp.Answer{Bytes: response, End: rawhttp.Close})
		assert.NilError(t, err)
		v, err := NewClient("http://"+addr, "test").Read(t.Context(), KeyTable)
		assert.Equal(t, err == nil, valid, "%q: %v", response, err)
		if valid {
			assert.Equal(t, string(v.Raw), "value")
			assert.Equal(t, v.Index, uint64(7))
		}
		_ = server.Close()
	}
}
