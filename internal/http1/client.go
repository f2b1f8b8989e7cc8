package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// DialTimeout bounds a new connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; the server's own
	// word in Keep-Alive can only shorten it. Default 20 s, under the minute
	// that DefaultLimits gives.
	IdleTimeout time.Duration
	// MaxIdle is the number of unused connections kept to one address.
	// Default 32.
	MaxIdle int
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up (TCP_USER_TIMEOUT), so that a peer without power
	// is noticed; 0 leaves that to the system. Default 2 s.
	UnackedTimeout time.Duration
	// ExpectContinueAbove waits for 100 Continue before bodies longer than this are sent;
	// negative never does.
	ExpectContinueAbove int64
	// MatchesRequest reports whether a response answers the request. Others are
	// skipped: an upstream may send a second answer late. Nil accepts all.
	MatchesRequest func(req *http.Request, resp *http.Response) bool
}

// DefaultClientConfig returns the defaults given at the fields.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		DialTimeout:         time.Second,
		IdleTimeout:         20 * time.Second,
		MaxIdle:             32,
		UnackedTimeout:      2 * time.Second,
		ExpectContinueAbove: -1,
	}
}

// ErrNotSent marks errors of a round trip that sent nothing of its request.
var ErrNotSent = errors.New("nothing was sent")

// ErrForeignResponse reports that only answers to other requests came.
var ErrForeignResponse = errors.New("answers belong to other requests")

// Client is an http.RoundTripper that sends each request exactly once. The
// address is that of req.URL.Host; the request target is req.RequestURI, or
// that of req.URL if it is empty.
type Client struct {
	cfg    ClientConfig
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*clientConn
	epoch  int // counts the calls of Reset
	dialed int64
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, idle: make(map[string][]*clientConn)}
	c.dialer = net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) { setUnackedTimeout(fd, cfg.UnackedTimeout) })
		},
	}
	return c
}

// clientConn is one connection to a server.
type clientConn struct {
	nc      net.Conn
	br      *bufio.Reader
	addr    string
	epoch   int
	used    time.Time
	expires time.Time // by the server's word; zero means never
}

// RoundTrip sends the request and returns its answer. When the request's context
// ends, it does not wait any more, and takes what is here by then. An error that is
// not ErrNotSent leaves open whether the request runs.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	cc, err := c.acquire(req.Context(), req.URL.Host)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: cc.nc})
	}
	t := &trip{client: c, cc: cc, req: req}
	resp, err := t.run()
	if err != nil {
		t.drop()
		return nil, err
	}
	return resp, nil
}

// acquire returns an idle connection that is still good, or a new one. For a request
// that has ended it takes none.
func (c *Client) acquire(ctx context.Context, addr string) (*clientConn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		cc := c.take(addr)
		if cc == nil {
			break
		}
		if cc.usable(time.Now(), c.cfg.IdleTimeout) {
			return cc, nil
		}
		_ = cc.nc.Close()
	}
	nc, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(newDeadlineReader(nc), readBuffer)
	return &clientConn{nc: nc, br: br, addr: addr, epoch: c.countDial()}, nil
}

// lateDial is how long after its time a dial must end for the process to have stood
// still meanwhile: several times what a timer is late on a busy machine.
const lateDial = 50 * time.Millisecond

// dial connects to a server. A dial whose time passed while the process stood still
// says nothing of the server, so it is made once more.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	began := time.Now()
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err == nil || ctx.Err() != nil || time.Since(began) < c.cfg.DialTimeout+lateDial {
		return nc, err
	}
	return c.dialer.DialContext(ctx, "tcp", addr)
}

// countDial counts a connection made and returns the epoch that it belongs to.
func (c *Client) countDial() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialed++
	return c.epoch
}

func (c *Client) take(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cc := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cc
}

// put keeps a connection for a further request.
func (c *Client) put(cc *clientConn) {
	cc.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.epoch != c.epoch || len(c.idle[cc.addr]) >= c.cfg.MaxIdle {
		_ = cc.nc.Close()
		return
	}
	c.idle[cc.addr] = append(c.idle[cc.addr], cc)
}

// CloseExpired closes connections unused for IdleTimeout. Call it now and then.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cc := range list {
			if cc.fresh(now, c.cfg.IdleTimeout) {
				kept = append(kept, cc)
				continue
			}
			_ = cc.nc.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.CloseExpired(time.Now().Add(c.cfg.IdleTimeout + time.Hour)) }

// Reset gives up all connections: idle ones at once, the others after the request
// that they carry. Where a server has started again, a connection to its earlier
// life may be silent and not closed.
func (c *Client) Reset() {
	c.mu.Lock()
	c.epoch++
	c.mu.Unlock()
	c.Close()
}

// DialCount returns the number of connections made.
func (c *Client) DialCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

func (cc *clientConn) fresh(now time.Time, idle time.Duration) bool {
	return now.Sub(cc.used) < idle && (cc.expires.IsZero() || now.Before(cc.expires))
}

// usable reports whether the server has neither closed the connection nor sent
// bytes that no request asked for.
func (cc *clientConn) usable(now time.Time, idle time.Duration) bool {
	return cc.fresh(now, idle) && cc.br.Buffered() == 0 && quiet(cc.nc)
}

// keepAliveShare is the part of the server's idle time in which a connection is
// still used, so that a request does not meet its end.
const keepAliveShare = 0.6

// noteKeepAlive takes over the server's idle time: "timeout=5".
func (cc *clientConn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			cc.expires = time.Now().Add(time.Duration(float64(s) * keepAliveShare * float64(time.Second)))
		}
	}
}
