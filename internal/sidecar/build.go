package sidecar

import (
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
)

// Sizes and limits of the request path.
const (
	// expectContinueAbove is the body length in bytes above which a request to a peer waits
	// for its admission (Expect: 100-continue) before the body is sent, so that refused
	// uploads cost no bandwidth.
	expectContinueAbove = 8 << 10
	// responseBufferLimit is the longest response, in bytes, that is buffered before it is
	// forwarded. Usual responses have a few KB.
	responseBufferLimit = 64 << 10
	// dialTimeout bounds the dialling of a peer: about 200 round trips between data
	// centres, and short enough to leave time for another peer.
	dialTimeout = 300 * time.Millisecond
	// peerUpdateDialTimeout bounds the dialling of an update source. It allows for one
	// lost packet, which is retransmitted after a second, and stays below
	// discovery.Config.PeerTimeout.
	peerUpdateDialTimeout = 1500 * time.Millisecond
	// maxIdleCallerConns bounds the idle connections of callers: a few for each caller on
	// the machine.
	maxIdleCallerConns = 256
	// peerNoticePeriod is the time for which the responses of a leaving node announce to
	// its peers that it is about to refuse their requests. It is enough for a few
	// responses to each peer.
	peerNoticePeriod = 500 * time.Millisecond
	// bufferMemoryDivisor is the memory limit divided by the memory for buffered bodies.
	bufferMemoryDivisor = 4
	// drainReportLifetime is routing.Config.DrainReportLifetime. A sidecar that drains to
	// restart serves the same upstream again within one or two seconds, and the store
	// reports upstreams that leave.
	drainReportLifetime = time.Second
	// freeTries is retry.Policy.FreeTries: one more try may end at a node before it
	// reaches an upstream.
	freeTries = 1
	// slotsPerExtraRequest is the number of slots of the upstream for each request that it
	// is sent beyond its slots. Such a request waits in the upstream's own queue and takes
	// the next free slot without the round trip to this process. Under load this raised
	// the value of the answered requests by 0 to 0.04.
	slotsPerExtraRequest = 6
	// maxReceives is proxy.BackendConfig.MaxReceives. Two bodies saturate a link, the
	// others cover the round trips during which one waits for its sender. Each queues up
	// to a window of 64 KB, which takes 50 ms on a link of 10 Mbit/s.
	maxReceives = 4
	// peerWriteBuffer is the greatest http1.Config.WriteBuffer for connections of other
	// nodes, in bytes. Three long responses at once queue 51 ms on a link of 15 Mbit/s. On
	// such links the limit reduced the forwarded requests that ended without a response from
	// 2,583 to 1,421 a day in a fleet of 61 machines.
	peerWriteBuffer = 32 << 10
	// minPeerWriteBuffer is the least http1.Config.WriteBuffer for connections of other
	// nodes, in bytes. It carries 40 Mbit/s over a round trip of 3 ms.
	minPeerWriteBuffer = 16 << 10
	// writeBufferTime is the time that a link of a known rate takes for a full send buffer.
	// It is as long as the queue that pacing leaves; when the link slows down, what is
	// already in the buffers delays short messages.
	writeBufferTime = 10 * time.Millisecond
	// maxSends is proxy.BackendConfig.MaxSends, chosen like maxReceives.
	maxSends = 3
	// sendBufferLimit is the longest response, in bytes, that is buffered while it waits
	// for the link.
	sendBufferLimit = 1 << 20
	// addedHeadBytes is how much longer a response's head may be on the way between nodes
	// than that of the upstream, in bytes: the node beside the upstream adds its reports.
	addedHeadBytes = 16 << 10
	// queuedPerSlot is the number of requests that may wait for each slot.
	queuedPerSlot = 2
)

// peerUpdateClientConfig returns the settings of the client for peer requests. Its
// connections are separate from those of forwarded requests, which use up all that are
// open. Its dial timeout allows for a lost first packet, as dialling over a saturated link
// takes longer than a request may wait: of six failed peer requests five had no connection
// within dialTimeout.
func peerUpdateClientConfig() http1.ClientConfig {
	c := http1.DefaultClientConfig()
	c.DialTimeout = peerUpdateDialTimeout
	return c
}

