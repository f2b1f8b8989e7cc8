package proxy

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/membership"
)

// HTTP1Dispatcher forwards requests to other nodes by HTTP/1.1 on pooled connections.
// It implements Dispatcher.
type HTTP1Dispatcher struct {
	client *http1.Client
	local  http.RoundTripper
	self   netip.Addr
}

// NewHTTP1Dispatcher returns the dispatcher of the node at address self; local is the
// transport to its own upstream.
func NewHTTP1Dispatcher(client *http1.Client, self netip.Addr, local http.RoundTripper) *HTTP1Dispatcher {
	return &HTTP1Dispatcher{client: client, local: local, self: self}
}

// Local reports whether the instance is the upstream beside this node.
func (h *HTTP1Dispatcher) Local(in membership.Instance) bool { return in.Peer.Addr() == h.self }

// TransportTo implements Dispatcher.
func (h *HTTP1Dispatcher) TransportTo(_ context.Context, in membership.Instance) (http.RoundTripper, error) {
	if h.Local(in) {
		return h.local, nil
	}
	return peerTransport{client: h.client, addr: in.Peer.String()}, nil
}

// peerTransport sends requests to the node at one address.
type peerTransport struct {
	client *http1.Client
	addr   string
}

// RoundTrip sends the request once.
func (p peerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req.URL.Scheme, req.URL.Host = "http", p.addr
	return p.client.RoundTrip(req)
}
