package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go/http3"

	"github.com/walldrift/walldrift/internal/membership"
)

// RequestDialer opens request connections to other nodes.
type RequestDialer interface {
	DialRequests(ctx context.Context, name string, addr netip.AddrPort) (*http3.ClientConn, error)
}

// PoolConfig bounds a Pool.
type PoolConfig struct {
	// MaxConns is the most connections kept; the one idle longest is closed
	// for a new one. Unit: connections; about 70 KB each. Default 128.
	MaxConns int
	// IdleTimeout is how long an unused connection is kept. Longer saves
	// handshakes, shorter saves memory and keep-alives. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds one handshake. Default 1 s.
	DialTimeout time.Duration
	// DialFailureTTL is how long a failed handshake answers for the instance, so
	// that requests to a dead node are refused at once in place of one after
	// another waiting for it. Default 500 ms.
	DialFailureTTL time.Duration
}

// DefaultPoolConfig returns the defaults given at the fields.
func DefaultPoolConfig() PoolConfig {
	return PoolConfig{MaxConns: 128, IdleTimeout: 30 * time.Second, DialTimeout: time.Second, DialFailureTTL: 500 * time.Millisecond}
}

// Pool keeps the request connections of a node, opened on demand. It
// implements Dispatcher.
type Pool struct {
	cfg    PoolConfig
	dialer RequestDialer
	self   string
	local  http.RoundTripper

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection or one being opened.
type pooledConn struct {
	addr  netip.AddrPort
	ready chan struct{} // closed when conn or err is set
	conn  *http3.ClientConn
	err   error
	used  time.Time
	busy  int
	// failed is when the handshake failed, set before ready is closed.
	failed time.Time
}

// NewPool returns an empty pool of the instance self.
func NewPool(cfg PoolConfig, dialer RequestDialer, self string) *Pool {
	return &Pool{cfg: cfg, dialer: dialer, self: self, conns: make(map[string]*pooledConn)}
}

// SetLocal sets the backend of this node, which gets the requests for self.
// Call it before the first request.
func (p *Pool) SetLocal(local http.RoundTripper) { p.local = local }

// TransportTo is described at Dispatcher.
func (p *Pool) TransportTo(ctx context.Context, in membership.Instance) (http.RoundTripper, error) {
	if in.Name == p.self {
		return p.local, nil
	}
	c := p.acquire(in)
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.err != nil {
		return nil, c.err
	}
	return &pooledTripper{pool: p, c: c}, nil
}

// acquire returns the connection to an instance and begins to open one if
// there is none that works.
func (p *Pool) acquire(in membership.Instance) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c, ok := p.conns[in.Name]; ok && c.addr == in.Peer && (!c.broken() || c.failedLately(now, p.cfg.DialFailureTTL)) {
		c.used = now
		return c
	}
	p.makeRoom()
	c := &pooledConn{addr: in.Peer, ready: make(chan struct{}), used: now}
	p.conns[in.Name] = c
	go p.open(in, c)
	return c
}

func (p *Pool) open(in membership.Instance, c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer cancel()
	c.conn, c.err = p.dialer.DialRequests(ctx, in.Name, in.Peer)
	c.failed = time.Now()
	close(c.ready)
}

// failedLately reports whether the handshake failed within memory.
func (c *pooledConn) failedLately(now time.Time, memory time.Duration) bool {
	select {
	case <-c.ready:
		return c.err != nil && now.Sub(c.failed) < memory
	default:
		return false
	}
}

// makeRoom closes the connection idle longest if the pool is full. The lock is
// held.
func (p *Pool) makeRoom() {
	if len(p.conns) < p.cfg.MaxConns {
		return
	}
	oldest := ""
	for name, c := range p.conns {
		if c.busy == 0 && (oldest == "" || c.used.Before(p.conns[oldest].used)) {
			oldest = name
		}
	}
	if oldest != "" {
		p.drop(oldest)
	}
}

// drop closes and forgets a connection. The lock is held.
func (p *Pool) drop(name string) {
	c := p.conns[name]
	delete(p.conns, name)
	go c.close()
}

func (c *pooledConn) close() {
	<-c.ready
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "idle")
	}
}

// broken reports whether the connection has ended.
func (c *pooledConn) broken() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

// Sweep closes connections that were unused for IdleTimeout. Call it now and
// then.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, c := range p.conns {
		if c.broken() && !c.failedLately(now, p.cfg.DialFailureTTL) {
			delete(p.conns, name)
			continue
		}
		if c.busy == 0 && now.Sub(c.used) > p.cfg.IdleTimeout {
			p.drop(name)
		}
	}
}

// Len returns the number of connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.conns {
		p.drop(name)
	}
}

func (p *Pool) addBusy(c *pooledConn, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy += n
	c.used = time.Now()
}

// pooledTripper sends one request over a pooled connection.
type pooledTripper struct {
	pool *Pool
	c    *pooledConn
}

// RoundTrip sends the request once; nothing replays it.
func (t *pooledTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.c.broken() {
		return nil, errors.Wrap(ErrNotSent, "connection has ended")
	}
	t.pool.addBusy(t.c, 1)
	resp, err := t.c.conn.RoundTrip(req)
	if err != nil {
		t.pool.addBusy(t.c, -1)
		return nil, err
	}
	resp.Body = &endingBody{ReadCloser: resp.Body, want: -1, end: func(bool) { t.pool.addBusy(t.c, -1) }}
	return resp, nil
}
