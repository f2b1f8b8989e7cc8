package http1

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deadlineReader reads a connection until a deadline. When it notices the deadline, it
// still reads the bytes that have arrived by then, but none that arrive later. A process
// may be paused across a deadline, and the runtime's poller then reports the deadline
// although bytes are there: without this reader, 78 of 100 requests sent to a server with
// an idle timeout of 1 s during a pause of 0.7 s (SIGSTOP) found a closed connection.
//
// The bytes are counted when the deadline is noticed, so that a slow sender gains no time
// beyond its deadline and a further pause loses no bytes.
type deadlineReader struct {
	nc  net.Conn
	raw syscall.RawConn // nil if the connection has no file descriptor
	// waitingSince is when the read in progress began, in nanoseconds since processStart; 0
	// if there is none, or if tracksWaits is not set.
	waitingSince atomic.Int64
	tracksWaits  bool
	// recvErr is the error that recv took from the socket, which tells it once. Only the
	// goroutine that reads uses it.
	recvErr error

	mu        sync.Mutex
	deadline  time.Time // zero for none or an interrupt
	expired   bool      // the deadline has passed and remaining is set
	remaining int       // unread bytes of those that had arrived when the deadline was noticed
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

// setDeadline sets the deadline; the zero time means none. An error on a closed
// connection is ignored, as the next read reports it.
func (r *deadlineReader) setDeadline(at time.Time) { r.updateDeadline(at, at) }

// interrupt ends a wait at once, as if a deadline had just passed.
func (r *deadlineReader) interrupt() { r.updateDeadline(time.Time{}, longPast) }

func (r *deadlineReader) updateDeadline(at, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline, r.expired = at, false
	_ = r.nc.SetReadDeadline(until)
}

// overdue returns how long ago the deadline was; 0 without one.
func (r *deadlineReader) overdue(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadline.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.deadline))
}

// remainingAtDeadline is called when the deadline has passed. Its first call counts
// the bytes that have arrived by then; it returns how many of them are still unread.
func (r *deadlineReader) remainingAtDeadline() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.expired {
		r.expired, r.remaining = true, r.pending()
	}
	return r.remaining
}

// pending returns the number of unread bytes in the socket.
func (r *deadlineReader) pending() (n int) {
	if r.raw == nil {
		return 0
	}
	// A closed connection has none.
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

// Read reads until the deadline, and then the bytes that had arrived when the deadline was
// noticed.
func (r *deadlineReader) Read(p []byte) (int, error) {
	r.beginWait()
	n, err := r.nc.Read(p)
	r.endWait()
	if !isTimeout(err) {
		return n, err
	}
	remaining := r.remainingAtDeadline()
	switch {
	case remaining == 0 && r.atEOF():
		return 0, r.endOfInput()
	case remaining == 0:
		return 0, err
	}
	n = r.readWithoutWait(p[:min(len(p), remaining)])
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == 0 {
		r.remaining = 0
		return 0, err
	}
	r.remaining -= n
	return n, nil
}

// processStart is the origin of deadlineReader.waitingSince.
var processStart = time.Now()

func (r *deadlineReader) beginWait() {
	if r.tracksWaits {
		r.waitingSince.Store(int64(time.Since(processStart)) + 1)
	}
}

func (r *deadlineReader) endWait() {
	if r.tracksWaits {
		r.waitingSince.Store(0)
	}
}

// waitedFor returns how long the read in progress has waited; 0 if there is none.
func (r *deadlineReader) waitedFor() time.Duration {
	since := r.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(processStart) - time.Duration(since)
}

// readWithoutWait reads without blocking, whatever the deadline.
func (r *deadlineReader) readWithoutWait(p []byte) int {
	n, _ := r.recv(p, 0)
	return max(n, 0)
}

// atEOF reports whether the sender has closed its side and nothing is unread. The end of
// the connection may mark the end of a response.
func (r *deadlineReader) atEOF() bool {
	if r.raw == nil {
		return false
	}
	n, err := r.recv(make([]byte, 1), syscall.MSG_PEEK)
	return n == 0 && err == nil
}

// endOfInput returns io.EOF, or the error that shows that the end was not a clean one.
func (r *deadlineReader) endOfInput() error {
	if c, ok := r.nc.(*cleanEndConn); ok {
		return c.endOfInput()
	}
	return io.EOF
}

// recv reads without blocking. After an error other than the lack of bytes it fails for good.
func (r *deadlineReader) recv(p []byte, flags int) (n int, err error) {
	if r.recvErr != nil {
		return 0, r.recvErr
	}
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
	if err != nil && err != syscall.EAGAIN && err != syscall.EWOULDBLOCK {
		r.recvErr = err
	}
	return n, err
}

// awaitReadable waits, until the deadline, for bytes or the end of the connection, and
// consumes nothing.
func (r *deadlineReader) awaitReadable() error {
	if r.raw == nil {
		return nil
	}
	r.beginWait()
	defer r.endWait()
	err := r.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN && err != syscall.EWOULDBLOCK
	})
	if isTimeout(err) && r.remainingAtDeadline() > 0 {
		return nil
	}
	return err
}

// closeWriteIfNoData closes the write side unless bytes have arrived, and reports whether
// it did. The check and the shutdown are consecutive system calls, with no other work of
// this process between them.
func (r *deadlineReader) closeWriteIfNoData() bool {
	if r.raw == nil {
		return true
	}
	noData := true
	_ = r.raw.Control(func(fd uintptr) {
		if noData = pendingBytes(fd) == 0; noData {
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR) // fails if the caller has reset the connection
		}
	})
	return noData
}

// pollRDHUP is POLLRDHUP of Linux, which other systems lack and ignore.
const pollRDHUP = 0x2000

// awaitPeerClose waits, until the deadline, for the peer to close its side, and reports
// whether it did. It consumes nothing.
func (r *deadlineReader) awaitPeerClose() bool {
	if r.raw == nil {
		return false
	}
	return r.raw.Read(func(fd uintptr) bool { return hasEvent(fd, pollRDHUP) }) == nil
}

// peerClosed reports whether the peer has closed its side.
func (r *deadlineReader) peerClosed() (closed bool) {
	if r.raw == nil {
		return false
	}
	if r.raw.Control(func(fd uintptr) { closed = hasEvent(fd, pollRDHUP) }) != nil {
		return true
	}
	return closed
}

// hasEvent reports whether one of the poll events is pending on a descriptor.
func hasEvent(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err != nil || n > 0
		}
	}
}
