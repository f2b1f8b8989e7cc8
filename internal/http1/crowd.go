package http1

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// crowdedShare is the share of Config.MaxConns from which on connections have a small
	// receive buffer: 1/crowdedShare of them.
	crowdedShare = 8
	// usualReadBuffer is the receive buffer of a connection, in bytes. Without one the kernel
	// lets it grow to megabytes while a body arrives quickly, and fills it when that is no
	// longer read.
	usualReadBuffer = 64 << 10
	// crowdedReadBuffer is the small receive buffer, in bytes.
	crowdedReadBuffer = 16 << 10
	// maxSegment is the longest segment of a connection, in bytes. Segments of loopback have
	// 64 KB otherwise, and a sender waits 0.2 s for a window that they fit into.
	maxSegment = 4 << 10
	// surplusShare is the share of Config.MaxConns by which the connections may exceed it,
	// 1/surplusShare, while those that were chosen to end are ending.
	surplusShare = 8
	// evictedLinger replaces lingerTimeout for such connections, so that they make room.
	evictedLinger = 100 * time.Millisecond
	// scanInterval is the least time between two searches for connections to end, and
	// 1/scanShare of Config.MaxConns the number that one of them ends.
	scanInterval = 10 * time.Millisecond
	scanShare    = 64
	// minStall is how long a caller must have sent nothing before its connection is ended in
	// favour of a new one.
	minStall = 100 * time.Millisecond
)

// admitConn makes room for a new connection. It returns false if there is none: then the
// connection is refused.
func (s *Server) admitConn() bool {
	if s.cfg.MaxConns == 0 {
		return true
	}
	open := s.Conns()
	if open >= s.cfg.MaxConns {
		s.endStalled()
	}
	if open >= s.cfg.MaxConns+s.cfg.MaxConns/surplusShare {
		s.refused.Add(1)
		return false
	}
	if crowded := open >= s.cfg.MaxConns/crowdedShare; s.crowded.Swap(crowded) != crowded && crowded {
		s.shrinkBuffers()
	}
	return true
}

// setInitialBuffer sets the receive buffer of a new connection: a small one in a crowd.
func (s *Server) setInitialBuffer(c *conn) {
	switch {
	case s.cfg.MaxConns == 0:
	case s.crowded.Load():
		c.shrinkBuffer()
	default:
		setReadBuffer(c.nc, usualReadBuffer)
	}
}

// shrinkBuffers gives all connections a small receive buffer.
func (s *Server) shrinkBuffers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.shrinkBuffer()
	}
}

func (c *conn) shrinkBuffer() {
	c.smallBuffer.Store(true)
	setReadBuffer(c.nc, crowdedReadBuffer)
}

// restoreBuffer gives a connection that was accepted in a crowd its usual receive buffer
// once the crowd has left.
func (c *conn) restoreBuffer() {
	if !c.smallBuffer.Load() || c.server.Conns() >= c.server.cfg.MaxConns/crowdedShare {
		return
	}
	c.smallBuffer.Store(false)
	setReadBuffer(c.nc, usualReadBuffer)
}

// setReadBuffer sets the receive buffer of a connection and the window that goes with it:
// the window of an accepted connection does not exceed the buffer of its listener
// otherwise. Errors are ignored: the connection also works with other sizes.
func setReadBuffer(nc net.Conn, size int) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(size)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpWindowClamp, size)
	})
}

// tcpWindowClamp is TCP_WINDOW_CLAMP of Linux, which package syscall lacks.
const tcpWindowClamp = 10

// Listen opens a listener whose connections have a small receive buffer until they are
// accepted, as the kernel holds what they send meanwhile.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			// Without them the kernel holds more, or connections with small buffers are slow.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdedReadBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegment)
		})
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// endStalled ends the connections whose callers have sent nothing for longest, if the
// server waits for them. It looks for them at most once in an interval: new connections
// must not wait in the backlog, where the kernel holds their bytes.
func (s *Server) endStalled() {
	now := time.Now()
	waits := make(map[*conn]time.Duration)
	s.mu.Lock()
	if now.Before(s.nextScan) {
		s.mu.Unlock()
		return
	}
	s.nextScan = now.Add(scanInterval)
	for c := range s.conns {
		if d := c.stalledFor(); d >= minStall {
			waits[c] = d
		}
	}
	s.mu.Unlock()
	longest := slices.SortedFunc(maps.Keys(waits), func(a, b *conn) int { return cmp.Compare(waits[b], waits[a]) })
	for _, c := range longest[:min(len(longest), max(1, s.cfg.MaxConns/scanShare))] {
		c.endStalled()
	}
}

// stalledFor returns how long the server has waited for a byte of the caller; 0 if it does
// not wait, or owes the caller a response.
func (c *conn) stalledFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalledForLocked()
}

// stalledForLocked is stalledFor for a caller that holds the lock.
func (c *conn) stalledForLocked() time.Duration {
	if c.closing || c.aborted || c.evicted || c.lastExchange != nil && !c.lastExchange.awaitsBody() {
		return 0
	}
	return c.rd.waitedFor()
}

// awaitsBody reports whether the request's body is arriving and it is the next request to
// be answered.
func (ex *exchange) awaitsBody() bool {
	if ex.body.complete() {
		return false
	}
	select {
	case <-ex.previous:
		return true
	default:
		return ex.previous == nil
	}
}

// endStalled ends the connection unless its caller has sent something meanwhile: one that
// is idle as any idle one, another one with status 408.
func (c *conn) endStalled() {
	c.mu.Lock()
	if c.stalledForLocked() < minStall {
		c.mu.Unlock()
		return
	}
	c.evicted = true
	idle := c.awaitingRequest && c.lastExchange == nil
	if !idle {
		c.recordEndLocked(EndCrowded)
	}
	c.mu.Unlock()
	if idle {
		c.closeIdle()
		return
	}
	c.rd.interrupt()
}
