// Package fleet runs a whole small fleet in one process, on loopback: the
// stand-ins of platform and upstreams, and a node beside each. The demo, tests
// and measurements use it.
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
	Log        io.Writer // of all nodes; nil for none
	LogLevel   string
	// Settings changes the settings of each node before it starts; nil for none.
	Settings func(*settings.Node)
	// InjectFaults puts a fault point at each node's socket, for Network. It costs the
	// socket's batched reads and writes.
	InjectFaults bool
	// Upstream wraps the handler of each upstream stand-in; nil for none.
	Upstream func(name string, h http.Handler) http.Handler
}

// Fleet is a running fleet.
type Fleet struct {
	Platform  *standin.Platform
	Network   *Network // between the nodes
	Upstreams map[string]*standin.Upstream

	cfg        Config
	authority  *peer.Authority
	identities map[string]*peer.Identity
	server     *httptest.Server
	backends   map[string]*httptest.Server
	peers      map[string]netip.AddrPort

	mu    sync.Mutex
	nodes map[string]*member
}

// member is one node with its run.
type member struct {
	node *node.Node
	stop context.CancelFunc
	done chan error
}

// Start runs the fleet and publishes table and instance list. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform:   standin.NewPlatform(),
		Network:    newNetwork(),
		Upstreams:  make(map[string]*standin.Upstream),
		cfg:        cfg,
		authority:  authority,
		identities: make(map[string]*peer.Identity),
		backends:   make(map[string]*httptest.Server),
		peers:      make(map[string]netip.AddrPort),
		nodes:      make(map[string]*member),
	}
	f.server = httptest.NewServer(f.Platform.Handler())
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

// StartReady is Start followed by a wait, bounded by ctx and startTimeout,
// until every node has the table in force.
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
	f.Platform.Put(platform.KeyInstances, standin.List(uint64(time.Now().UnixMilli()), f.cfg.Placements, f.peers))
}

func (f *Fleet) addUpstream(p standin.Placement) error {
	u := standin.NewUpstream(standin.UpstreamConfig{Name: p.Name, Slots: max(p.Group.Slots, 1), Work: p.Group.Work})
	f.Upstreams[p.Name] = u
	var handler http.Handler = u
	if f.cfg.Upstream != nil {
		handler = f.cfg.Upstream(p.Name, u)
	}
	f.backends[p.Name] = httptest.NewServer(handler)
	id, err := f.authority.Issue(p.Name)
	if err != nil {
		return err
	}
	f.identities[p.Name] = id
	f.peers[p.Name], err = freeUDP()
	f.Network.place(f.peers[p.Name], p.DataCentre)
	return err
}

// freeUDP finds a free UDP port on loopback.
func freeUDP() (netip.AddrPort, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "free port")
	}
	addr := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return addr, c.Close()
}

// StartNode starts the node of a placement, again if it was stopped.
func (f *Fleet) StartNode(name string) error {
	return f.startNode(name, netip.MustParseAddrPort("127.0.0.1:0"))
}

func (f *Fleet) startNode(name string, callers netip.AddrPort) error {
	at := slices.IndexFunc(f.cfg.Placements, func(p standin.Placement) bool { return p.Name == name })
	if at < 0 {
		return errors.Newf("no placement %q", name)
	}
	cfg, err := f.settings(f.cfg.Placements[at])
	if err != nil {
		return err
	}
	cfg.Callers = callers
	out := f.cfg.Log
	if out == nil {
		out = io.Discard
	}
	n, err := node.New(cfg, f.identities[name], telemetry.NewLogger(out, f.cfg.LogLevel, "text", name), f.faultPoint(f.cfg.Placements[at]))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &member{node: n, stop: stop, done: make(chan error, 1)}
	go func() { m.done <- n.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = m
	return nil
}

func (f *Fleet) faultPoint(p standin.Placement) peer.Wrap {
	if !f.cfg.InjectFaults {
		return nil
	}
	return f.Network.wrap(p.DataCentre)
}

// settings makes the settings of one node.
func (f *Fleet) settings(p standin.Placement) (*settings.Node, error) {
	cfg, err := settings.Defaults()
	if err != nil {
		return nil, err
	}
	cfg.Name, cfg.Service, cfg.DataCentre, cfg.Region = p.Name, p.Service, p.DataCentre, p.Region
	cfg.Admin, cfg.Peers = netip.MustParseAddrPort("127.0.0.1:0"), f.peers[p.Name]
	if cfg.Upstream, err = url.Parse(f.backends[p.Name].URL); err != nil {
		return nil, err
	}
	if cfg.Platform, err = url.Parse(f.server.URL); err != nil {
		return nil, err
	}
	cfg.ReadSpread = 100 * time.Millisecond
	cfg.DrainAnnounce = 200 * time.Millisecond
	if f.cfg.Settings != nil {
		f.cfg.Settings(cfg)
	}
	return cfg, nil
}

// Node returns a running node, nil if it is stopped.
func (f *Fleet) Node(name string) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.nodes[name]; ok {
		return m.node
	}
	return nil
}

// Nodes returns the running nodes, sorted by name.
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

// StopNode shuts a node down gracefully and waits for it.
func (f *Fleet) StopNode(name string) error {
	f.mu.Lock()
	m, ok := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	if !ok {
		return errors.Newf("node %q does not run", name)
	}
	m.stop()
	return <-m.done
}

// RestartNode shuts a node down gracefully and starts it again on the same
// addresses.
func (f *Fleet) RestartNode(name string) error {
	old := f.Node(name)
	if old == nil {
		return errors.Newf("node %q does not run", name)
	}
	callers, err := netip.ParseAddrPort(old.Callers())
	if err != nil {
		return err
	}
	if err := f.StopNode(name); err != nil {
		return err
	}
	return f.startNode(name, callers)
}

// Kill ends a node and its upstream without warning.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	m := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	b := f.backends[name]
	_ = b.Config.Close()
	if m == nil {
		return
	}
	m.node.Abort()
	m.stop()
	<-m.done
}

// UpstreamURL returns the address of an upstream stand-in.
func (f *Fleet) UpstreamURL(name string) string { return f.backends[name].URL }

// AwaitVersion waits until every node has id in force and is ready, and
// returns the time that took.
func (f *Fleet) AwaitVersion(ctx context.Context, id version.ID) (time.Duration, error) {
	start := time.Now()
	for {
		behind := ""
		for _, n := range f.Nodes() {
			if n.Table() != id || !n.Ready() {
				behind = n.Instance().Name
			}
		}
		if behind == "" {
			return time.Since(start), nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Newf("node %s does not hold %s", behind, id)
		case <-time.After(time.Millisecond):
		}
	}
}

// CallerURL returns the address for callers of a node.
func CallerURL(n *node.Node) string { return "http://" + n.Callers() }

// PlatformURL returns the address of the platform stand-in.
func (f *Fleet) PlatformURL() string { return f.server.URL }

// Close stops everything.
func (f *Fleet) Close() {
	f.mu.Lock()
	nodes := f.nodes
	f.nodes = make(map[string]*member)
	f.mu.Unlock()
	for _, m := range nodes {
		m.stop()
	}
	for _, m := range nodes {
		<-m.done
	}
	for _, b := range f.backends {
		closeServer(b)
	}
	closeServer(f.server)
}

func closeServer(s *httptest.Server) {
	s.CloseClientConnections()
	_ = s.Config.Close()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	s.Close()
}
