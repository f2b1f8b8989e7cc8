package fleet

import (
	"context"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/node"
	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/telemetry"
)

// runningNode is a node with the goroutine that runs it.
type runningNode struct {
	node *node.Node
	stop context.CancelFunc
	done chan error
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

// CallerURL returns the URL at which a node accepts callers.
func CallerURL(n *node.Node) string { return "http://" + n.Callers() }
