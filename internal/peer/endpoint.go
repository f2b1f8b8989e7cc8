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

// Application protocols of a connection.
const (
	protoControl  = "walldrift/1"
	protoRequests = http3.NextProtoH3
)

// Timing and memory of connections.
const (
	// controlIdle ends a control link whose peer has been silent; three
	// digests must be lost for that.
	controlIdle = 15 * time.Second
	// requestIdle ends a request connection whose peer does not answer its
	// keep-alives; requests in progress on it then fail with an unknown outcome.
	requestIdle      = 2 * time.Second
	requestKeepAlive = 500 * time.Millisecond
	handshakeTimeout = 3 * time.Second

	streamWindow     = 128 << 10
	maxStreamWindow  = 512 << 10
	connWindow       = 256 << 10
	maxConnWindow    = 2 << 20
	maxStreams       = 1024
	maxRequestHeader = 64 << 10
	// acceptBacklog bounds control connections that wait to be taken.
	acceptBacklog = 64
)

func serverConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 controlIdle,
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
	c.DisablePathMTUDiscovery = true // messages are small; probes would cost more
	return c
}

func requestConfig() *quic.Config {
	c := serverConfig()
	c.MaxIdleTimeout = requestIdle
	c.KeepAlivePeriod = requestKeepAlive
	return c
}

// Endpoint is the UDP socket of a node.
type Endpoint struct {
	identity *Identity
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	control  chan *quic.Conn
	requests *http3.Server
	h3       *http3.Transport
	cancel   context.CancelFunc
	done     chan struct{}
}

// Wrap stands between an endpoint and its socket, to make faults happen. A nil
// Wrap leaves the socket as it is.
type Wrap func(net.PacketConn) net.PacketConn

// Listen binds addr and accepts connections. handler serves the requests of
// other nodes.
func Listen(addr netip.AddrPort, id *Identity, handler http.Handler, wrap Wrap) (*Endpoint, error) {
	key, err := id.resetKey()
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
		identity: id,
		socket:   socket,
		quic:     &quic.Transport{Conn: socket, StatelessResetKey: key},
		control:  make(chan *quic.Conn, acceptBacklog),
		requests: &http3.Server{Handler: handler, MaxHeaderBytes: maxRequestHeader},
		h3:       &http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxRequestHeader},
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	e.listener, err = e.quic.Listen(id.serverTLS(), serverConfig())
	if err != nil {
		cancel()
		return nil, errors.CombineErrors(errors.Wrap(err, "listen"), socket.Close())
	}
	go e.acceptLoop(ctx)
	return e, nil
}

// Addr returns the bound address.
func (e *Endpoint) Addr() netip.AddrPort {
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (e *Endpoint) acceptLoop(ctx context.Context) {
	defer close(e.done)
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		switch conn.ConnectionState().TLS.NegotiatedProtocol {
		case protoRequests:
			go func() { _ = e.requests.ServeQUICConn(conn) }()
		case protoControl:
			e.queueControl(conn)
		}
	}
}

func (e *Endpoint) queueControl(conn *quic.Conn) {
	select {
	case e.control <- conn:
	default:
		_ = conn.CloseWithError(codeBusy, "too many links waiting")
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
		_ = conn.CloseWithError(codeBusy, "no stream")
		return nil, errors.Wrap(err, "open stream")
	}
	return newLink(conn, stream, name, true), nil
}

// Accept waits for a control link from another node.
func (e *Endpoint) Accept(ctx context.Context) (distribution.Link, error) {
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case conn := <-e.control:
			// The dialler sends its greeting at once, which opens the stream.
			sctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
			stream, err := conn.AcceptStream(sctx)
			cancel()
			if err != nil {
				_ = conn.CloseWithError(codeBusy, "no stream")
				continue
			}
			name, err := peerName(conn.ConnectionState().TLS)
			if err != nil {
				_ = conn.CloseWithError(codeBusy, err.Error())
				continue
			}
			return newLink(conn, stream, name, false), nil
		}
	}
}

// DialRequests opens a request connection to the named instance. The returned
// connection sends each request at most once; nothing replays it.
func (e *Endpoint) DialRequests(ctx context.Context, name string, addr netip.AddrPort) (*http3.ClientConn, error) {
	conn, err := e.dial(ctx, name, addr, protoRequests, requestConfig())
	if err != nil {
		return nil, err
	}
	return e.h3.NewClientConn(conn), nil
}

func (e *Endpoint) dial(ctx context.Context, name string, addr netip.AddrPort, proto string, cfg *quic.Config) (*quic.Conn, error) {
	conn, err := e.quic.Dial(ctx, net.UDPAddrFromAddrPort(addr), e.identity.clientTLS(name, proto), cfg)
	return conn, errors.Wrapf(err, "dial %s at %s", name, addr)
}

// Shutdown stops taking requests and waits for those in progress until ctx ends.
func (e *Endpoint) Shutdown(ctx context.Context) error { return e.requests.Shutdown(ctx) }

// Abort closes the socket without telling any peer, as a killed process would.
func (e *Endpoint) Abort() { _ = e.socket.Close() }

// Close ends all connections and frees the socket.
func (e *Endpoint) Close() error {
	e.cancel()
	_ = e.requests.Close()
	_ = e.listener.Close()
	<-e.done
	err := e.quic.Close()
	return errors.CombineErrors(err, e.socket.Close())
}
