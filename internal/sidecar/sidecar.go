// Package sidecar assembles the process beside one upstream on a platform that publishes
// tables and upstreams in a store. The process follows the store, routes the requests of
// the callers on its machine, and admits requests to its own upstream.
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

// Platform is what the adapter of a platform provides.
type Platform struct {
	Dialect   proxy.Dialect
	ReadyPath string
	// Source opens the store at an address.
	Source func(address string) discovery.Source
}

// Sidecar is one sidecar process.
type Sidecar struct {
	cfg              *settings.Sidecar
	platform         Platform
	log              *log.Logger
	metrics          *telemetry.Metrics
	holder           *snapshot.Holder
	follower         *discovery.Follower
	backend          *proxy.Backend
	frontend         *proxy.Frontend
	peerClient       *http1.Client // forwards requests to other nodes
	peerUpdateClient *http1.Client // sends peer requests to update sources
	upstream         *http1.Client
	servers          servers
	service          atomic.Pointer[string]
	leaving          atomic.Bool
	// ownUpstream is the own upstream as last published. blockReason says why it gets no
	// requests. It starts as draining since the upstream is not published yet; that alone
	// refuses no requests. The follower's lock guards both.
	ownUpstream discovery.KnownUpstream
	blockReason admission.Reason
	guard       *coldGuard
	quarantined *sharedQuarantine
	quotas      *customerQuotas
	limitLines  *logLimiter
}

// servers are the HTTP servers of a sidecar. The metrics server may have no listener.
type servers struct {
	callers, peers, ready, metrics *http1.Server
	listeners                      []net.Listener
}

// all returns the servers that have a listener, in the order of the listeners.
func (s servers) all() []*http1.Server {
	return []*http1.Server{s.callers, s.peers, s.ready, s.metrics}[:len(s.listeners)]
}

// New creates a sidecar and binds its addresses. Run starts it.
func New(cfg *settings.Sidecar, p Platform, logger *log.Logger) (*Sidecar, error) {
	debug.SetMemoryLimit(int64(cfg.MemoryLimit) << 20)
	debug.SetGCPercent(cfg.GCPercent)
	s := &Sidecar{cfg: cfg, platform: p, log: logger, metrics: telemetry.NewMetrics(), holder: &snapshot.Holder{}, blockReason: admission.ReasonDraining, limitLines: newLogLimiter()}
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

// closeAll closes all listeners and connections immediately.
func (s *Sidecar) closeAll() {
	for _, server := range s.servers.all() {
		server.Close()
	}
}

// directoryChanged applies what the store publishes about the own upstream.
func (s *Sidecar) directoryChanged(d *discovery.Directory) {
	s.quotas.owners.membersChanged()
	own, ok := d.At(s.cfg.Upstream)
	if ok && own.Slots > 0 {
		s.backend.SetSlots(own.Slots + own.Slots/slotsPerExtraRequest)
	}
	if ok {
		s.detectRestart(own)
		s.guard.applyPublished(own)
	}
	s.applyBlockReason(s.blockReasonFor(d, own, ok))
}

// blockReasonFor returns why the own upstream gets no requests, or ReasonNone if it does
// get them, according to what is published about it.
func (s *Sidecar) blockReasonFor(d *discovery.Directory, own discovery.KnownUpstream, published bool) admission.Reason {
	switch {
	case !published || own.Leaving:
		return admission.ReasonDraining
	case d.Evacuated(own.DataCentre):
		return admission.ReasonEvacuated
	}
	return admission.ReasonNone
}

// detectRestart stores the published own upstream. If that is another process than before,
// it drops the state and the connections of the earlier process.
func (s *Sidecar) detectRestart(own discovery.KnownUpstream) {
	before := s.ownUpstream
	s.ownUpstream = own
	if before.ID != "" && own.ID != before.ID {
		s.backend.UpstreamReplaced(own.ID)
	}
	if own.ID != before.ID || before.StartedAtMs == 0 || own.StartedAtMs <= before.StartedAtMs {
		return
	}
	s.log.Info("own upstream restarted", "upstream", own.ID, "born", own.StartedAtMs, "before", before.StartedAtMs)
	s.upstream.Reset()
	s.backend.UpstreamRestarted()
}

// applyBlockReason admits requests to the own upstream while that is published as ready
// and its data centre is not evacuated. Otherwise it refuses new requests and those that
// wait, at once, so that they have time for another upstream.
func (s *Sidecar) applyBlockReason(reason admission.Reason) {
	if s.blockReason == reason {
		return
	}
	s.blockReason = reason
	s.log.Info("work of the own upstream", "taken", reason == admission.ReasonNone, "closed", reason, "upstream", s.cfg.Upstream)
	if reason == admission.ReasonNone {
		s.backend.SetDraining(s.leaving.Load())
		return
	}
	s.backend.RefuseAll(reason)
}

// Ready reports whether callers may send requests.
func (s *Sidecar) Ready() bool { return s.holder.Current() != nil && !s.leaving.Load() }

// Intervals of background work.
const (
	sweepInterval = time.Second
	drainPoll     = 20 * time.Millisecond
)

// Run serves until ctx is cancelled, then shuts down gracefully.
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
	group.Go(func() { s.quarantined.run(run) })
	group.Go(func() { s.quotas.confirmPeriodically(run) })
	group.Go(func() { clock.Watch(run, clock.Events{OnSuspension: s.machineResumed, OnStall: s.processStalled}) })
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
	s.peerClient.Close()
	s.peerUpdateClient.Close()
	s.upstream.Close()
	s.log.Info("stopped")
	return errors.CombineErrors(err, s.metrics.Close())
}

