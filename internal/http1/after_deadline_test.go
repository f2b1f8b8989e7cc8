package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// After a process pause, the deadline of a request may have passed and its response may
// have arrived. A small node that applies a large table pauses for 0.7 to 0.9 s. The
// runtime's poller reports the deadline first and reads nothing more, so the response of
// a request that had run was dropped, and its caller got 504 ("may have run"). The test
// simulates the pause with a hook that returns once the response is in the kernel's
// buffer and the deadline has passed.
func TestArrivedResponseIsReadAfterTheDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := stallOnce{cancel: cancel}
	addr, conns := scriptServer(t, answerEach(func(nc net.Conn, req *http.Request) {
		if !s.hasBegun() {
			respond(nc, "other", "no")
			s.awaitBegin()
		}
		respond(nc, req.Header.Get(idHeader), "yes")
	}))
	c := newTestClient()
	s.stallIn(t, c)
	body, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
	assert.NilError(t, err)
	assert.Equal(t, body, "yes")
	// A connection whose request ended this way is not reused.
	body, err = roundTrip(c, newRequest(t, addr, "GET", "b", nil))
	assert.NilError(t, err)
	assert.Equal(t, body, "yes")
	assert.Equal(t, conns.Load(), int32(2))
}

// The same for a response body whose head was read in time, with each kind of framing,
// and longer than one read.
func TestArrivedBodyIsReadAfterTheDeadline(t *testing.T) {
	const length = 48 << 10
	full := strings.Repeat("b", length)
	chunk := strconv.FormatInt(length, 16) + "\r\n" + full + "\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		framing, rest string
		peerCloses    bool
	}{
		"length": {"Content-Length: " + strconv.Itoa(length), full, false},
		"chunks": {"Transfer-Encoding: chunked", chunk, false},
		"close":  {"Connection: close", full, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := stallOnce{cancel: cancel}
			addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\n"+c.framing+"\r\n\r\n")
				s.awaitBegin()
				_, _ = io.WriteString(nc, c.rest)
				if !c.peerCloses {
					_, _ = br.ReadByte()
				}
			})
			resp, err := newTestClient().RoundTrip(newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
			assert.NilError(t, err)
			s.bytes, s.peerCloses = len(c.rest), c.peerCloses
			s.stall(t)
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), full)
		})
	}
}

// A request that expired before any byte of it was sent is not sent: it would run after
// its caller was answered or disconnected. Requests were sent after a pause all the same
// when the deadline was only set concurrently with the first write.
func TestExpiredRequestIsNotSent(t *testing.T) {
	arrived := make(chan string, 100)
	addr, _ := scriptServer(t, answerEach(func(nc net.Conn, req *http.Request) {
		arrived <- req.Header.Get(idHeader)
		respond(nc, req.Header.Get(idHeader), "ok")
	}))
	c := newTestClient()
	for range 20 {
		_, err := roundTrip(c, newRequest(t, addr, "GET", "in time", nil))
		assert.NilError(t, err)
		assert.Equal(t, <-arrived, "in time")
		ctx, cancel := context.WithCancel(t.Context())
		// The connection is ready; then the process pauses.
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }}
		_, err = roundTrip(c, newRequest(t, addr, "GET", "late", nil).WithContext(httptrace.WithClientTrace(ctx, trace)))
		assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, context.Canceled), "%v", err)
	}
	_, err := roundTrip(c, newRequest(t, addr, "GET", "last", nil))
	assert.NilError(t, err)
	assert.Equal(t, <-arrived, "last")
}

// An expired request leaves the idle connection to other requests.
func TestExpiredRequestTakesNoConnection(t *testing.T) {
	addr, conns := scriptServer(t, answerEach(func(nc net.Conn, req *http.Request) {
		respond(nc, req.Header.Get(idHeader), "ok")
	}))
	c := newTestClient()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 3 {
		_, err := roundTrip(c, newRequest(t, addr, "GET", "in time", nil))
		assert.NilError(t, err)
		_, err = roundTrip(c, newRequest(t, addr, "GET", "late", nil).WithContext(ended))
		assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	}
	assert.Equal(t, conns.Load(), int32(1))
}

// A partial response is an error: the request fails at its deadline with the context's
// error, without a wait for the rest.
func TestPartialResponseFailsAtTheDeadline(t *testing.T) {
	for name, first := range map[string]string{
		"head":             "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n",
		"body":             "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 9\r\n\r\npart",
		"foreign response": "HTTP/1.1 200 OK\r\n" + idHeader + ": b\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := stallOnce{cancel: cancel}
			closed := make(chan struct{})
			addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				respond(nc, "other", "no")
				s.awaitBegin()
				_, _ = io.WriteString(nc, first)
				_, _ = br.ReadByte() // until the client closes
				close(closed)
			})
			c := newTestClient()
			s.stallIn(t, c)
			_, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
			assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
			<-closed
		})
	}
}

