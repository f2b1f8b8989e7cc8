package http1

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deadlineReader reads a connection until a deadline, and judges the deadline by
// what has come when it notices it: those bytes are read, later ones are not. A
// process may stand still across a deadline, and the poller then tells of the
// deadline and not of the bytes: without this, 78 of 100 requests sent while a server
// with an idle time of 1 s stood still for 0.7 s (SIGSTOP) met a closed connection.
//
// The bytes are counted when the deadline is noticed, so a slow sender gains nothing
// beyond its deadline, and a further stall takes nothing away.
type deadlineReader struct {
	nc  net.Conn
	raw syscall.RawConn // nil if the connection has no descriptor to look at

	mu      sync.Mutex
	at      time.Time // the deadline; zero for none or an interrupt
	noticed bool      // it has passed and left is known
	left    int       // bytes that had come then and are still to be read
}

func newDeadlineReader(nc net.Conn) *deadlineReader {
	r := &deadlineReader{nc: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// set sets the deadline; the zero time means none. It fails on a connection that
// is closed, as the next read does, which reports it.
func (r *deadlineReader) set(at time.Time) { r.change(at, at) }

// interrupt ends a wait now, as a deadline that has just passed.
func (r *deadlineReader) interrupt() { r.change(time.Time{}, time.Unix(1, 0)) }

func (r *deadlineReader) change(at, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at, r.noticed = at, false
	_ = r.nc.SetReadDeadline(until)
}

// late returns how long ago the deadline was; 0 without one.
func (r *deadlineReader) late(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.at))
}

// inTime notices that the deadline has passed, and returns the number of bytes that
// had come then and are not read yet.
func (r *deadlineReader) inTime() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.noticed {
		r.noticed, r.left = true, r.pending()
	}
	return r.left
}

// pending returns the number of bytes that have come and are unread.
func (r *deadlineReader) pending() (n int) {
	if r.raw == nil {
		return 0
	}
	// A connection that is closed has none.
	_ = r.raw.Control(func(fd uintptr) { n = pendingBytes(fd) })
	return n
}

func pendingBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), fionread)
	if err != nil {
		return 0
	}
	return n
}

// Read reads until the deadline, and then what had come in time.
func (r *deadlineReader) Read(p []byte) (int, error) {
	n, err := r.nc.Read(p)
	if !isTimeout(err) {
		return n, err
	}
	left := r.inTime()
	switch {
	case left == 0 && r.ended():
		return 0, io.EOF
	case left == 0:
		return 0, err
	}
	n = r.readNow(p[:min(len(p), left)])
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == 0 {
		r.left = 0
		return 0, err
	}
	r.left -= n
	return n, nil
}

// readNow reads without a wait, whatever the deadline.
func (r *deadlineReader) readNow(p []byte) int {
	n, _ := r.receive(p, 0)
	return max(n, 0)
}

// ended reports whether the sender has closed its side and nothing is unread: the
// end of an answer may be that of its connection.
func (r *deadlineReader) ended() bool {
	if r.raw == nil {
		return false
	}
	n, err := r.receive(make([]byte, 1), syscall.MSG_PEEK)
	return n == 0 && err == nil
}

func (r *deadlineReader) receive(p []byte, flags int) (n int, err error) {
	closed := r.raw.Control(func(fd uintptr) {
		for {
			n, _, err = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
			if err != syscall.EINTR {
				return
			}
		}
	})
	if closed != nil {
		return 0, closed
	}
	return n, err
}

// awaitReadable waits, until the deadline, for bytes or the end of the connection,
// and reads nothing.
func (r *deadlineReader) awaitReadable() error {
	if r.raw == nil {
		return nil
	}
	err := r.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN && err != syscall.EWOULDBLOCK
	})
	if isTimeout(err) && r.inTime() > 0 {
		return nil
	}
	return err
}

// closeIfQuiet closes the write side unless bytes have come, and reports whether it
// did. Nothing of this process comes between the look and the close.
func (r *deadlineReader) closeIfQuiet() bool {
	if r.raw == nil {
		return true
	}
	quiet := true
	_ = r.raw.Control(func(fd uintptr) {
		if quiet = pendingBytes(fd) == 0; quiet {
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR) // the caller may have reset it
		}
	})
	return quiet
}

// pollHangup is POLLRDHUP of Linux, which other systems lack and ignore.
const pollHangup = 0x2000

// awaitHangup waits, until the deadline, for the caller to close its side, and
// reports whether it did. It reads nothing.
func (r *deadlineReader) awaitHangup() bool {
	if r.raw == nil {
		return false
	}
	return r.raw.Read(func(fd uintptr) bool { return polled(fd, pollHangup) }) == nil
}

// hungUp reports whether the caller has closed its side.
func (r *deadlineReader) hungUp() (closed bool) {
	if r.raw == nil {
		return false
	}
	if r.raw.Control(func(fd uintptr) { closed = polled(fd, pollHangup) }) != nil {
		return true
	}
	return closed
}

// polled reports whether one of the events has come at a descriptor.
func polled(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err != nil || n > 0
		}
	}
}
