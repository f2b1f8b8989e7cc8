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
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/node"
	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/telemetry"
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

// runningNode is a node with the goroutine that runs it.
type runningNode struct {
	node *node.Node
	stop context.CancelFunc
	done chan error
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

// StartNode starts the node of a placement, also after it was stopped.
func (f *Fleet) StartNode(name string) error {
	return f.startNode(name, netip.MustParseAddrPort("127.0.0.1:0"))
}

func (f *Fleet) startNode(name string, callerAddr netip.AddrPort) error {
	i := slices.IndexFunc(f.cfg.Placements, func(p standin.Placement) bool { return p.Name == name })
	if i < 0 {
		return errors.Newf("no placement %q", name)
	}
	cfg, err := f.settings(f.cfg.Placements[i])
	if err != nil {
		return err
	}
	cfg.Callers = callerAddr
	logWriter := f.cfg.Log
	if logWriter == nil {
		logWriter = io.Discard
	}
	started, err := node.New(cfg, f.identities[name], telemetry.NewLogger(logWriter, f.cfg.LogLevel, "text", name), f.socketWrapper(f.cfg.Placements[i]))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &runningNode{node: started, stop: stop, done: make(chan error, 1)}
	go func() { running.done <- started.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = running
	return nil
}

func (f *Fleet) socketWrapper(p standin.Placement) peer.SocketWrapper {
	if !f.cfg.InjectFaults {
		return nil
	}
	return f.Network.wrapperFor(p.DataCentre)
}

// settings returns the settings of one node.
func (f *Fleet) settings(p standin.Placement) (*settings.Node, error) {
	cfg, err := settings.Defaults()
	if err != nil {
		return nil, err
	}
	cfg.Name, cfg.Service, cfg.DataCentre, cfg.Region = p.Name, p.Service, p.DataCentre, p.Region
	cfg.Admin, cfg.Peers = netip.MustParseAddrPort("127.0.0.1:0"), f.peerAddrs[p.Name]
	if cfg.Upstream, err = url.Parse(f.upstreamServers[p.Name].URL); err != nil {
		return nil, err
	}
	if cfg.Platform, err = url.Parse(f.platformServer.URL); err != nil {
		return nil, err
	}
	cfg.ReadSpread = 100 * time.Millisecond
	cfg.ShutdownAnnounce = 200 * time.Millisecond
	if f.cfg.Settings != nil {
		f.cfg.Settings(cfg)
	}
	return cfg, nil
}

// Node returns a running node; nil if it is stopped.
func (f *Fleet) Node(name string) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.nodes[name]; ok {
		return m.node
	}
	return nil
}

// Nodes returns the running nodes in the order of the placements.
func (f *Fleet) Nodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node.Node
	for _, p := range f.cfg.Placements {
		if m, ok := f.nodes[p.Name]; ok {
			out = append(out, m.node)
		}
	}
	return out
}

// StopNode shuts a node down gracefully and waits until it has stopped.
func (f *Fleet) StopNode(name string) error {
	f.mu.Lock()
	m, ok := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	if !ok {
		return errors.Newf("node %q is not running", name)
	}
	m.stop()
	return <-m.done
}

// RestartNode shuts a node down gracefully and starts it again on the same addresses.
func (f *Fleet) RestartNode(name string) error {
	old := f.Node(name)
	if old == nil {
		return errors.Newf("node %q is not running", name)
	}
	callerAddr, err := netip.ParseAddrPort(old.Callers())
	if err != nil {
		return err
	}
	if err := f.StopNode(name); err != nil {
		return err
	}
	return f.startNode(name, callerAddr)
}

// Kill ends a node and its upstream without a shutdown.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	m := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	b := f.upstreamServers[name]
	_ = b.Config.Close()
	if m == nil {
		return
	}
	m.node.Abort()
	m.stop()
	<-m.done
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

// CallerURL returns the URL at which a node accepts callers.
func CallerURL(n *node.Node) string { return "http://" + n.Callers() }

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
