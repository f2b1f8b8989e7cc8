package http1

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bound what a caller may send and how long it may take. They are read
// anew for each request, so a change is in force at once.
type Limits struct {
	// HeaderBytes is the largest head of a request.
	HeaderBytes int
	// HeaderTimeout is the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Config holds the settings of a Server.
type Config struct {
	Handler http.Handler
	// Limits returns the limits in force; nil means DefaultLimits.
	Limits func() Limits
	// MaxPipelined is the number of requests of one connection in progress at
	// once. More hides the wait behind a slow answer, fewer bounds what one
	// caller can take. Default 8.
	MaxPipelined int
	// MaxIdle is the number of connections without a request that are kept; the
	// one idle longest is closed for a further one. More spares callers new
	// connections, fewer takes less memory and descriptors. 0 means no bound.
	MaxIdle int
	// WriteBuffer is the size of the send buffer of a connection, in bytes. A
	// smaller one makes a write last until its bytes are nearly out, so that who
	// writes knows how full the link is. 0 leaves the system's own.
	WriteBuffer int
	// OnConnEnd is called for each connection that has ended; nil for none.
	OnConnEnd func(ConnEnd)
}

// DefaultLimits returns limits for connections between nodes.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

const defaultPipelined = 8

// lingerTime is how long a closing connection goes on reading, so that the
// last answer is not lost to a reset (RFC 9112 section 9.6).
const lingerTime = time.Second

// Server serves HTTP/1.1 on any number of listeners.
type Server struct {
	cfg       Config
	announced atomic.Bool
	draining  atomic.Bool
	stopping  atomic.Pointer[time.Time] // until when waiting connections are accepted
	closed    atomic.Bool
	idle      idleList

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners []net.Listener
}

// NewServer returns a server; Serve starts it.
func NewServer(cfg Config) *Server {
	if cfg.Limits == nil {
		cfg.Limits = DefaultLimits
	}
	if cfg.MaxPipelined == 0 {
		cfg.MaxPipelined = defaultPipelined
	}
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), idle: idleList{most: cfg.MaxIdle}}
}

// acceptPause is the wait after a failed accept, such as one for want of
// descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the server is closed or the listener fails.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		if until := s.stopping.Load(); until != nil {
			return s.acceptBacklog(l, *until)
		}
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err): // StopAccepting ended the wait
		default:
			time.Sleep(acceptPause)
		}
	}
}

// start serves a connection that was accepted.
func (s *Server) start(nc net.Conn) {
	s.limitWrites(nc)
	c := newConn(s, nc)
	if s.add(c) {
		go c.serve()
	}
}

// limitWrites sets the send buffer of a connection. Without the limit the
// connection works as well, so a failure changes nothing for its requests.
func (s *Server) limitWrites(nc net.Conn) {
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

// AnnounceClose tells the caller of each connection with its next answer that this is
// the last one on it. Nothing is closed that was not told, and new connections are
// served.
func (s *Server) AnnounceClose() { s.announced.Store(true) }

// Drain announces the end and closes idle connections, but for those on which a
// request has come meanwhile or none has come at all yet. New connections are
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

// StopAccepting accepts the connections that are waiting, and closes the listeners.
// Closed before that, they would be reset with the requests that came on them.
func (s *Server) StopAccepting() {
	until := time.Now().Add(backlogLimit)
	s.stopping.Store(&until)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if d, ok := l.(deadliner); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
			_ = l.Close()
		}
	}
}

// Close closes listeners and connections at once.
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
