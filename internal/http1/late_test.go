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

// A process that has no processor for a while finds two things at once when it goes
// on: the time of a request is over, and its answer is here. A small node that takes a
// large table stands still for 0.7 to 0.9 s. The poller of the runtime tells the
// deadline first and reads nothing more, so the answer of a request that had run was
// dropped, and its caller told 504, "may have run". Here the stall is a hook that
// returns when the answer lies in the kernel and the deadline is over.
func TestAnswerThatIsHereIsTakenAfterItsTime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := stallOnce{cancel: cancel}
	addr, conns := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if !s.over() {
				respond(nc, "other", "no")
				s.await()
			}
			respond(nc, req.Header.Get(idHeader), "yes")
		}
	})
	c := newTestClient()
	belongs := c.cfg.MatchesRequest
	c.cfg.MatchesRequest = func(req *http.Request, resp *http.Response) bool {
		s.stall(t)
		return belongs(req, resp)
	}
	body, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
	assert.NilError(t, err)
	assert.Equal(t, body, "yes")
	// Nothing is sent on a connection whose request has ended so.
	body, err = roundTrip(c, newRequest(t, addr, "GET", "b", nil))
	assert.NilError(t, err)
	assert.Equal(t, body, "yes")
	assert.Equal(t, conns.Load(), int32(2))
}

// The same with the body of an answer whose head was read in time, however its end
// is told, and longer than what one read brings.
func TestBodyThatIsHereIsTakenAfterItsTime(t *testing.T) {
	const length = 48 << 10
	whole := strings.Repeat("b", length)
	chunk := strconv.FormatInt(length, 16) + "\r\n" + whole + "\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		framing, rest string
		closes        bool
	}{
		"length": {"Content-Length: " + strconv.Itoa(length), whole, false},
		"chunks": {"Transfer-Encoding: chunked", chunk, false},
		"close":  {"Connection: close", whole, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := stallOnce{cancel: cancel}
			addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\n"+c.framing+"\r\n\r\n")
				s.await()
				_, _ = io.WriteString(nc, c.rest)
				if !c.closes {
					_, _ = br.ReadByte()
				}
			})
			resp, err := newTestClient().RoundTrip(newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
			assert.NilError(t, err)
			s.bytes, s.closes = len(c.rest), c.closes
			s.stall(t)
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), whole)
		})
	}
}

// A request whose time is over before anything of it was sent is not sent: it would
// run for nobody, after its caller was told or had left. One that was taken up after
// a stall was sent all the same, as the deadline was set beside the first write.
func TestRequestWhoseTimeIsOverIsNotSent(t *testing.T) {
	arrived := make(chan string, 100)
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			arrived <- req.Header.Get(idHeader)
			respond(nc, req.Header.Get(idHeader), "ok")
		}
	})
	c := newTestClient()
	for range 20 {
		_, err := roundTrip(c, newRequest(t, addr, "GET", "in time", nil))
		assert.NilError(t, err)
		assert.Equal(t, <-arrived, "in time")
		ctx, cancel := context.WithCancel(t.Context())
		// The connection is there; then the process stalls.
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }}
		_, err = roundTrip(c, newRequest(t, addr, "GET", "late", nil).WithContext(httptrace.WithClientTrace(ctx, trace)))
		assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, context.Canceled), "%v", err)
	}
	_, err := roundTrip(c, newRequest(t, addr, "GET", "last", nil))
	assert.NilError(t, err)
	assert.Equal(t, <-arrived, "last")
}

// The connection that such a request would have taken is kept for others.
func TestRequestWhoseTimeIsOverTakesNoConnection(t *testing.T) {
	addr, conns := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			respond(nc, req.Header.Get(idHeader), "ok")
		}
	})
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