// build creates the parts of the sidecar and connects them.
func (s *Sidecar) build() {
	requestMetrics := proxy.NewMetrics(s.metrics.Scope)
	links := proxy.NewLinks(s.cfg.LinkMbps, requestMetrics)
	toUpstream := http1.DefaultClientConfig()
	toUpstream.DialTimeout = dialTimeout
	// The upstream runs on this machine and loses power with it, so missing
	// acknowledgements are no sign of a dead peer. With a timeout, bodies of 1 MB broke
	// off once the upstream had paused reading for 2.5 s.
	toUpstream.UnackedTimeout = 0
	toUpstream.MatchesRequest = s.platform.Dialect.MatchesRequest
	s.upstream = http1.NewClient(toUpstream)
	toPeers := http1.DefaultClientConfig()
	toPeers.ExpectContinueAbove, toPeers.DialTimeout = expectContinueAbove, dialTimeout
	toPeers.HeadBytes += addedHeadBytes
	s.peerClient = http1.NewClient(toPeers)
	s.peerUpdateClient = http1.NewClient(peerUpdateClientConfig())
	s.follower = s.newFollower()
	s.quarantined = newSharedQuarantine(s)
	s.quotas = newCustomerQuotas(s)
	s.backend = proxy.NewBackend(proxy.BackendConfig{
		Upstream:            upstreamURL(s.cfg.Upstream),
		Slots:               s.cfg.Slots,
		QueueLimit:          queuedPerSlot * s.cfg.Slots,
		Ledger:              ledger.DefaultConfig(),
		Dialect:             s.platform.Dialect,
		Transport:           newHeaderLogger(s.upstream, s.log),
		OnConnect:           func(ok bool) { s.guard.onConnect(ok) },
		OnLimit:             s.limitAdvertised,
		OnInvalidLimit:      s.invalidLimit,
		OnInvalidLoad:       s.invalidLoad,
		OnLeaving:           s.leavingAnnounced,
		OnAbandoned:         newAbandonedLog(s.log).record,
		RefusesConnections:  func() bool { return connectionRefused(s.cfg.Upstream.String()) },
		OnCrash:             s.upstreamCrashed,
		PeerLoads:           func(service, upstream string) string { return s.frontend.PeerLoads(service, upstream) },
		Quarantine:          s.quarantined,
		ResponseBufferLimit: responseBufferLimit,
		MaxReceives:         maxReceives,
		MaxReceivedBody:     int64(s.cfg.BufferLimit),
		MaxSends:            maxSends,
		Links:               links,
		SendBufferLimit:     sendBufferLimit,
		SendBufferTotal:     int64(s.cfg.MemoryLimit) << 20 / bufferMemoryDivisor,
	}, s.holder, nil, requestMetrics, clock.Now())

	s.guard = newColdGuard(s)

	policy := retry.DefaultPolicy()
	policy.Ratio, policy.Reserve, policy.FreeTries = s.cfg.RetryRatio, float64(s.cfg.RetryReserve), freeTries
	routingConfig := routing.DefaultConfig()
	routingConfig.ByExpectedTime, routingConfig.ColdFromMembers, routingConfig.DrainReportLifetime = true, true, drainReportLifetime
	s.frontend = proxy.NewFrontend(proxy.FrontendConfig{
		Self: membership.Instance{
			Name:       s.cfg.Name,
			Service:    s.cfg.Service,
			DataCentre: s.cfg.DataCentre,
			Region:     s.cfg.Region,
		},
		Routing:             routingConfig,
		Retry:               policy,
		Seed:                uint64(clock.Now().UnixNano()),
		MaxInFlight:         s.cfg.MaxInFlight,
		Links:               links,
		Dialect:             s.platform.Dialect,
		BufferLimit:         int64(s.cfg.BufferLimit),
		BufferTotal:         int64(s.cfg.MemoryLimit) << 20 / bufferMemoryDivisor,
		ResponseBufferLimit: responseBufferLimit,
		ShutdownBufferLimit: sendBufferLimit,
		ShutdownBufferTotal: int64(s.cfg.MemoryLimit) << 20 / bufferMemoryDivisor,
		IgnoreKeys:          true,
		Record:              newRequestLog(s.log).record,
		OnAbandoned:         newAbandonedLog(s.log).record,
		CallerService:       func() string { return *s.service.Load() },
		Staleness:           s.follower.Staleness,
		TableAge:            s.follower.TableAge,
		Quarantine:          s.quarantined,
		Quota:               s.quotas,
		BodyLimit:           func() int64 { return s.follower.Limits().BodyBytes },
	}, s.holder, s.follower.Member, proxy.NewHTTP1Dispatcher(s.peerClient, s.cfg.Upstream.Addr(), s.backend), requestMetrics, func() bool { return true })
}