// A peer that sends continuously can't extend the deadline: bytes that arrive after it
// are not read.
func TestResponseBytesAfterTheDeadlineAreNotRead(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const part = 8 << 10 // more than the reader's buffer
	s := stallOnce{cancel: cancel, bytes: part}
	later := make(chan struct{})
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nConnection: close\r\n\r\n")
		s.awaitBegin()
		_, _ = nc.Write(make([]byte, part))
		<-later
		_, _ = nc.Write(make([]byte, part))
		_, _ = br.ReadByte()
	})
	resp, err := newTestClient().RoundTrip(newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
	assert.NilError(t, err)
	s.stall(t)
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	assert.NilError(t, err)
	close(later)
	for unreadBytes(t, s.nc) < part {
		time.Sleep(time.Millisecond)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Equal(t, n, int64(part-1))
}

// No request is sent on an idle connection that the upstream closed during a process
// pause, for example because its idle timeout passed.
func TestConnectionClosedDuringAStallIsNotUsed(t *testing.T) {
	closing := make(chan struct{})
	addr, conns := scriptServer(t, func(n int, nc net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			respond(nc, req.Header.Get(idHeader), "ok")
			if n == 1 {
				<-closing
				return
			}
		}
	})
	c := newTestClient()
	_, err := roundTrip(c, newRequest(t, addr, "POST", "a", nil))
	assert.NilError(t, err)
	close(closing)
	for openWithoutData(c.idle[addr][0].nc) {
		time.Sleep(time.Millisecond)
	}
	_, err = roundTrip(c, newRequest(t, addr, "POST", "b", nil))
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int32(2))
}

// stallOnce simulates one process pause: it begins when the peer may respond and ends
// when the response is in the kernel's buffer and the request's deadline has passed.
type stallOnce struct {
	cancel     context.CancelFunc
	bytes      int  // unread bytes to wait for; default 1
	peerCloses bool // also wait until the peer has closed
	nc         net.Conn
	begun      chan struct{}
	ended      bool
}

// trace returns a context that records the connection of the request.
func (s *stallOnce) trace(ctx context.Context) context.Context {
	s.begun = make(chan struct{})
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.nc = info.Conn }})
}

// hasBegun reports whether the pause has begun.
func (s *stallOnce) hasBegun() bool {
	select {
	case <-s.begun:
		return true
	default:
		return false
	}
}

// awaitBegin is called by the peer and returns when the pause begins.
func (s *stallOnce) awaitBegin() { <-s.begun }

// stallIn makes a client pause when it has read the head of a response.
func (s *stallOnce) stallIn(t *testing.T, c *Client) {
	matches := c.cfg.MatchesRequest
	c.cfg.MatchesRequest = func(req *http.Request, resp *http.Response) bool {
		s.stall(t)
		return matches(req, resp)
	}
}

func (s *stallOnce) stall(t *testing.T) {
	t.Helper()
	if s.ended {
		return
	}
	s.ended = true
	close(s.begun)
	for !s.arrived(t) {
		time.Sleep(time.Millisecond)
	}
	s.cancel()
	for !deadlinePassed(t, s.nc) {
		time.Sleep(time.Millisecond)
	}
}

// arrived reports whether the awaited bytes are in the kernel's buffer.
func (s *stallOnce) arrived(t *testing.T) bool {
	t.Helper()
	if unreadBytes(t, s.nc) < max(s.bytes, 1) {
		return false
	}
	return !s.peerCloses || peerClosed(t, s.nc)
}

// unreadBytes returns the number of unread bytes of a connection.
func unreadBytes(t *testing.T, nc net.Conn) int {
	t.Helper()
	var n int32
	control(t, nc, func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, fionread, uintptr(unsafe.Pointer(&n)))
		assert.Equal(t, errno, syscall.Errno(0))
	})
	return int(n)
}

// peerClosed reports whether the peer has closed its side.
func peerClosed(t *testing.T, nc net.Conn) bool {
	t.Helper()
	const closeWait = 8 // TCP_CLOSE_WAIT of tcp_states.h
	var info [1]byte    // struct tcp_info, whose first byte is the state
	size := uint32(len(info))
	control(t, nc, func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		assert.Equal(t, errno, syscall.Errno(0))
	})
	return info[0] == closeWait
}

// deadlinePassed reports whether the connection's deadline has passed.
func deadlinePassed(t *testing.T, nc net.Conn) bool {
	t.Helper()
	rc, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	return errors.Is(rc.Read(func(uintptr) bool { return true }), os.ErrDeadlineExceeded)
}

func control(t *testing.T, nc net.Conn, f func(fd uintptr)) {
	t.Helper()
	rc, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, rc.Control(f))
}
