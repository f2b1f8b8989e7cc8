package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that go on until their deadline, and hold a slot of the server
// for as long, after their caller has left amid the body.
func TestFailedBodyEndsTheExchange(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "with a length": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			addr, _ := scriptServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
				req, err := http.ReadRequest(br)
				if err == nil {
					_, err = io.Copy(io.Discard, req.Body)
				}
				ended <- err
			})
			const timeout = time.Minute
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			half := strings.NewReader(strings.Repeat("b", 50<<10))
			req := newRequest(t, addr, http.MethodPost, "a", io.NopCloser(io.MultiReader(half, brokenReader{}))).WithContext(ctx)
			req.ContentLength = length
			_, err := newTestClient().RoundTrip(req)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, <-ended != nil) // the server must not take the body for a complete one
		})
	}
}

// brokenReader is the connection of a caller that has left.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
