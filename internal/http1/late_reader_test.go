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

// An upstream may read a long body late. Its window is full meanwhile, and it answers
// every probe; TCP_USER_TIMEOUT counts that time as unacknowledged all the same, so the
// client takes a peer that is there for one without power and breaks off a request at
// which it may be at work. With the default of 2 s, bodies of 1 MB and more ended with
// "connection timed out" or "unexpected EOF" 2.5 s after they were sent, where their
// reader paused for 4 s; with a pause of 1.5 s all were sent. The times here are
// shorter.
func TestBodyThatIsReadLateIsSent(t *testing.T) {
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