func (s *Sidecar) newFollower() *discovery.Follower {
	source := s.platform.Source(s.cfg.Store.String())
	return discovery.NewFollower(s.cfg.Discovery(), source, discovery.PeerClient{Transport: s.peerUpdateClient}, s.holder, s.log, s.directoryChanged)
}

// peerHandler serves other sidecars: forwarded requests, peer requests, quarantine
// messages, borrow requests and status requests.
func (s *Sidecar) peerHandler() http.Handler {
	updates, forwarded := discovery.PeerUpdateHandler(s.follower), proxy.NewPeerHandler(s.backend)
	quarantine, quotas := http.HandlerFunc(s.quarantined.serve), http.HandlerFunc(s.quotas.serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(discovery.HeaderPeerUpdate) != "":
			updates.ServeHTTP(w, r)
		case r.Header.Get(headerQuarantine) != "":
			quarantine.ServeHTTP(w, r)
		case r.Header.Get(headerQuota) != "":
			quotas.ServeHTTP(w, r)
		case r.Header.Get(headerStatus) != "":
			s.serveStatus(w)
		default:
			forwarded.ServeHTTP(w, r)
		}
	})
}

// writeBufferFor returns the send buffer, in bytes, of connections of other nodes over a
// link of the given rate; 0 means that the rate is not known.
func writeBufferFor(mbps float64) int {
	if mbps <= 0 {
		return peerWriteBuffer
	}
	return int(min(max(mbps*1e6/8*writeBufferTime.Seconds(), minPeerWriteBuffer), peerWriteBuffer))
}

// bind opens the listening sockets.
func (s *Sidecar) bind() error {
	s.servers.callers = http1.NewServer(http1.Config{
		Handler:   s.frontend,
		Limits:    s.callerLimits,
		MaxIdle:   maxIdleCallerConns,
		MaxConns:  maxCallerConns(s.cfg.MaxCallerConnections),
		OnConnEnd: newConnEndRecorder(s.log, s.metrics.Scope, "callers", s.state).record,
	})
	s.servers.peers = http1.NewServer(http1.Config{
		Handler:     s.peerHandler(),
		WriteBuffer: writeBufferFor(s.cfg.LinkMbps),
		OnConnEnd:   newConnEndRecorder(s.log, s.metrics.Scope, "nodes", s.state).record,
	})
	s.servers.ready = http1.NewServer(http1.Config{Handler: s.readyHandler()})
	s.servers.metrics = http1.NewServer(http1.Config{Handler: s.adminHandler()})
	addresses := []netip.AddrPort{s.cfg.Callers, s.cfg.Peers, s.cfg.Ready}
	if s.cfg.Metrics.IsValid() {
		addresses = append(addresses, s.cfg.Metrics)
	}
	for _, addr := range addresses {
		l, err := listen(addr, s.cfg.Callers)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		s.servers.listeners = append(s.servers.listeners, l)
	}
	return nil
}

// listen opens a listening socket. That of the callers, who are not controlled, holds
// little of what they send before their connections are accepted.
func listen(addr, callers netip.AddrPort) (net.Listener, error) {
	if addr == callers {
		return http1.Listen(addr.String())
	}
	return net.Listen("tcp", addr.String())
}

// callerLimits returns the published limits, with defaults for those that are not
// published.
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

// maxCallerConns returns the number of callers' connections: the configured one, and at
// most half of the descriptors, so that the connections of the process itself have the
// others.
func maxCallerConns(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur == 0 {
		return configured
	}
	return int(min(uint64(configured), max(limit.Cur/2, 1)))
}

func (s *Sidecar) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(s.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func upstreamURL(a netip.AddrPort) *url.URL { return &url.URL{Scheme: "http", Host: a.String()} }
