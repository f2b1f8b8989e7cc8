package proxy

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
)

// Guards against writes without an end: a connection that falls silent amid a long
// response kept its handler, and what the response had reserved of the link, for good.
func TestSilentReaderEndsTheResponse(t *testing.T) {
	const length = 16 << 20 // more than the buffers of the kernel take
	ended := make(chan error, 1)
	server := http1.NewServer(http1.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_, err := copyBody(&progressingWriter{ResponseWriter: w, deadline: time.Now(), stall: 100 * time.Millisecond}, strings.NewReader(strings.Repeat("r", length)))
		ended <- err
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(30 * time.Second):
		t.Fatal("the write goes on")
	}
}

// deadlineRecorder records the write deadlines that are set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return nil
}

// A reader that is slow, but before the deadline of its request, is not cut; short
// responses have no deadline.
func TestWriteDeadlineFollowsTheRequest(t *testing.T) {
	d := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	requestDeadline := time.Now().Add(time.Minute)
	w := &progressingWriter{ResponseWriter: d, deadline: requestDeadline, stall: time.Second}
	for range 2 {
		_, err := w.Write(make([]byte, unboundedWrite))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(d.deadlines), 1)
	assert.Assert(t, d.deadlines[0].Sub(requestDeadline) > time.Second/2)
}
