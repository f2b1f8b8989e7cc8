// Package fleet runs a small fleet in one process, on loopback: stand-ins of the platform
// and the upstreams, and a node beside each upstream. The demo, tests and benchmarks use
// it.
package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/version"
)

// Config describes a fleet.
type Config struct {
	Placements []standin.Placement
	Table      []byte
	Log        io.Writer // log of all nodes; nil for none
	LogLevel   string
	// Settings edits the settings of each node before it starts; nil for no edit.
	Settings func(*settings.Node)
	// InjectFaults wraps the socket of each node for the fault injection of Network. It
	// disables batched reads and writes on the socket.
	InjectFaults bool
	// Upstream wraps the handler of each upstream stand-in; nil for none.
	Upstream func(name string, h http.Handler) http.Handler
}

// Fleet is a running fleet.
type Fleet struct {
	Platform  *standin.Platform
	Network   *Network // between the nodes
	Upstreams map[string]*standin.Upstream

	cfg             Config
	authority       *peer.Authority
	identities      map[string]*peer.Identity
	platformServer  *httptest.Server
	upstreamServers map[string]*httptest.Server
	peerAddrs       map[string]netip.AddrPort

	mu    sync.Mutex
	nodes map[string]*runningNode
}

// Start starts the fleet and publishes the table and the instance list. Close stops it.
func Start(cfg Config) (*Fleet, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform:        standin.NewPlatform(),
		Network:         newNetwork(),
		Upstreams:       make(map[string]*standin.Upstream),
		cfg:             cfg,
		authority:       authority,
		identities:      make(map[string]*peer.Identity),
		upstreamServers: make(map[string]*httptest.Server),
		peerAddrs:       make(map[string]netip.AddrPort),
		nodes:           make(map[string]*runningNode),
	}
	f.platformServer = httptest.NewServer(f.Platform.Handler())
	for _, p := range cfg.Placements {
		if err := f.addUpstream(p); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.PublishInstances()
	f.Platform.Put(platform.KeyTable, cfg.Table)
	for _, p := range cfg.Placements {
		if err := f.StartNode(p.Name); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// StartReady is Start followed by a wait, bounded by ctx and startTimeout, until every
// node has the table in force.
func StartReady(ctx context.Context, cfg Config) (*Fleet, error) {
	snap, err := snapshot.Build(cfg.Table)
	if err != nil {
		return nil, err
	}
	f, err := Start(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := f.AwaitVersion(ctx, snap.ID); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startTimeout bounds the wait of StartReady.
const startTimeout = time.Minute

// PublishInstances publishes the instance list.
func (f *Fleet) PublishInstances() {
	f.Platform.Put(platform.KeyInstances, standin.List(uint64(time.Now().UnixMilli()), f.cfg.Placements, f.peerAddrs))
}

func (f *Fleet) addUpstream(p standin.Placement) error {
	u := standin.NewUpstream(standin.UpstreamConfig{Name: p.Name, Slots: max(p.Group.Slots, 1), ServiceTime: p.Group.ServiceTime})
	f.Upstreams[p.Name] = u
	var handler http.Handler = u
	if f.cfg.Upstream != nil {
		handler = f.cfg.Upstream(p.Name, u)
	}
	f.upstreamServers[p.Name] = httptest.NewServer(handler)
	id, err := f.authority.Issue(p.Name)
	if err != nil {
		return err
	}
	f.identities[p.Name] = id
	f.peerAddrs[p.Name], err = freeUDP()
	f.Network.register(f.peerAddrs[p.Name], p.DataCentre)
	return err
}

// freeUDP returns the address of a free UDP port on loopback.
func freeUDP() (netip.AddrPort, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "free port")
	}
	addr := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return addr, c.Close()
}

// UpstreamURL returns the address of an upstream stand-in.
func (f *Fleet) UpstreamURL(name string) string { return f.upstreamServers[name].URL }

// AwaitVersion waits until every node is ready and has table version id in force, and
// returns how long that took.
func (f *Fleet) AwaitVersion(ctx context.Context, id version.ID) (time.Duration, error) {
	start := time.Now()
	for {
		outdated := ""
		for _, n := range f.Nodes() {
			if n.Table() != id || !n.Ready() {
				outdated = n.Instance().Name
			}
		}
		if outdated == "" {
			return time.Since(start), nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Newf("node %s does not have table version %s in force", outdated, id)
		case <-time.After(time.Millisecond):
		}
	}
}

// PlatformURL returns the URL of the platform stand-in.
func (f *Fleet) PlatformURL() string { return f.platformServer.URL }

// Close stops all nodes and servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	nodes := f.nodes
	f.nodes = make(map[string]*runningNode)
	f.mu.Unlock()
	for _, m := range nodes {
		m.stop()
	}
	for _, m := range nodes {
		<-m.done
	}
	for _, b := range f.upstreamServers {
		closeServer(b)
	}
	closeServer(f.platformServer)
}

func closeServer(s *httptest.Server) {
	s.CloseClientConnections()
	_ = s.Config.Close()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	s.Close()
}
