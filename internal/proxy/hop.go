package proxy

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/membership"
)

// Hop hands requests over to other nodes by HTTP/1.1 on pooled connections. It
// implements Dispatcher.
type Hop struct {
	client *http1.Client
	local  http.RoundTripper
	self   netip.Addr
}

// NewHop returns the way from the node at self, whose own upstream is reached
// through local.
func NewHop(client *http1.Client, self netip.Addr, local http.RoundTripper) *Hop {
	return &Hop{client: client, local: local, self: self}
}

// To is described at Dispatcher.
func (h *Hop) To(_ context.Context, in membership.Instance) (http.RoundTripper, error) {
	if in.Peer.Addr() == h.self {
		return h.local, nil
	}
	return peerTripper{client: h.client, addr: in.Peer.String()}, nil
}

// peerTripper sends one request to the node at an address.
type peerTripper struct {
	client *http1.Client
	addr   string
}

// RoundTrip sends the request once.
func (p peerTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	req.URL.Scheme, req.URL.Host = "http", p.addr
	return p.client.RoundTrip(req)
}
