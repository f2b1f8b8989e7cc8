package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/walldrift/walldrift/internal/peer"
)

// Network makes faults between the nodes of a fleet happen, at their sockets.
type Network struct {
	mu      sync.Mutex
	centres map[netip.AddrPort]string
	cut     map[[2]string]bool // data centre pairs, either order
	loss    float64
	rnd     *rand.Rand
	faulty  bool
	dropped int64
}

// lossSeed makes the lost datagrams the same in every run, as far as the order
// of sending is.
const lossSeed = 11

func newNetwork() *Network {
	return &Network{
		centres: make(map[netip.AddrPort]string),
		cut:     make(map[[2]string]bool),
		rnd:     rand.New(rand.NewPCG(lossSeed, lossSeed)),
	}
}

func (n *Network) place(addr netip.AddrPort, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.centres[addr] = centre
}

// SetPartition stops, or lets through, all datagrams between two data centres.
func (n *Network) SetPartition(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = on, on
	n.faulty = true
}

// SetLoss loses each datagram with the given probability.
func (n *Network) SetLoss(p float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.faulty = p, true
}

// Dropped returns the datagrams lost so far.
func (n *Network) Dropped() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped
}

// passes decides about one datagram.
func (n *Network) passes(from string, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.faulty {
		return true
	}
	lost := n.cut[[2]string{from, n.centres[to]}] || (n.loss > 0 && n.rnd.Float64() < n.loss)
	if lost {
		n.dropped++
	}
	return !lost
}

// wrap returns the fault point of a node in a data centre.
func (n *Network) wrap(centre string) peer.Wrap {
	return func(c net.PacketConn) net.PacketConn {
		return &faultySocket{PacketConn: c, network: n, centre: centre}
	}
}

// faultySocket loses datagrams on the way out.
type faultySocket struct {
	net.PacketConn
	network *Network
	centre  string
}

// WriteTo sends a datagram, or loses it without a word.
func (s *faultySocket) WriteTo(p []byte, addr net.Addr) (int, error) {
	if udp, ok := addr.(*net.UDPAddr); ok && !s.network.passes(s.centre, udp.AddrPort()) {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, addr)
}
