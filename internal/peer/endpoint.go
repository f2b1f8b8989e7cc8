package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/walldrift/walldrift/internal/distribution"
)

// ALPN protocols: control links and HTTP/3 requests.
const (
	protoControl  = "walldrift/1"
	protoRequests = http3.NextProtoH3
)

// Timeouts and buffer limits of connections.
const (
	// controlIdleTimeout closes a control link on which nothing arrives. Nodes send
	// digests periodically; three in a row must be lost before the timeout expires.
	controlIdleTimeout = 15 * time.Second
	// requestIdleTimeout closes a request connection whose peer doesn't answer
	// keep-alives; requests in flight on it then fail with an unknown outcome.
	requestIdleTimeout = 2 * time.Second
	requestKeepAlive   = 500 * time.Millisecond
	handshakeTimeout   = 3 * time.Second

	streamWindow    = 128 << 10
	maxStreamWindow = 512 << 10
	connWindow      = 256 << 10
	maxConnWindow   = 2 << 20
	maxStreams      = 1024
	maxHeaderBytes  = 64 << 10
	// acceptBacklog bounds control connections that wait for Accept.
	acceptBacklog = 64
)

func serverConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 controlIdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
	}
}

func controlConfig() *quic.Config {
	c := serverConfig()
	c.MaxIncomingStreams = 1
	c.DisablePathMTUDiscovery = true // messages are small; probes would cost more than they save
	return c
}

func requestConfig() *quic.Config {
	c := serverConfig()
	c.MaxIdleTimeout = requestIdleTimeout
	c.KeepAlivePeriod = requestKeepAlive
	return c
}

// Endpoint is the UDP socket of a node with the QUIC connections on it, both control
// links and request connections.
type Endpoint struct {
	identity         *Identity
	socket           net.PacketConn
	transport        *quic.Transport
	listener         *quic.Listener
	controlConns     chan *quic.Conn
	requestServer    *http3.Server
	requestTransport *http3.Transport
	cancel           context.CancelFunc
	acceptDone       chan struct{}
}

// SocketWrapper wraps an endpoint's socket for fault injection. A nil SocketWrapper leaves
// the socket unchanged.
type SocketWrapper func(net.PacketConn) net.PacketConn

// Listen binds addr and accepts connections. handler serves the requests that other
// nodes send.
func Listen(addr netip.AddrPort, id *Identity, handler http.Handler, wrap SocketWrapper) (*Endpoint, error) {
	key, err := id.statelessResetKey()
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %s", addr)
	}
	var socket net.PacketConn = udp
	if wrap != nil {
		socket = wrap(udp)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		identity:         id,
		socket:           socket,
		transport:        &quic.Transport{Conn: socket, StatelessResetKey: key},
		controlConns:     make(chan *quic.Conn, acceptBacklog),
		requestServer:    &http3.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes},
		requestTransport: &http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
		cancel:           cancel,
		acceptDone:       make(chan struct{}),
	}
	e.listener, err = e.transport.Listen(id.serverTLS(), serverConfig())
	if err != nil {
		cancel()
		return nil, errors.CombineErrors(errors.Wrap(err, "listen"), socket.Close())
	}
	go e.acceptLoop(ctx)
	return e, nil
}

// Addr returns the address that the endpoint is bound to.
func (e *Endpoint) Addr() netip.AddrPort {
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (e *Endpoint) acceptLoop(ctx context.Context) {
	defer close(e.acceptDone)
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		switch conn.ConnectionState().TLS.NegotiatedProtocol {
		case protoRequests:
			go func() { _ = e.requestServer.ServeQUICConn(conn) }()
		case protoControl:
			e.queueControlConn(conn)
		}
	}
}

func (e *Endpoint) queueControlConn(conn *quic.Conn) {
	select {
	case e.controlConns <- conn:
	default:
		_ = conn.CloseWithError(codeRejected, "too many control links pending")
	}
}

// Dial opens a control link to the named instance.
func (e *Endpoint) Dial(ctx context.Context, name string, addr netip.AddrPort) (distribution.Link, error) {
	conn, err := e.dial(ctx, name, addr, protoControl, controlConfig())
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(codeRejected, "no stream")
		return nil, errors.Wrap(err, "open stream")
	}
	return newLink(conn, stream, name, true), nil
}

// Accept returns the next control link that another node opened.
func (e *Endpoint) Accept(ctx context.Context) (distribution.Link, error) {
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case conn := <-e.controlConns:
			// A QUIC stream exists for the peer only once data is sent on it; the
			// dialling node sends its first message at once.
			sctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
			stream, err := conn.AcceptStream(sctx)
			cancel()
			if err != nil {
				_ = conn.CloseWithError(codeRejected, "no stream")
				continue
			}
			name, err := peerName(conn.ConnectionState().TLS)
			if err != nil {
				_ = conn.CloseWithError(codeRejected, err.Error())
				continue
			}
			return newLink(conn, stream, name, false), nil
		}
	}
}

// DialRequests opens a request connection to the named instance. The connection sends
// each request at most once: it never retries one on its own.
func (e *Endpoint) DialRequests(ctx context.Context, name string, addr netip.AddrPort) (*http3.ClientConn, error) {
	conn, err := e.dial(ctx, name, addr, protoRequests, requestConfig())
	if err != nil {
		return nil, err
	}
	return e.requestTransport.NewClientConn(conn), nil
}

func (e *Endpoint) dial(ctx context.Context, name string, addr netip.AddrPort, proto string, cfg *quic.Config) (*quic.Conn, error) {
	conn, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), e.identity.clientTLS(name, proto), cfg)
	return conn, errors.Wrapf(err, "dial %s at %s", name, addr)
}

// Shutdown stops accepting requests and waits for those in flight until ctx ends.
func (e *Endpoint) Shutdown(ctx context.Context) error { return e.requestServer.Shutdown(ctx) }

// Abort closes the socket without notifying any peer, as when a process is killed.
func (e *Endpoint) Abort() { _ = e.socket.Close() }

// Close closes all connections and the socket.
func (e *Endpoint) Close() error {
	e.cancel()
	_ = e.requestServer.Close()
	_ = e.listener.Close()
	<-e.acceptDone
	err := e.transport.Close()
	return errors.CombineErrors(err, e.socket.Close())
}
