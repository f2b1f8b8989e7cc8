package distribution

import (
	"context"
	"net/netip"
)

// Transport opens and accepts control links. Package peer implements it over QUIC.
type Transport interface {
	// Dial opens a link to the named instance.
	Dial(ctx context.Context, name string, addr netip.AddrPort) (Link, error)
	// Accept waits for a link that another node opens.
	Accept(ctx context.Context) (Link, error)
}

// Link is an ordered, reliable stream of messages between two nodes. Send and Receive may
// each be called from one goroutine at a time.
type Link interface {
	// Peer returns the authenticated name of the other side.
	Peer() string
	// Dialled reports whether this side opened the link.
	Dialled() bool
	Send(msg []byte) error
	Receive() ([]byte, error)
	// WireBytes returns the bytes sent and received, including protocol overhead.
	WireBytes() (sent, received uint64)
	Close(reason string)
}
