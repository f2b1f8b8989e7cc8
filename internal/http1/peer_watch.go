package http1

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/periodic"
)

// errPeerUnresponsive reports a peer that no longer acknowledges data.
var errPeerUnresponsive = errors.New("peer no longer acknowledges data")

// peerChecksPerTimeout is how often within ClientConfig.UnackedTimeout a connection with
// a long body is checked.
const peerChecksPerTimeout = 4

// peerWatch replaces TCP_USER_TIMEOUT while a long body is sent. The kernel's timeout
// also counts the time for which the receive window of a live but slow reader is full:
// bodies of 1 MB and more were aborted 2.5 s after they were sent when the reader paused
// for 4 s.
type peerWatch struct {
	nc         net.Conn
	raw        syscall.RawConn
	limit      time.Duration
	cancel     context.CancelFunc
	done       chan struct{}
	closedConn atomic.Bool // the watch has closed the connection
}

// watchPeer starts a watch. It returns nil where the system does not report the state of
// the connection, so that TCP_USER_TIMEOUT stays in use.
func watchPeer(nc net.Conn, limit time.Duration) *peerWatch {
	sc, ok := nc.(syscall.Conn)
	if !ok || limit <= 0 {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	w := &peerWatch{nc: nc, raw: raw, limit: limit, done: make(chan struct{})}
	if _, known := w.queryPeer(); !known {
		return nil
	}
	w.setTimeout(0)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		periodic.Run(ctx, max(limit/peerChecksPerTimeout, time.Millisecond), w.check)
	}()
	return w
}

// check closes the connection to an unresponsive peer, which ends the reads and writes of
// its request.
func (w *peerWatch) check(time.Time) {
	if unresponsive, _ := w.queryPeer(); unresponsive {
		w.closedConn.Store(true)
		_ = w.nc.Close()
		w.cancel()
	}
}

func (w *peerWatch) queryPeer() (unresponsive, known bool) {
	// A closed connection is not checked any more.
	_ = w.raw.Control(func(fd uintptr) { unresponsive, known = peerUnresponsive(fd, w.limit) })
	return unresponsive, known
}

func (w *peerWatch) setTimeout(d time.Duration) {
	_ = w.raw.Control(func(fd uintptr) { setUnackedTimeout(fd, d) })
}

// unresponsive reports whether the watch has closed the connection.
func (w *peerWatch) unresponsive() bool { return w != nil && w.closedConn.Load() }

// stop ends the watch and restores the connection's TCP_USER_TIMEOUT. It is idempotent.
func (w *peerWatch) stop() {
	if w == nil {
		return
	}
	w.cancel()
	<-w.done
	w.setTimeout(w.limit)
}
