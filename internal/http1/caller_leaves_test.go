package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// In the tests below a caller leaves while its request is between two steps, and the
// goroutine that watches its connection has not run yet, as after a process pause.

// forwardThrough serves requests by forwarding them to addr with the client, and returns a
// connection of a caller whose watcher stalls, and the errors of the round trips.
func forwardThrough(t *testing.T, c *Client, addr string, wrap func(context.Context) context.Context) (net.Conn, chan error) {
	t.Helper()
	failed := make(chan error, 1)
	handler := func(_ http.ResponseWriter, r *http.Request) {
		_, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil).WithContext(wrap(r.Context())))
		failed <- err
	}
	watcher := newStallPoint(2) // the first call awaits the request
	_, front := startStalled(t, Config{Handler: http.HandlerFunc(handler)}, stallPoints{wait: watcher})
	t.Cleanup(func() { close(watcher.resume) })
	nc, _ := dial(t, front)
	return nc, failed
}

func unchanged(ctx context.Context) context.Context { return ctx }

// countRequests is an upstream that answers, and reports each request.
func countRequests(t *testing.T) (addr string, arrived chan string) {
	t.Helper()
	arrived = make(chan string, 8)
	addr, _ = scriptServer(t, answerEach(func(nc net.Conn, req *http.Request) {
		arrived <- req.Header.Get(idHeader)
		respond(nc, req.Header.Get(idHeader), "ok")
	}))
	return addr, arrived
}

// hangUp closes a loopback connection and waits until the kernel has delivered that.
func hangUp(t *testing.T, nc net.Conn) {
	t.Helper()
	assert.NilError(t, nc.Close())
	time.Sleep(50 * time.Millisecond)
}

// assertNotSentAfterLeaving sends a request through forwardThrough, leaves once its round
// trip has reached a step, and checks that it goes no further.
func assertNotSentAfterLeaving(t *testing.T, nc net.Conn, reached <-chan struct{}, proceed chan<- struct{}, failed <-chan error, arrived <-chan string) {
	t.Helper()
	write(t, nc, get("/"))
	<-reached
	hangUp(t, nc)
	close(proceed)
	assert.Assert(t, errors.Is(<-failed, ErrNotSent))
	assert.Equal(t, len(arrived), 0)
}

// Requests reached upstreams 0.65 s after their callers had left: a connection was
// established while the process got no processor time, and the request was written before
// the end of its caller was noticed.
func TestCallerLeavesDuringTheDial(t *testing.T) {
	addr, arrived := countRequests(t)
	c := newTestClient()
	dialling, proceed := make(chan struct{}), make(chan struct{})
	c.dialer.Control = func(string, string, syscall.RawConn) error {
		close(dialling)
		<-proceed
		return nil
	}
	nc, failed := forwardThrough(t, c, addr, unchanged)
	assertNotSentAfterLeaving(t, nc, dialling, proceed, failed, arrived)
	assert.Equal(t, len(c.idle[addr]), 1, "the connection is kept")
}

// The same on a connection that is open already.
func TestCallerLeavesBeforeTheWrite(t *testing.T) {
	addr, arrived := countRequests(t)
	c := newTestClient()
	_, err := roundTrip(c, newRequest(t, addr, "GET", "first", nil))
	assert.NilError(t, err)
	assert.Equal(t, <-arrived, "first")
	connected, proceed := make(chan struct{}), make(chan struct{})
	nc, failed := forwardThrough(t, c, addr, func(ctx context.Context) context.Context {
		return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
			close(connected)
			<-proceed
		}})
	})
	assertNotSentAfterLeaving(t, nc, connected, proceed, failed, arrived)
}

// lateTimer is a context whose deadline has passed in a pause, before its timer ran.
type lateTimer struct{ context.Context }

func (lateTimer) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

func TestDeadlinePassesBeforeTheWrite(t *testing.T) {
	addr, arrived := countRequests(t)
	c := newTestClient()
	_, err := roundTrip(c, newRequest(t, addr, "GET", "first", nil))
	assert.NilError(t, err)
	assert.Equal(t, <-arrived, "first")
	_, err = roundTrip(c, newRequest(t, addr, "GET", "a", nil).WithContext(lateTimer{t.Context()}))
	assert.Assert(t, errors.Is(err, ErrNotSent))
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, len(arrived), 0)
}

// A request that waits in the socket of its sender, as the link or the receiver takes no
// bytes, does not arrive once its caller has left.
func TestCallerLeavesWhileTheRequestIsQueued(t *testing.T) {
	const small = 4 << 10
	l, err := (&net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			assert.NilError(t, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, small))
		})
	}}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	ctx, leave := context.WithCancel(t.Context())
	written := make(chan struct{})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(written) }})
	req := newRequest(t, l.Addr().String(), "GET", "a", nil).WithContext(ctx)
	req.Header.Set("Long", strings.Repeat("x", 8*small))
	failed := make(chan error, 1)
	go func() {
		_, err := roundTrip(newTestClient(), req)
		failed <- err
	}()
	nc, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	<-written
	leave()
	assert.Assert(t, errors.Is(<-failed, context.Canceled))
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = http.ReadRequest(bufio.NewReader(nc))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// noticeBound is how long after a caller left its requests may still go on, so that they
// reach no upstream more than half a second after it.
const noticeBound = 400 * time.Millisecond

// A caller that leaves is noticed although bytes that nobody reads stand before the end of
// its connection.
func TestCallerLeavesBehindUnreadBytes(t *testing.T) {
	for name, request := range map[string]string{
		"body":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("b", 10<<10),
		"chunks":    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
		"continue":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n",
		"pipelined": strings.Repeat(get("/"), defaultPipelined+2),
	} {
		t.Run(name, func(t *testing.T) {
			running, cancelled := make(chan struct{}, defaultPipelined), make(chan struct{}, defaultPipelined)
			end := make(chan struct{})
			defer close(end)
			_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				running <- struct{}{}
				select {
				case <-r.Context().Done():
					cancelled <- struct{}{}
				case <-end:
				}
			}, DefaultLimits())
			nc, _ := dial(t, addr)
			write(t, nc, request)
			started := 1
			if name == "pipelined" {
				started = defaultPipelined
			}
			for range started {
				<-running
			}
			assert.NilError(t, nc.Close())
			timeout := time.After(noticeBound)
			for range started {
				select {
				case <-cancelled:
				case <-timeout:
					t.Fatal("the caller's disconnect was not noticed")
				}
			}
		})
	}
}
