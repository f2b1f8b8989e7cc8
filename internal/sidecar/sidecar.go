// Package sidecar assembles the process that stands beside one upstream on a
// platform that publishes tables and upstreams in a store: it follows the
// store, carries the requests of its machine's callers, and admits the work of
// its own upstream.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
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
	hop      *http1.Client
	upstream *http1.Client
	servers  servers
	service  atomic.Pointer[string]
	leaving  atomic.Bool
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

// Sizes and limits of the request path.
const (
	// expectFrom is the length of a body from which a peer is asked for
	// admission before the body is sent, so that refused uploads cost nothing.
	expectFrom = 8 << 10
	// wholeAnswers is the longest answer read to its end before it is passed
	// on; the usual ones have a few KB.
	wholeAnswers = 64 << 10
	// dialTimeout bounds a new connection inside the fleet: some 200 round trips
	// between data centres, and short enough to go elsewhere in time.
	dialTimeout = 300 * time.Millisecond
	// maxIdleCallers bounds the idle connections of callers, a few for each
	// caller of a machine.
	maxIdleCallers = 256
	// peerNotice is how long before it refuses work a leaving node tells its
	// peers with each answer: a few answers to each of them.
	peerNotice = 500 * time.Millisecond
	// bufferShare is the part of the memory limit that kept bodies may take, as a
	// divisor.
	bufferShare = 4
	// drainMemory is routing.Config.DrainMemory. A process that drains is back
	// within a second or two, beside the same upstream; upstreams that leave are
	// told by the store.
	drainMemory = time.Second
	// freeTries is retry.Policy.FreeTries: one more node is asked.
	freeTries = 1
	// handOverShare is the number of slots for which one request more is handed
	// over, to wait in the upstream's own queue: it takes the slot that comes
	// free without the way to this process and back. Trials on two deployments:
	// worth of loaded days up by 0 to 0.04.
	handOverShare = 6
	// receivers is proxy.BackendConfig.Receivers: two bodies keep a link full, the
	// others cover the round trips in which one waits for its sender. Each queues
	// up to a window of 64 KB, 50 ms on a link of 10 Mbit/s.
	receivers = 4
	// senders is proxy.BackendConfig.Senders, as receivers for what is sent.
	senders = 3
	// answerLimit is the longest answer kept for its turn on the link, in bytes.
	answerLimit = 1 << 20
	// queueFactor is the number of requests that may wait per slot.
	queueFactor = 2
)

// New binds the addresses of a sidecar and prepares it; Run starts it.
func New(cfg *settings.Sidecar, p Platform, logger *log.Logger) (*Sidecar, error) {
	debug.SetMemoryLimit(int64(cfg.MemoryLimit) << 20)
	debug.SetGCPercent(cfg.GCPercent)
	s := &Sidecar{cfg: cfg, platform: p, log: logger, metrics: telemetry.NewMetrics(), holder: &snapshot.Holder{}}
	s.service.Store(&cfg.Service)
	s.build()
	if err := s.bind(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

func (s *Sidecar) build() {
	requests := proxy.NewMetrics(s.metrics.Scope)
	toUpstream := http1.DefaultClientConfig()
	toUpstream.DialTimeout = dialTimeout
	toUpstream.Belongs = s.platform.Dialect.Belongs
	s.upstream = http1.NewClient(toUpstream)
	toPeers := http1.DefaultClientConfig()
	toPeers.Expect, toPeers.DialTimeout = expectFrom, dialTimeout
	s.hop = http1.NewClient(toPeers)
	s.follower = s.newFollower()
	s.backend = proxy.NewBackend(proxy.BackendConfig{
		Upstream:     upstreamURL(s.cfg.Upstream),
		Slots:        s.cfg.Slots,
		QueueLimit:   queueFactor * s.cfg.Slots,
		Ledger:       ledger.DefaultConfig(),
		Dialect:      s.platform.Dialect,
		Transport:    s.upstream,
		WholeAnswers: wholeAnswers,
		Receivers:    receivers,
		ReceiveLimit: int64(s.cfg.BufferLimit),
		Senders:      senders,
		AnswerLimit:  answerLimit,
		AnswerTotal:  int64(s.cfg.MemoryLimit) << 20 / bufferShare,
	}, s.holder, nil, requests, time.Now())

	policy := retry.DefaultPolicy()
	policy.Ratio, policy.Reserve, policy.FreeTries = s.cfg.RetryRatio, float64(s.cfg.RetryReserve), freeTries
	choice := routing.DefaultConfig()
	choice.ByTime, choice.DrainMemory = true, drainMemory
	s.frontend = proxy.NewFrontend(proxy.FrontendConfig{
		Self: membership.Instance{
			Name:       s.cfg.Name,
			Service:    s.cfg.Service,
			DataCentre: s.cfg.DataCentre,
			Region:     s.cfg.Region,
		},
		Routing:       choice,
		Retry:         policy,
		Seed:          uint64(time.Now().UnixNano()),
		MaxInFlight:   s.cfg.MaxInFlight,
		Dialect:       s.platform.Dialect,
		BufferLimit:   int64(s.cfg.BufferLimit),
		BufferTotal:   int64(s.cfg.MemoryLimit) << 20 / bufferShare,
		WholeAnswers:  wholeAnswers,
		IgnoreKeys:    true,
		Record:        newRecorder(s.log).record,
		CallerService: func() string { return *s.service.Load() },
		BodyLimit:     func() int64 { return s.follower.Limits().BodyBytes },
	}, s.holder, s.follower.Member, proxy.NewHop(s.hop, s.cfg.Upstream.Addr(), s.backend), requests, func() bool { return true })
}

func (s *Sidecar) newFollower() *discovery.Follower {
	cfg := discovery.DefaultConfig()
	cfg.WatchWait, cfg.NewsMaxAge, cfg.NodesPerReader = s.cfg.WatchWait, s.cfg.NewsMaxAge, s.cfg.NodesPerReader
	cfg.Self, cfg.DataCentre, cfg.PeerPort = s.cfg.Upstream, s.cfg.DataCentre, s.cfg.Peers.Port()
	source := s.platform.Source(s.cfg.Store.String())
	return discovery.NewFollower(cfg, source, discovery.PeerClient{Transport: s.hop}, s.holder, s.log, s.directoryChanged)
}

// peerHandler serves other sidecars: their requests and their questions for
// news and status.
func (s *Sidecar) peerHandler() http.Handler {
	news, requests := discovery.NewsHandler(s.follower), proxy.NewPeerHandler(s.backend)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(discovery.HeaderNews) != "":
			news.ServeHTTP(w, r)
		case r.Header.Get(headerStatus) != "":
			s.tellStatus(w)
		default:
			requests.ServeHTTP(w, r)
		}
	})
}

