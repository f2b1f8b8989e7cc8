package http1

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A process paused during a dial finds the dial timeout expired when it resumes, though
// the connection is established: in 60 pauses of 0.4 s, 77 of 67,363 dials over loopback
// to a reachable server failed with "i/o timeout". Their requests went to other upstreams
// or were refused, and the healthy server counted as failed.
func TestDialTimeoutDuringAStallIsRetried(t *testing.T) {
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return // connection of the first dial
		}
		respond(nc, req.Header.Get(idHeader), "ok")
	})
	cfg := DefaultClientConfig()
	cfg.DialTimeout = 10 * time.Millisecond
	c := NewClient(cfg)
	var dials atomic.Int64
	c.dialer.Control = func(string, string, syscall.RawConn) error {
		if dials.Add(1) == 1 {
			time.Sleep(cfg.DialTimeout + 2*dialPauseMargin)
		}
		return nil
	}
	body, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, dials.Load(), int64(2))
}

// A dial that is refused within its timeout is not retried.
func TestRefusedDialIsNotRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	c := NewClient(DefaultClientConfig())
	var dials atomic.Int64
	c.dialer.Control = func(string, string, syscall.RawConn) error { dials.Add(1); return nil }
	_, err = roundTrip(c, newRequest(t, addr, "GET", "a", nil))
	assert.Assert(t, errors.Is(err, ErrNotSent))
	assert.Equal(t, dials.Load(), int64(1))
}
