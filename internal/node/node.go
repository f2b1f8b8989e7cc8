// Package node assembles the sidecar process of one upstream instance: table
// distribution, request proxying and the admin pages.
package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/distribution"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/telemetry"
	"github.com/walldrift/walldrift/internal/version"
)

// Node is one sidecar: it proxies requests of local callers to upstreams, and requests
// of other nodes to its own upstream.
type Node struct {
	cfg      *settings.Node
	log      *log.Logger
	metrics  *telemetry.Metrics
	holder   *snapshot.Holder
	endpoint *peer.Endpoint
	service  *distribution.Service
	pool     *proxy.Pool
	backend  *proxy.Backend
	frontend *proxy.Frontend
	callers  *http.Server
	admin    *http.Server

	callersListener net.Listener
	adminListener   net.Listener
	leaving         atomic.Bool
	aborted         atomic.Bool
	inForceSince    atomic.Int64 // when the table came into force, Unix microseconds; 0 before the first table
	startTime       time.Time
}

// New binds all addresses of the node and builds its parts; Run starts it. On an error
// it closes whatever it opened. wrap, if not nil, wraps the peer socket for fault
// injection.
func New(cfg *settings.Node, id *peer.Identity, logger *log.Logger, wrap peer.SocketWrapper) (*Node, error) {
	n := &Node{
		cfg:       cfg,
		log:       logger,
		metrics:   telemetry.NewMetrics(),
		holder:    &snapshot.Holder{},
		startTime: time.Now(),
	}
	if err := n.bind(id, wrap); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// bind opens the listeners, then builds the parts that need their addresses.
func (n *Node) bind(id *peer.Identity, wrap peer.SocketWrapper) error {
	var err error
	if n.callersListener, err = net.Listen("tcp", n.cfg.Callers.String()); err != nil {
		return errors.Wrap(err, "callers address")
	}
	if n.adminListener, err = net.Listen("tcp", n.cfg.Admin.String()); err != nil {
		return errors.Wrap(err, "admin address")
	}
	handler := &deferredHandler{}
	if n.endpoint, err = peer.Listen(n.cfg.Peers, id, handler, wrap); err != nil {
		return err
	}
	n.buildParts(n.instance())
	handler.handler = proxy.NewPeerHandler(n.backend)
	return nil
}

// deferredHandler breaks a construction cycle: the endpoint needs a handler, and the real
// handler needs the endpoint. handler is set before Run, so before any request arrives.
type deferredHandler struct{ handler http.Handler }

func (l *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.handler.ServeHTTP(w, r)
}

// instance returns the membership entry that this node announces to other nodes.
func (n *Node) instance() membership.Instance {
	return membership.Instance{
		Name:       n.cfg.Name,
		Service:    n.cfg.Service,
		DataCentre: n.cfg.DataCentre,
		Region:     n.cfg.Region,
		Peer:       netip.AddrPortFrom(n.cfg.Peers.Addr(), n.endpoint.Addr().Port()),
		State:      membership.ListedLive,
		Generation: uint64(n.startTime.UnixMilli()),
	}
}

func (n *Node) buildParts(self membership.Instance) {
	engine := distribution.DefaultEngineConfig()
	engine.DigestInterval, engine.Readers = n.cfg.DigestInterval, n.cfg.Readers
	engine.Membership.SuspicionTimeout = n.cfg.SuspicionTimeout
	n.service = distribution.NewService(distribution.ServiceConfig{
		Engine:     engine,
		Self:       self,
		Seeds:      n.cfg.Seeds,
		ReadSpread: n.cfg.ReadSpread,
		WatchWait:  n.cfg.WatchWait,
	}, n.checkTable, n.endpoint, platform.NewClient(n.cfg.Platform.String(), fmt.Sprintf("walldrift/%s/%d", self.Name, self.Generation)), n.log, n.metrics.Scope)

	requests := proxy.NewMetrics(n.metrics.Scope)
	pool := proxy.DefaultPoolConfig()
	pool.MaxConns, pool.IdleTimeout = n.cfg.MaxConnections, n.cfg.ConnectionIdle
	n.pool = proxy.NewPool(pool, n.endpoint, self.Name)

	keys := ledger.DefaultConfig()
	keys.Window, keys.Skew, keys.Settle = n.cfg.LedgerWindow, n.cfg.LedgerSkew, n.cfg.LedgerSettle
	n.backend = proxy.NewBackend(proxy.BackendConfig{
		Name:       self.Name,
		Upstream:   n.cfg.Upstream,
		Slots:      n.cfg.Slots,
		QueueLimit: n.cfg.Queue,
		Ledger:     keys,
	}, n.holder, &proxy.PeerClaimer{Dispatch: n.pool, Members: n.service.Member}, requests, n.startTime)
	n.pool.SetLocal(n.backend)

	policy := retry.DefaultPolicy()
	policy.Ratio = n.cfg.RetryRatio
	n.frontend = proxy.NewFrontend(proxy.FrontendConfig{
		Self:    self,
		Routing: routing.DefaultConfig(),
		Retry:   policy,
		Seed:    self.Generation,

		MaxInFlight: n.cfg.MaxInFlight,
	}, n.holder, n.service.Member, n.pool, requests, n.service.Synced)
	n.callers = newCallersServer(n.frontend)
	n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: headerTimeout}
}

// headerTimeout bounds how long the server waits for a request's header.
const headerTimeout = 10 * time.Second

// checkTable validates a table and returns its version with a Commit that puts it in
// force. Commit does nothing if the table isn't newer than the one in force.
func (n *Node) checkTable(raw []byte) (distribution.Checked, error) {
	snap, err := snapshot.Build(raw)
	if err != nil {
		n.metrics.Scope.Counter("tables_refused").Inc(1)
		id := version.Of(table.EditionOf(raw), raw)
		n.log.Warn("table refused", "version", id, "findings", err)
		return distribution.Checked{ID: id}, err
	}
	return distribution.Checked{ID: snap.ID, Commit: func() {
		if n.holder.Advance(snap) {
			n.backend.Apply(snap)
			n.inForceSince.Store(time.Now().UnixMicro())
		}
	}}, nil
}

// Ready reports whether this node serves callers: it has a table, its state is synced
// with a neighbour, and it isn't shutting down.
func (n *Node) Ready() bool {
	return n.holder.Current() != nil && n.service.Synced() && !n.leaving.Load()
}

// Callers returns the address on which the node listens for callers.
func (n *Node) Callers() string { return n.callersListener.Addr().String() }

// Admin returns the address on which the node serves its admin pages.
func (n *Node) Admin() string { return n.adminListener.Addr().String() }

// Instance returns the membership entry that this node announces to other nodes.
func (n *Node) Instance() membership.Instance { return n.instance() }

// Table returns the version of the table in force.
func (n *Node) Table() version.ID { return n.holder.ID() }

// SetDraining makes the node refuse requests for its upstream, or accept them again.
// It doesn't announce the change to other nodes.
func (n *Node) SetDraining(on bool) { n.backend.SetDraining(on) }

// QueryStatus queries the status of all nodes over the overlay.
func (n *Node) QueryStatus(ctx context.Context) ([]distribution.NodeStatus, error) {
	return n.service.QueryStatus(ctx)
}

func (n *Node) closeListeners() {
	if n.callersListener != nil {
		_ = n.callersListener.Close()
	}
	if n.adminListener != nil {
		_ = n.adminListener.Close()
	}
	if n.endpoint != nil {
		_ = n.endpoint.Close()
	}
	_ = n.metrics.Close()
}