// Part of an answer is no answer: the request ends at once with the cause, without a
// wait for the rest.
func TestPartOfAnAnswerEndsWithItsTime(t *testing.T) {
	for name, first := range map[string]string{
		"of the head": "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n",
		"of the body": "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 9\r\n\r\npart",
		"of another":  "HTTP/1.1 200 OK\r\n" + idHeader + ": b\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := stallOnce{cancel: cancel}
			closed := make(chan struct{})
			addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				respond(nc, "other", "no")
				s.await()
				_, _ = io.WriteString(nc, first)
				_, _ = br.ReadByte() // until the client gives up
				close(closed)
			})
			c := newTestClient()
			belongs := c.cfg.MatchesRequest
			c.cfg.MatchesRequest = func(req *http.Request, resp *http.Response) bool {
				s.stall(t)
				return belongs(req, resp)
			}
			_, err := roundTrip(c, newRequest(t, addr, "GET", "a", nil).WithContext(s.trace(ctx)))
			assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
			<-closed
		})
	}
}

// A peer that sends without end gets no more time by that: what came after the end
// of the request is not read.
func TestWhatComesAfterTheTimeIsNotRead(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const part = 8 << 10 // more than the reader's buffer
	s := stallOnce{cancel: cancel, bytes: part}
	later := make(chan struct{})
	addr, _ := scriptServer(t, func(_ int, nc net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nConnection: close\r\n\r\n")
		s.await()
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
	for inKernel(t, s.nc) < part {
		time.Sleep(time.Millisecond)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Equal(t, n, int64(part-1))
}

// An upstream that closed a kept connection while the process stalled, be it past its
// idle time, gets no request on it.
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
	for quiet(c.idle[addr][0].nc) {
		time.Sleep(time.Millisecond)
	}
	_, err = roundTrip(c, newRequest(t, addr, "POST", "b", nil))
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int32(2))
}

// stallOnce is a process that stands still once: from when it lets the peer answer
// until the answer lies in the kernel and the time of its request is over.
type stallOnce struct {
	cancel context.CancelFunc
	bytes  int  // awaited in the kernel; default 1
	closes bool // the end of the connection is awaited, too
	nc     net.Conn
	begun  chan struct{}
	ended  bool
}

// trace returns a context that tells the connection of the request.
func (s *stallOnce) trace(ctx context.Context) context.Context {
	s.begun = make(chan struct{})
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.nc = info.Conn }})
}

// over reports whether the stall has begun.
func (s *stallOnce) over() bool {
	select {
	case <-s.begun:
		return true
	default:
		return false
	}
}

// await is for the peer: it returns when the stall begins.
func (s *stallOnce) await() { <-s.begun }

func (s *stallOnce) stall(t *testing.T) {
	t.Helper()
	if s.ended {
		return
	}
	s.ended = true
	close(s.begun)
	for !s.here(t) {
		time.Sleep(time.Millisecond)
	}
	s.cancel()
	for !timeIsOver(t, s.nc) {
		time.Sleep(time.Millisecond)
	}
}

// here reports whether what is awaited lies in the kernel.
func (s *stallOnce) here(t *testing.T) bool {
	t.Helper()
	if inKernel(t, s.nc) < max(s.bytes, 1) {
		return false
	}
	return !s.closes || peerClosed(t, s.nc)
}

// inKernel returns how many bytes of a connection have come and are not read.
func inKernel(t *testing.T, nc net.Conn) int {
	t.Helper()
	var n int32
	control(t, nc, func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, fionread, uintptr(unsafe.Pointer(&n)))
		assert.Equal(t, errno, syscall.Errno(0))
	})
	return int(n)
}

// peerClosed reports whether the peer's end of the connection has come.
func peerClosed(t *testing.T, nc net.Conn) bool {
	t.Helper()
	const closeWait = 8 // TCP_CLOSE_WAIT of tcp_states.h
	var info [1]byte    // of struct tcp_info, whose first byte is the state
	size := uint32(len(info))
	control(t, nc, func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		assert.Equal(t, errno, syscall.Errno(0))
	})
	return info[0] == closeWait
}

// timeIsOver reports whether the connection's deadline has passed.
func timeIsOver(t *testing.T, nc net.Conn) bool {
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
