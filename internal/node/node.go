// Package node assembles the process that stands beside one upstream
// instance: distribution, request path and admin pages.
package node

import (
	"context"
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

// Node is one running process of the system.
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
	since           atomic.Int64 // when the table came into force, Unix microseconds
	started         time.Time
}

// New binds all addresses of the node and prepares it; Run starts it. On an
// error nothing stays open. wrap stands between the node and its peer socket;
// nil but in fault trials.
func New(cfg *settings.Node, id *peer.Identity, logger *log.Logger, wrap peer.Wrap) (*Node, error) {
	n := &Node{
		cfg:     cfg,
		log:     logger,
		metrics: telemetry.NewMetrics(),
		holder:  &snapshot.Holder{},
		started: time.Now(),
	}
	if err := n.bind(id, wrap); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// bind opens the sockets and builds the parts from the inside out.
func (n *Node) bind(id *peer.Identity, wrap peer.Wrap) error {
	var err error
	if n.callersListener, err = net.Listen("tcp", n.cfg.Callers.String()); err != nil {
		return errors.Wrap(err, "callers address")
	}
	if n.adminListener, err = net.Listen("tcp", n.cfg.Admin.String()); err != nil {
		return errors.Wrap(err, "admin address")
	}
	handler := &lateHandler{}
	if n.endpoint, err = peer.Listen(n.cfg.Peers, id, handler, wrap); err != nil {
		return err
	}
	n.build(n.instance())
	handler.handler = proxy.NewPeerHandler(n.backend)
	return nil
}

// lateHandler stands in until the handler that needs the endpoint is built.
// No request comes before Run.
type lateHandler struct{ handler http.Handler }

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// instance describes this node as others see it.
func (n *Node) instance() membership.Instance {
	return membership.Instance{
		Name:       n.cfg.Name,
		Service:    n.cfg.Service,
		DataCentre: n.cfg.DataCentre,
		Region:     n.cfg.Region,
		Peer:       netip.AddrPortFrom(n.cfg.Peers.Addr(), n.endpoint.Addr().Port()),
		State:      membership.ListedLive,
		Generation: uint64(n.started.UnixMilli()),
	}
}

func (n *Node) build(self membership.Instance) {
	engine := distribution.DefaultEngineConfig()
	engine.DigestInterval, engine.Readers = n.cfg.DigestInterval, n.cfg.Readers
	engine.Membership.SuspicionTimeout = n.cfg.SuspicionTimeout
	n.service = distribution.NewService(distribution.ServiceConfig{
		Engine:     engine,
		Self:       self,
		Seeds:      n.cfg.Seeds,
		ReadSpread: n.cfg.ReadSpread,
		WatchWait:  n.cfg.WatchWait,
	}, n.checkTable, n.endpoint, platform.NewClient(n.cfg.Platform.String()), n.log, n.metrics.Scope)

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
	}, n.holder, &proxy.PeerClaimer{Dispatch: n.pool, Members: n.service.Member}, requests, n.started)
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
	n.callers = &http.Server{Handler: n.frontend, ReadHeaderTimeout: headerTimeout}
	n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: headerTimeout}
}

// headerTimeout bounds the wait for a caller's header.
const headerTimeout = 10 * time.Second

// checkTable decides about a table and prepares to put it in force.
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
			n.since.Store(time.Now().UnixMicro())
		}
	}}, nil
}

// Ready reports whether this node serves callers.
func (n *Node) Ready() bool {
	return n.holder.Current() != nil && n.service.Synced() && !n.leaving.Load()
}

// Callers returns the bound address for callers.
func (n *Node) Callers() string { return n.callersListener.Addr().String() }

// Admin returns the bound address of the admin pages.
func (n *Node) Admin() string { return n.adminListener.Addr().String() }

// Instance describes this node as others see it.
func (n *Node) Instance() membership.Instance { return n.instance() }

// Table returns the version in force.
func (n *Node) Table() version.ID { return n.holder.ID() }

// SetDraining makes the node refuse work for its upstream, or take it again,
// without telling the others.
func (n *Node) SetDraining(on bool) { n.backend.SetDraining(on) }

// Survey asks all nodes for their status.
func (n *Node) Survey(ctx context.Context) ([]distribution.NodeStatus, error) {
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
