package http1

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// backlogWait is the time without a further connection after which a server
	// that stops to accept takes its backlog for empty: the system hands out
	// waiting connections at once.
	backlogWait = 10 * time.Millisecond
	// backlogLimit bounds how long it waits while connections keep coming.
	backlogLimit = 50 * time.Millisecond
	// backlogMost bounds how many it accepts: as many as Linux lets wait unless told
	// otherwise (net.core.somaxconn).
	backlogMost = 4096
)

// deadliner is a listener whose Accept can be bounded.
type deadliner interface{ SetDeadline(time.Time) error }

// acceptBacklog accepts the connections that wait until there are none, and closes
// the listener. Those that had come are also accepted if the process stood still for
// longer than it would wait for a further one.
func (s *Server) acceptBacklog(l net.Listener, until time.Time) error {
	d, ok := l.(deadliner)
	for range backlogMost {
		if !ok || time.Now().After(until) && !connsWait(l) {
			break
		}
		if err := d.SetDeadline(time.Now().Add(backlogWait)); err != nil {
			break // it is closed
		}
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.start(nc)
			continue
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err) && connsWait(l):
			continue
		case isTimeout(err) || time.Now().After(until):
			return l.Close()
		}
		time.Sleep(acceptPause)
	}
	return l.Close()
}

// connsWait reports whether connections wait to be accepted.
func connsWait(l net.Listener) (wait bool) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { wait = polled(fd, unix.POLLIN) }) // none at one that is closed
	return wait
}
