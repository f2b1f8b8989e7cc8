package distribution

import (
	"context"
	"net/netip"
)

// Transport opens and accepts control links. The QUIC one is in package peer,
// its in-memory twin in MemoryNetwork.
type Transport interface {
	// Dial opens a link to the named instance.
	Dial(ctx context.Context, name string, addr netip.AddrPort) (Link, error)
	// Accept waits for a link that another node opens.
	Accept(ctx context.Context) (Link, error)
}

// Link is an ordered, reliable stream of messages between two nodes. Send and
// Receive are each called from one goroutine.
type Link interface {
	// Peer is the authenticated name of the other side.
	Peer() string
	// Dialled reports whether this side opened the link.
	Dialled() bool
	Send(msg []byte) error
	Receive() ([]byte, error)
	// WireBytes returns the bytes sent and received, overheads included.
	WireBytes() (sent, received uint64)
	Close(reason string)
}
