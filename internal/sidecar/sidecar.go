// Package sidecar assembles the process that stands beside one upstream on a
// platform that publishes tables and upstreams in a store: it follows the
// store, carries the requests of its machine's callers, and admits the work of
// its own upstream.
package sidecar

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/periodic"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/telemetry"
)

// Platform is what the adapter of a platform gives.
type Platform struct {
	Dialect   proxy.Dialect
	ReadyPath string
	// Source opens the store at an address.
	Source func(address string) discovery.Source
}

// Sidecar is one running process.
type Sidecar struct {
	cfg      *settings.Sidecar
	platform Platform
	log      *log.Logger
	metrics  *telemetry.Metrics
	holder   *snapshot.Holder
	follower *discovery.Follower
	backend  *proxy.Backend
	frontend *proxy.Frontend
	hop      *http1.Client // to other nodes, for requests
	news     *http1.Client // to other nodes, for news
	upstream *http1.Client
	servers  servers
	service  atomic.Pointer[string]
	leaving  atomic.Bool
	// own is the own upstream as published last, and closed why it gets no work: at
	// first since it is not published, which alone refuses nothing. Both are guarded by
	// the follower.
	own    discovery.KnownUpstream
	closed admission.Reason
	guard  *coldGuard
	held   *heldRequests
	quotas *customerQuotas
}

// servers are the listening sides; metrics may be without a listener.
type servers struct {
	callers, peers, ready, metrics *http1.Server
	listeners                      []net.Listener
}

// all returns the servers in the order of their listeners.
func (s servers) all() []*http1.Server {
	return []*http1.Server{s.callers, s.peers, s.ready, s.metrics}[:len(s.listeners)]
}