// machineResumed handles a suspension of the machine: all known state is older by its
// length.
func (s *Sidecar) machineResumed(suspendedFor time.Duration) {
	s.metrics.Scope.Counter("suspensions").Inc(1)
	s.log.Warn("machine was suspended", "for", suspendedFor)
	s.follower.HandleResume()
	s.quotas.paused(clock.Now())
}

// processStalled counts and logs that this process got no processor time.
func (s *Sidecar) processStalled(d time.Duration) {
	s.metrics.Scope.Counter("stalls").Inc(1)
	s.log.Warn("process was stalled", "for", d)
}

// sweep drops expired state. Idle connections expire by steady, the time of the steady
// clock.
func (s *Sidecar) sweep(steady time.Time) {
	s.peerClient.CloseExpired(steady)
	s.peerUpdateClient.CloseExpired(steady)
	s.upstream.CloseExpired(steady)
	s.frontend.Prune()
	s.quarantined.sweep(clock.Now())
	s.quotas.sweep(clock.Now())
	s.updateGauges()
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// updateGauges updates the gauges that are sampled periodically.
func (s *Sidecar) updateGauges() {
	load := s.backend.Load()
	m := s.metrics.Scope
	m.Gauge("slots").Update(float64(load.Slots))
	m.Gauge("slots_in_use").Update(float64(load.InUse))
	m.Gauge("requests_waiting").Update(float64(load.Waiting))
	m.Gauge("requests_in_flight").Update(float64(s.frontend.InFlight()))
	m.Gauge("caller_connections").Update(float64(s.servers.callers.Conns()))
	m.Gauge("caller_connections_refused").Update(float64(s.servers.callers.Refused()))
	m.Gauge("table_edition").Update(float64(s.holder.ID().Edition))
	followerStatus := s.follower.Status(clock.Now())
	m.Gauge("store_reader").Update(boolGauge(followerStatus.Reader))
	m.Gauge("evacuated_data_centres").Update(float64(len(followerStatus.Evacuated)))
	m.Gauge("store_calls").Update(float64(s.follower.Calls()))
	m.Gauge("news_age_seconds").Update(followerStatus.Staleness.Seconds())
	m.Gauge("store_away_seconds").Update(s.follower.StoreUnreachableFor(clock.Now()).Seconds())
	m.Gauge("upstream_connections_made").Update(float64(s.upstream.DialCount()))
}