// bind opens the sockets.
func (s *Sidecar) bind() error {
	s.servers.callers = http1.NewServer(http1.Config{Handler: s.frontend, Limits: s.callerLimits, MaxIdle: maxIdleCallers})
	s.servers.peers = http1.NewServer(http1.Config{Handler: s.peerHandler()})
	s.servers.ready = http1.NewServer(http1.Config{Handler: s.readyHandler()})
	s.servers.metrics = http1.NewServer(http1.Config{Handler: s.adminHandler()})
	addresses := []netip.AddrPort{s.cfg.Callers, s.cfg.Peers, s.cfg.Ready}
	if s.cfg.Metrics.IsValid() {
		addresses = append(addresses, s.cfg.Metrics)
	}
	for _, addr := range addresses {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		s.servers.listeners = append(s.servers.listeners, l)
	}
	return nil
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

// callerLimits are the published limits, with defaults for what is not set.
func (s *Sidecar) callerLimits() http1.Limits {
	l := http1.DefaultLimits()
	published := s.follower.Limits()
	if published.HeaderBytes > 0 {
		l.HeaderBytes = published.HeaderBytes
	}
	if published.HeaderTimeout > 0 {
		l.HeaderTimeout = published.HeaderTimeout
	}
	if published.IdleTimeout > 0 {
		l.IdleTimeout = published.IdleTimeout
	}
	return l
}

// directoryChanged takes over what the store says of the own upstream.
func (s *Sidecar) directoryChanged(d *discovery.Directory) {
	own, ok := d.At(s.cfg.Upstream)
	if ok && own.Slots > 0 {
		s.backend.SetSlots(own.Slots + own.Slots/handOverShare)
	}
}

// Ready reports whether callers may come.
func (s *Sidecar) Ready() bool { return s.holder.Current() != nil && !s.leaving.Load() }

func (s *Sidecar) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(s.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// The course of a shutdown, in parts of the time that the process is given: the
// announcement ends at four eighths at the latest, so that requests which came
// last can still run, and the process ends an eighth before it is killed, as
// timers are late on a slow machine.
const (
	drainParts  = 8
	announceEnd = 4
	drainEnd    = 7
)

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
	group.Go(func() { s.sweepLoop(run) })
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
	s.hop.Close()
	s.upstream.Close()
	s.log.Info("stopped")
	return errors.CombineErrors(err, s.metrics.Close())
}

// drain ends the work of this node without cutting a request.
func (s *Sidecar) drain() {
	began := time.Now()
	end := began.Add(s.cfg.DrainTimeout * drainEnd / drainParts)
	announce := min(s.cfg.DrainAnnounce, s.cfg.DrainTimeout*announceEnd/drainParts)
	s.leaving.Store(true)
	s.log.Info("leaving", "timeout", s.cfg.DrainTimeout)
	// The upstream's slots are used as long as callers may still come.
	time.Sleep(announce - min(announce, peerNotice))
	s.backend.SetLeaving(true)
	time.Sleep(min(announce, peerNotice))
	s.backend.SetDraining(true)
	s.servers.callers.Drain()
	s.servers.peers.Drain()
	s.awaitUntil(end, func() bool { return s.backend.InFlight() == 0 })
	// Nothing runs at the upstream that could still call through this node.
	_ = s.servers.listeners[0].Close()
	s.awaitUntil(end, func() bool { return s.inFlight() == 0 && s.servers.callers.Conns() == 0 })
	if cut := s.inFlight(); cut > 0 {
		s.log.Warn("shutdown timeout cuts requests", "requests", cut)
	}
}

// awaitUntil waits for a condition, until end at the latest.
func (s *Sidecar) awaitUntil(end time.Time, met func() bool) {
	for !met() && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
}

func (s *Sidecar) inFlight() int64 { return s.backend.InFlight() + s.frontend.InFlight() }

func (s *Sidecar) sweepLoop(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.hop.Sweep(now)
			s.upstream.Sweep(now)
			s.frontend.Prune()
			s.gauges()
		}
	}
}

// boolGauge is 1 for true.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func upstreamURL(a netip.AddrPort) *url.URL { return &url.URL{Scheme: "http", Host: a.String()} }

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
	follow := s.follower.Status(time.Now())
	m.Gauge("store_reader").Update(boolGauge(follow.Reader))
	m.Gauge("store_calls").Update(float64(s.follower.Calls()))
	m.Gauge("news_age_seconds").Update(follow.Age.Seconds())
	m.Gauge("store_away_seconds").Update(s.follower.AwayFor(time.Now()).Seconds())
	m.Gauge("upstream_connections_made").Update(float64(s.upstream.Dialed()))
}
