package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An upstream may pause while it reads a long body. Its receive window is full meanwhile
// and it answers every window probe, but TCP_USER_TIMEOUT still counts that time as
// unacknowledged, so the client would take a live peer for dead and abort a request that
// may be running. With the default of 2 s, bodies of 1 MB and more failed with
// "connection timed out" or "unexpected EOF" 2.5 s after they were sent when their reader
// paused for 4 s; with a pause of 1.5 s all were sent. The test uses shorter times.
func TestBodyForASlowReaderIsSent(t *testing.T) {
	const unacked, pause = 200 * time.Millisecond, 1500 * time.Millisecond
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(pause)
		_, _ = io.Copy(io.Discard, req.Body)
		respond(nc, req.Header.Get(idHeader), "ok")
	})
	cfg := DefaultClientConfig()
	cfg.UnackedTimeout = unacked
	body, err := roundTrip(NewClient(cfg), newRequest(t, addr, "POST", "a", strings.NewReader(strings.Repeat("b", 16<<20))))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}
