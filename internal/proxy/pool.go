package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go/http3"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/membership"
)

// RequestDialer opens request connections to other nodes.
type RequestDialer interface {
	DialRequests(ctx context.Context, name string, addr netip.AddrPort) (*http3.ClientConn, error)
}

// PoolConfig bounds a Pool.
type PoolConfig struct {
	// MaxConns is the maximum number of connections, of about 70 KB each; the one that
	// has been idle longest is closed to make room for a new one. Default 128.
	MaxConns int
	// IdleTimeout is how long an unused connection is kept. Longer saves handshakes,
	// shorter saves memory and keep-alives. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds one handshake. Default 1 s.
	DialTimeout time.Duration
	// DialFailureTTL is how long the result of a failed handshake is reused for the
	// instance, so that requests to a dead node are refused at once instead of each
	// waiting for a handshake. Default 500 ms.
	DialFailureTTL time.Duration
}

// DefaultPoolConfig returns the defaults given at the fields.
func DefaultPoolConfig() PoolConfig {
	return PoolConfig{MaxConns: 128, IdleTimeout: 30 * time.Second, DialTimeout: time.Second, DialFailureTTL: 500 * time.Millisecond}
}

// Pool holds a node's request connections, which are opened on demand. It implements
// Dispatcher.
type Pool struct {
	cfg    PoolConfig
	dialer RequestDialer
	self   string
	local  http.RoundTripper

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection that is open or being opened.
type pooledConn struct {
	addr     netip.AddrPort
	ready    chan struct{} // closed when conn or err is set
	conn     *http3.ClientConn
	err      error
	lastUsed time.Time
	inUse    int
	// failedAt is when the handshake ended; it has a meaning only if err is set. It is
	// set before ready is closed.
	failedAt time.Time
}

// NewPool returns an empty pool for the instance self.
func NewPool(cfg PoolConfig, dialer RequestDialer, self string) *Pool {
	return &Pool{cfg: cfg, dialer: dialer, self: self, conns: make(map[string]*pooledConn)}
}

// SetLocal sets this node's backend, which gets the requests for self. It must be
// called before the first request.
func (p *Pool) SetLocal(local http.RoundTripper) { p.local = local }

// TransportTo implements Dispatcher.
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
	return &pooledTransport{pool: p, c: c}, nil
}

// acquire returns the connection to an instance, and starts to open one if there is no
// working one.
func (p *Pool) acquire(in membership.Instance) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c, ok := p.conns[in.Name]; ok && c.addr == in.Peer && (!c.broken() || c.failedRecently(now, p.cfg.DialFailureTTL)) {
		c.lastUsed = now
		return c
	}
	p.evictIdle()
	c := &pooledConn{addr: in.Peer, ready: make(chan struct{}), lastUsed: now}
	p.conns[in.Name] = c
	go p.open(in, c)
	return c
}

func (p *Pool) open(in membership.Instance, c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer cancel()
	c.conn, c.err = p.dialer.DialRequests(ctx, in.Name, in.Peer)
	c.failedAt = time.Now()
	close(c.ready)
}

// failedRecently reports whether the handshake failed within the last ttl.
func (c *pooledConn) failedRecently(now time.Time, ttl time.Duration) bool {
	select {
	case <-c.ready:
		return c.err != nil && now.Sub(c.failedAt) < ttl
	default:
		return false
	}
}

// evictIdle closes the connection that has been idle longest if the pool is full. The
// lock must be held.
func (p *Pool) evictIdle() {
	if len(p.conns) < p.cfg.MaxConns {
		return
	}
	oldest := ""
	for name, c := range p.conns {
		if c.inUse == 0 && (oldest == "" || c.lastUsed.Before(p.conns[oldest].lastUsed)) {
			oldest = name
		}
	}
	if oldest != "" {
		p.remove(oldest)
	}
}

// remove closes a connection and removes it from the pool. The lock must be held.
func (p *Pool) remove(name string) {
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

// broken reports whether opening the connection failed or the connection has ended.
func (c *pooledConn) broken() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

// Sweep closes connections that have been unused for IdleTimeout. It must be called
// periodically.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, c := range p.conns {
		if c.broken() && !c.failedRecently(now, p.cfg.DialFailureTTL) {
			delete(p.conns, name)
			continue
		}
		if c.inUse == 0 && now.Sub(c.lastUsed) > p.cfg.IdleTimeout {
			p.remove(name)
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
		p.remove(name)
	}
}

func (p *Pool) addInUse(c *pooledConn, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inUse += n
	c.lastUsed = time.Now()
}

// pooledTransport sends one request over a pooled connection.
type pooledTransport struct {
	pool *Pool
	c    *pooledConn
}

// RoundTrip sends the request once; nothing replays it.
func (t *pooledTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.c.broken() {
		return nil, errors.Wrap(ErrNotSent, "connection has ended")
	}
	t.pool.addInUse(t.c, 1)
	resp, err := t.c.conn.RoundTrip(req)
	if err != nil {
		t.pool.addInUse(t.c, -1)
		return nil, err
	}
	if !http1.IsFinalStatus(resp.StatusCode) { // HTTP/3 checks the rest of a head
		_ = resp.Body.Close()
		t.pool.addInUse(t.c, -1)
		return nil, errors.Wrapf(http1.ErrMalformedResponse, "status %d", resp.StatusCode)
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, expected: -1, onEnd: func(bool) { t.pool.addInUse(t.c, -1) }}
	return resp, nil
}
