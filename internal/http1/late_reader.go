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

// errPeerSilent reports a peer that acknowledges nothing any more.
var errPeerSilent = errors.New("the peer acknowledges nothing")

// silenceChecks is how often within ClientConfig.UnackedTimeout a connection with a
// long body is looked at.
const silenceChecks = 4

// silenceWatch takes the place of the system's unacknowledged time-out while a long
// body is sent. That time-out counts the time for which the window of a peer is full
// that is there and reads late: bodies of 1 MB and more broke off 2.5 s after they were
// sent, where their reader paused for 4 s.
type silenceWatch struct {
	nc    net.Conn
	raw   syscall.RawConn
	limit time.Duration
	end   context.CancelFunc
	ended chan struct{}
	found atomic.Bool // the peer was silent
}

// watchSilence starts a watch; nil where the system does not tell what it needs, so
// that its own time-out stays.
func watchSilence(nc net.Conn, limit time.Duration) *silenceWatch {
	sc, ok := nc.(syscall.Conn)
	if !ok || limit <= 0 {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	w := &silenceWatch{nc: nc, raw: raw, limit: limit, ended: make(chan struct{})}
	if _, known := w.look(); !known {
		return nil
	}
	w.setTimeout(0)
	ctx, end := context.WithCancel(context.Background())
	w.end = end
	go func() {
		defer close(w.ended)
		periodic.Run(ctx, max(limit/silenceChecks, time.Millisecond), w.check)
	}()
	return w
}

// check closes the connection to a silent peer, which ends the reads and writes of its
// request.
func (w *silenceWatch) check(time.Time) {
	if silent, _ := w.look(); silent {
		w.found.Store(true)
		_ = w.nc.Close()
		w.end()
	}
}

func (w *silenceWatch) look() (silent, known bool) {
	// A connection that is closed is not looked at any more.
	_ = w.raw.Control(func(fd uintptr) { silent, known = peerSilent(fd, w.limit) })
	return silent, known
}

func (w *silenceWatch) setTimeout(d time.Duration) {
	_ = w.raw.Control(func(fd uintptr) { setUnackedTimeout(fd, d) })
}

// silent reports whether the watch has closed the connection.
func (w *silenceWatch) silent() bool { return w != nil && w.found.Load() }

// stop ends the watch and gives the connection its time-out back. It may be called
// again.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.end()
	<-w.ended
	w.setTimeout(w.limit)
}
