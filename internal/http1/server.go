package http1

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bounds the size and the duration of a caller's requests. It is read again for
// each request, so that a change applies at once.
type Limits struct {
	// HeaderBytes is the maximum size of a request head, in bytes.
	HeaderBytes int
	// HeaderTimeout is the maximum time from the first to the last byte of a request
	// head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Config holds the settings of a Server.
type Config struct {
	Handler http.Handler
	// Limits returns the current limits; nil means DefaultLimits.
	Limits func() Limits
	// MaxPipelined is the number of requests of one connection that run concurrently. A
	// higher value hides the latency of a slow response, a lower one bounds the resources
	// that one caller uses. Default 8.
	MaxPipelined int
	// MaxIdle is the number of idle connections that are kept; beyond it, the connection
	// idle longest is closed. A higher value spares callers new connections, a lower one
	// uses less memory and fewer descriptors. 0 means no bound.
	MaxIdle int
	// MaxConns is the number of connections from which on a new one ends the one whose
	// caller has been silent for longest while the server waits for it. If there is none,
	// some more are accepted and further ones closed. More serves larger crowds, fewer bounds
	// memory and descriptors: a connection takes some 30 KB, and up to 16 KB that the kernel
	// holds unread. 0 means no bound.
	MaxConns int
	// WriteBuffer is the size of a connection's send buffer, in bytes. With a small
	// buffer a write returns only when its bytes are nearly all sent, so that the writer
	// can measure how congested the link is. 0 keeps the system's default.
	WriteBuffer int
	// OnConnEnd is called for each connection that has ended; nil means no callback.
	OnConnEnd func(ConnEnd)
}

// DefaultLimits returns the limits for connections between nodes.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

const defaultPipelined = 8

// lingerTimeout is how long a closing connection is still read, so that the last response
// is not lost to a TCP reset (RFC 9112 section 9.6).
const lingerTimeout = time.Second

// Server serves HTTP/1.1 on any number of listeners.
type Server struct {
	cfg         Config
	announcing  atomic.Bool
	draining    atomic.Bool
	acceptUntil atomic.Pointer[time.Time] // until when the backlog is accepted; nil before StopAccepting
	closed      atomic.Bool
	crowded     atomic.Bool  // all connections have a small receive buffer
	refused     atomic.Int64 // connections closed for lack of room
	idle        idleList

	mu        sync.Mutex // guards the fields below
	conns     map[*conn]struct{}
	listeners []net.Listener
	nextScan  time.Time // before which endStalled does not search again
}

// NewServer returns a server without listeners; Serve adds one.
func NewServer(cfg Config) *Server {
	if cfg.Limits == nil {
		cfg.Limits = DefaultLimits
	}
	if cfg.MaxPipelined == 0 {
		cfg.MaxPipelined = defaultPipelined
	}
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), idle: idleList{maxConns: cfg.MaxIdle}}
}

// acceptRetryDelay is the delay after a failed accept, for example for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the server is closed or the listener fails.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		if until := s.acceptUntil.Load(); until != nil {
			return s.acceptBacklog(l, *until)
		}
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(nc)
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // StopAccepting set a deadline in the past
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// serveConn starts to serve an accepted connection.
func (s *Server) serveConn(nc net.Conn) {
	if !s.admitConn() {
		_ = nc.Close()
		return
	}
	s.setWriteBuffer(nc)
	c := newConn(s, nc)
	s.setInitialBuffer(c)
	if s.add(c) {
		go c.serve()
	}
}

// setWriteBuffer sets the send buffer of a connection. Errors are ignored: the connection
// also works with the default size.
func (s *Server) setWriteBuffer(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok && s.cfg.WriteBuffer > 0 {
		_ = tcp.SetWriteBuffer(s.cfg.WriteBuffer)
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		_ = c.nc.Close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Refused returns the number of connections that were closed for lack of room.
func (s *Server) Refused() int64 { return s.refused.Load() }

// AnnounceClose sends Connection: close with the next response on each connection, which
// is closed after that response. Idle connections stay open, and new ones are still
// served.
func (s *Server) AnnounceClose() { s.announcing.Store(true) }

// Drain announces the close and closes idle connections, except those on which a request
// has just arrived or that have not received their first request yet. New connections are
// still served.
func (s *Server) Drain() {
	s.AnnounceClose()
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// StopAccepting accepts the connections in the listen backlog and then closes the
// listeners. Closing the listeners first would reset those connections and the requests
// already sent on them.
func (s *Server) StopAccepting() {
	until := time.Now().Add(maxBacklogWait)
	s.acceptUntil.Store(&until)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if d, ok := l.(deadlineSetter); !ok || d.SetDeadline(longPast) != nil {
			_ = l.Close()
		}
	}
}

// Close closes all listeners and connections at once, without waiting for requests.
func (s *Server) Close() {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
