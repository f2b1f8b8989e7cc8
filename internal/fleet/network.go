package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/walldrift/walldrift/internal/peer"
)

// Network injects faults between the nodes of a fleet, at their sockets.
type Network struct {
	mu          sync.Mutex
	dataCentres map[netip.AddrPort]string
	partitioned map[[2]string]bool // pairs of data centres, in both orders
	loss        float64
	rnd         *rand.Rand
	active      bool
	dropped     int64
}

// lossSeed makes the lost datagrams the same in every run, as far as the order of sending
// is the same.
const lossSeed = 11

func newNetwork() *Network {
	return &Network{
		dataCentres: make(map[netip.AddrPort]string),
		partitioned: make(map[[2]string]bool),
		rnd:         rand.New(rand.NewPCG(lossSeed, lossSeed)),
	}
}

func (n *Network) register(addr netip.AddrPort, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[addr] = centre
}

// SetPartition drops all datagrams between two data centres, or lets them through again.
func (n *Network) SetPartition(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = on, on
	n.active = true
}

// SetLoss drops each datagram with the given probability.
func (n *Network) SetLoss(p float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.active = p, true
}

// Dropped returns the number of dropped datagrams.
func (n *Network) Dropped() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped
}

// delivers decides whether one datagram is delivered.
func (n *Network) delivers(from string, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.active {
		return true
	}
	lost := n.partitioned[[2]string{from, n.dataCentres[to]}] || (n.loss > 0 && n.rnd.Float64() < n.loss)
	if lost {
		n.dropped++
	}
	return !lost
}

// wrapperFor returns the socket wrapper of a node in a data centre.
func (n *Network) wrapperFor(centre string) peer.SocketWrapper {
	return func(c net.PacketConn) net.PacketConn {
		return &faultySocket{PacketConn: c, network: n, centre: centre}
	}
}

// faultySocket drops outgoing datagrams.
type faultySocket struct {
	net.PacketConn
	network *Network
	centre  string
}

// WriteTo sends a datagram, or drops it without an error.
func (s *faultySocket) WriteTo(p []byte, addr net.Addr) (int, error) {
	if udp, ok := addr.(*net.UDPAddr); ok && !s.network.delivers(s.centre, udp.AddrPort()) {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, addr)
}
