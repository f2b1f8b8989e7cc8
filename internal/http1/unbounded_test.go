package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a client that reads without end what a faulty server sends in place of a
// response, and holds it in memory.
func TestUnboundedResponsesAreCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		first, repeated string
		limit           int64 // bytes that the server may send until it is cut off
	}{
		"no response":      {"", "no response ", 64 << 10},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X-More: m\r\n", 64 << 10},
		"one header line":  {"HTTP/1.1 200 OK\r\nX-Long: ", "llll", 64 << 10},
		"informational":    {"", "HTTP/1.1 100 Continue\r\n\r\n", 64 << 10},
		"bodies of others": {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("w", 1024) + "\r\n", maxForeignBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
				defer close(ended)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				// A small send buffer, so that what was sent is about what was read.
				_ = nc.(*net.TCPConn).SetWriteBuffer(4 << 10)
				_ = nc.SetWriteDeadline(time.Now().Add(time.Minute))
				_, _ = io.WriteString(nc, c.first)
				block := []byte(strings.Repeat(c.repeated, 1+(4<<10)/len(c.repeated)))
				for {
					n, err := nc.Write(block)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			})
			_, err := roundTrip(newTestClient(), newRequest(t, addr, "GET", "a", nil))
			assert.Assert(t, errors.Is(err, ErrUnboundedResponse), "%v", err)
			<-ended
			const buffers = 8 << 20 // of the kernel
			assert.Assert(t, sent.Load() < c.limit+buffers, "%d bytes", sent.Load())
		})
	}
}

// A head of the greatest length is read, and what is not read of its buffer belongs to the
// body.
func TestLongestHeadIsRead(t *testing.T) {
	const body = "the body"
	first := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 8\r\nX-Long: "
	head := first + strings.Repeat("l", DefaultLimits().HeaderBytes-len(first)-len("\r\n\r\n")) + "\r\n\r\n"
	addr, conns := scriptServer(t, answerEach(func(nc net.Conn, _ *http.Request) {
		_, _ = io.WriteString(nc, head+body)
	}))
	c := newTestClient()
	for range 2 {
		got, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil))
		assert.NilError(t, err)
		assert.Equal(t, got, body)
	}
	assert.Equal(t, conns.Load(), int32(1))
}
