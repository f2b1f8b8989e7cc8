package http1

import (
	"bufio"
	"context"
	"io"
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
	// DialTimeout is the maximum time to establish a connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; a Keep-Alive header of the
	// server can only shorten it. Default 20 s, less than the minute of DefaultLimits.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections kept per address. Default 32.
	MaxIdle int
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the connection
	// is closed (TCP_USER_TIMEOUT), so that a peer that lost power is detected; 0 means
	// the system's default. Default 2 s.
	UnackedTimeout time.Duration
	// ExpectContinueAbove is the body size in bytes above which the client sends Expect:
	// 100-continue and waits for the server's 100 Continue before it sends the body. A
	// body of unknown size counts as larger. A negative value disables this.
	ExpectContinueAbove int64
	// HeadBytes is the longest head of a response that is read, in bytes. A longer one ends
	// the round trip with ErrUnboundedResponse. More costs that memory for each request to
	// a faulty server. Default 64 KB.
	HeadBytes int
	// MatchesRequest reports whether a response belongs to the request. Other responses
	// are skipped, as an upstream may send a second response late. Nil accepts all.
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
		HeadBytes:           DefaultLimits().HeaderBytes,
	}
}

// ErrNotSent marks the errors of round trips that sent no byte of their request.
var ErrNotSent = errors.New("nothing was sent")

// ErrForeignResponse is returned when all responses received belong to other requests.
var ErrForeignResponse = errors.New("only responses to other requests arrived")

// ErrUnboundedResponse is returned when a server sends more than the client reads: a head
// longer than ClientConfig.HeadBytes, too many informational responses, or too long
// responses to other requests.
var ErrUnboundedResponse = errors.New("response exceeds the bounds of the client")

// Client is an http.RoundTripper that sends each request exactly once. It connects to
// req.URL.Host; the request target is req.RequestURI, or that of req.URL if it is empty.
type Client struct {
	cfg    ClientConfig
	dialer net.Dialer

	mu        sync.Mutex
	idle      map[string][]*clientConn
	epoch     int // number of calls of Reset
	dialCount int64
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
	nc       *cleanEndConn
	br       *bufio.Reader // reads from source; larger than usual amid a long head
	source   io.Reader
	addr     string
	epoch    int
	lastUsed time.Time
	expires  time.Time // from the server's Keep-Alive header; zero means never
}

// RoundTrip sends the request and returns its response. When the request's context ends,
// it stops waiting, but still returns a response that has already arrived. After an error
// that is not ErrNotSent, the request may have run.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	cc, err := c.acquire(req.Context(), req.URL.Host)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: cc.nc})
	}
	// The dial and a pause of the process take time in which the caller may leave.
	if err := checkAwaited(req.Context()); err != nil {
		c.putUnused(cc)
		return nil, err
	}
	ex := &clientExchange{client: c, cc: cc, req: req}
	resp, err := ex.roundTrip()
	if err != nil {
		ex.abandon()
		return nil, err
	}
	return resp, nil
}

// acquire returns a usable idle connection or a new one. It dials none for a request that
// nobody waits for.
func (c *Client) acquire(ctx context.Context, addr string) (*clientConn, error) {
	for {
		cc := c.popIdle(addr)
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
	source := newDeadlineReader(nc)
	br := bufio.NewReaderSize(source, readBufferSize)
	return &clientConn{nc: nc, br: br, source: source, addr: addr, epoch: c.countDial(), lastUsed: time.Now()}, nil
}

// dialPauseMargin is how far beyond its timeout a dial must end to be attributed to a
// process pause: several times the delay of a timer on a busy machine.
const dialPauseMargin = 50 * time.Millisecond

// dial connects to a server. A dial whose timeout passed during a process pause says
// nothing about the server, so it is tried once more.
func (c *Client) dial(ctx context.Context, addr string) (*cleanEndConn, error) {
	if err := checkAwaited(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	nc, err := dialCleanEnd(ctx, &c.dialer, addr)
	if err == nil || time.Since(start) < c.cfg.DialTimeout+dialPauseMargin {
		return nc, err
	}
	if abandoned := checkAwaited(ctx); abandoned != nil {
		return nil, abandoned
	}
	return dialCleanEnd(ctx, &c.dialer, addr)
}

// countDial counts a new connection and returns the epoch it belongs to.
func (c *Client) countDial() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialCount++
	return c.epoch
}

func (c *Client) popIdle(addr string) *clientConn {
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

// putIdle keeps a connection whose response has ended for later requests.
func (c *Client) putIdle(cc *clientConn) {
	cc.lastUsed = time.Now()
	if cc.br.Size() > readBufferSize {
		cc.br = bufio.NewReaderSize(cc.source, readBufferSize) // nothing is buffered
	}
	c.putUnused(cc)
}

// putUnused keeps a connection on which nothing was sent since it was taken: the server's
// idle timeout goes on.
func (c *Client) putUnused(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.epoch != c.epoch || len(c.idle[cc.addr]) >= c.cfg.MaxIdle {
		_ = cc.nc.Close()
		return
	}
	c.idle[cc.addr] = append(c.idle[cc.addr], cc)
}

// CloseExpired closes the connections that have been idle for IdleTimeout. The caller
// runs it periodically.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cc := range list {
			if cc.unexpired(now, c.cfg.IdleTimeout) {
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

// Reset discards all connections: idle ones at once, the others after their current
// request. It is for a server that has restarted: a connection to its earlier process may
// be unresponsive without being closed.
func (c *Client) Reset() {
	c.mu.Lock()
	c.epoch++
	c.mu.Unlock()
	c.Close()
}

// DialCount returns the number of connections established.
func (c *Client) DialCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialCount
}

func (cc *clientConn) unexpired(now time.Time, idle time.Duration) bool {
	return now.Sub(cc.lastUsed) < idle && (cc.expires.IsZero() || now.Before(cc.expires))
}

// usable reports whether the server has neither closed the connection nor sent bytes
// without a request.
func (cc *clientConn) usable(now time.Time, idle time.Duration) bool {
	return cc.unexpired(now, idle) && cc.br.Buffered() == 0 && openWithoutData(cc.nc)
}

// keepAliveFraction is the fraction of the server's idle timeout for which a connection
// is still used, so that a request does not race with the server's close.
const keepAliveFraction = 0.6

// applyKeepAlive takes the server's idle timeout from a Keep-Alive header such as
// "timeout=5".
func (cc *clientConn) applyKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			cc.expires = time.Now().Add(time.Duration(float64(s) * keepAliveFraction * float64(time.Second)))
		}
	}
}
