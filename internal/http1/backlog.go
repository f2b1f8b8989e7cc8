package http1

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// emptyBacklogWait is the time without a new connection after which the backlog
	// counts as empty: the kernel hands out queued connections at once.
	emptyBacklogWait = 10 * time.Millisecond
	// maxBacklogWait bounds the wait while connections keep arriving.
	maxBacklogWait = 50 * time.Millisecond
	// maxBacklogAccepts bounds the number of connections accepted from the backlog: the
	// Linux default of net.core.somaxconn.
	maxBacklogAccepts = 4096
)

// deadlineSetter is a listener whose Accept can be given a deadline.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// acceptBacklog accepts the connections in the listen backlog and then closes the
// listener. A connection that was queued in time is also accepted when the process was
// paused beyond the deadline.
func (s *Server) acceptBacklog(l net.Listener, until time.Time) error {
	d, ok := l.(deadlineSetter)
	for range maxBacklogAccepts {
		if !ok || time.Now().After(until) && !connsPending(l) {
			break
		}
		if err := d.SetDeadline(time.Now().Add(emptyBacklogWait)); err != nil {
			break // the listener is closed
		}
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(nc)
			continue
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err) && connsPending(l):
			continue
		case isTimeout(err) || time.Now().After(until):
			return l.Close()
		}
		time.Sleep(acceptRetryDelay)
	}
	return l.Close()
}

// connsPending reports whether connections wait in the listen backlog.
func connsPending(l net.Listener) (pending bool) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { pending = hasEvent(fd, unix.POLLIN) }) // a closed listener has none
	return pending
}