// New binds the addresses of a sidecar and prepares it; Run starts it.
func New(cfg *settings.Sidecar, p Platform, logger *log.Logger) (*Sidecar, error) {
	debug.SetMemoryLimit(int64(cfg.MemoryLimit) << 20)
	debug.SetGCPercent(cfg.GCPercent)
	s := &Sidecar{cfg: cfg, platform: p, log: logger, metrics: telemetry.NewMetrics(), holder: &snapshot.Holder{}, closed: admission.ReasonDraining}
	s.service.Store(&cfg.Service)
	s.build()
	if err := s.bind(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

func (s *Sidecar) closeListeners() {
	for _, l := range s.servers.listeners {
		_ = l.Close()
	}
}

// closeAll closes listeners and connections at once.
func (s *Sidecar) closeAll() {
	for _, server := range s.servers.all() {
		server.Close()
	}
}

// directoryChanged takes over what the store says of the own upstream.
func (s *Sidecar) directoryChanged(d *discovery.Directory) {
	s.quotas.homes.membersChanged()
	own, ok := d.At(s.cfg.Upstream)
	if ok && own.Slots > 0 {
		s.backend.SetSlots(own.Slots + own.Slots/handOverShare)
	}
	if ok {
		s.followLife(own)
		s.guard.follow(own)
	}
	s.followUpstream(s.closedFor(d, own, ok))
}

// closedFor says why the own upstream gets no work, by what is published of it;
// ReasonNone if it does.
func (s *Sidecar) closedFor(d *discovery.Directory, own discovery.KnownUpstream, published bool) admission.Reason {
	switch {
	case !published || own.Leaving:
		return admission.ReasonDraining
	case d.Evacuated(own.DataCentre):
		return admission.ReasonEvacuated
	}
	return admission.ReasonNone
}

// followLife gives up what belongs to an earlier life of the own upstream.
func (s *Sidecar) followLife(own discovery.KnownUpstream) {
	before := s.own
	s.own = own
	if before.ID != "" && own.ID != before.ID {
		s.backend.UpstreamReplaced()
	}
	if own.ID != before.ID || before.StartedAtMs == 0 || own.StartedAtMs <= before.StartedAtMs {
		return
	}
	s.log.Info("own upstream restarted", "upstream", own.ID, "born", own.StartedAtMs, "before", before.StartedAtMs)
	s.upstream.Reset()
	s.backend.UpstreamRestarted()
}

// followUpstream takes work for the own upstream while that is published as ready and
// its data centre is not evacuated. Otherwise it gets nothing more, and what waits for
// it is refused at once, in time for another one.
func (s *Sidecar) followUpstream(closed admission.Reason) {
	if s.closed == closed {
		return
	}
	s.closed = closed
	s.log.Info("work of the own upstream", "taken", closed == admission.ReasonNone, "closed", closed, "upstream", s.cfg.Upstream)
	if closed == admission.ReasonNone {
		s.backend.SetDraining(s.leaving.Load())
		return
	}
	s.backend.RefuseAll(closed)
}

// Ready reports whether callers may come.
func (s *Sidecar) Ready() bool { return s.holder.Current() != nil && !s.leaving.Load() }

// Timing of the background work.
const (
	sweepInterval = time.Second
	drainPoll     = 20 * time.Millisecond
)

// Run serves until ctx ends, then shuts down gracefully.
func (s *Sidecar) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	failed := make(chan error, len(s.servers.listeners))
	for i, server := range s.servers.all() {
		listener := s.servers.listeners[i]
		group.Go(func() { failed <- server.Serve(listener) })
	}
	group.Go(func() { s.follower.Run(run) })
	group.Go(func() { s.held.run(run) })
	group.Go(func() { clock.Watch(run, s.resumed) })
	group.Go(func() { periodic.Run(run, sweepInterval, s.sweep) })
	s.log.Info("started", "callers", s.cfg.Callers, "peers", s.cfg.Peers, "store", s.cfg.Store, "service", s.cfg.Service)
	var err error
	select {
	case <-ctx.Done():
		s.drain()
	case err = <-failed:
	}
	stop()
	s.closeAll()
	group.Wait()
	s.guard.stop()
	s.hop.Close()
	s.news.Close()
	s.upstream.Close()
	s.log.Info("stopped")
	return errors.CombineErrors(err, s.metrics.Close())
}

// resumed takes over that the machine was suspended: all that is known is older by that.
func (s *Sidecar) resumed(away time.Duration) {
	s.metrics.Scope.Counter("suspensions").Inc(1)
	s.log.Warn("machine was suspended", "for", away)
	s.follower.HandleResume()
	s.quotas.interrupted(clock.Now())
}

// sweep forgets what is too old. Idle connections go by the steady time that it is given.
func (s *Sidecar) sweep(steady time.Time) {
	s.hop.CloseExpired(steady)
	s.news.CloseExpired(steady)
	s.upstream.CloseExpired(steady)
	s.frontend.Prune()
	s.held.sweep(clock.Now())
	s.quotas.sweep(clock.Now())
	s.gauges()
}

// boolGauge is 1 for true.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// gauges updates what is measured now and then.
func (s *Sidecar) gauges() {
	load := s.backend.Load()
	m := s.metrics.Scope
	m.Gauge("slots").Update(float64(load.Slots))
	m.Gauge("slots_in_use").Update(float64(load.InUse))
	m.Gauge("requests_waiting").Update(float64(load.Waiting))
	m.Gauge("requests_in_flight").Update(float64(s.frontend.InFlight()))
	m.Gauge("caller_connections").Update(float64(s.servers.callers.Conns()))
	m.Gauge("table_edition").Update(float64(s.holder.ID().Edition))
	follow := s.follower.Status(clock.Now())
	m.Gauge("store_reader").Update(boolGauge(follow.Reader))
	m.Gauge("evacuated_data_centres").Update(float64(len(follow.Evacuated)))
	m.Gauge("store_calls").Update(float64(s.follower.Calls()))
	m.Gauge("news_age_seconds").Update(follow.Staleness.Seconds())
	m.Gauge("store_away_seconds").Update(s.follower.StoreUnreachableFor(clock.Now()).Seconds())
	m.Gauge("upstream_connections_made").Update(float64(s.upstream.DialCount()))
}
