package sidecar

import (
	"net"
	"net/http"
	"net/netip"
	"net/url"
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
	// expectFrom is the length of a body from which a peer is asked for
	// admission before the body is sent, so that refused uploads cost nothing.
	expectFrom = 8 << 10
	// wholeAnswers is the longest answer read to its end before it is passed
	// on; the usual ones have a few KB.
	wholeAnswers = 64 << 10
	// dialTimeout bounds a new connection inside the fleet: some 200 round trips
	// between data centres, and short enough to go elsewhere in time.
	dialTimeout = 300 * time.Millisecond
	// newsDialTimeout bounds a new connection to a source of news: one packet lost
	// is sent again after a second. It stays under discovery.Config.NewsTimeout.
	newsDialTimeout = 1500 * time.Millisecond
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
	// peerWriteBuffer is http1.Config.WriteBuffer towards other nodes, in bytes:
	// with three long answers at once 51 ms of a link of 15 Mbit/s. Hand-overs
	// that ended without an answer: 2,583 before, 1,421 after on a day of 61
	// machines with such links (one play each).
	peerWriteBuffer = 32 << 10
	// senders is proxy.BackendConfig.Senders, as receivers for what is sent.
	senders = 3
	// answerLimit is the longest answer kept for its turn on the link, in bytes.
	answerLimit = 1 << 20
	// queueFactor is the number of requests that may wait per slot.
	queueFactor = 2
)

// newsClient returns the settings of the connections for questions to the sources
// of news. They are kept apart from those of requests, which take all that are
// there, and have time for a lost first packet: behind a full link a new one takes
// longer than a request may wait. Of six questions that failed on a day of 61
// machines five had no connection within dialTimeout (one play).
func newsClient() http1.ClientConfig {
	c := http1.DefaultClientConfig()
	c.DialTimeout = newsDialTimeout
	return c
}

func (s *Sidecar) build() {
	requests := proxy.NewMetrics(s.metrics.Scope)
	toUpstream := http1.DefaultClientConfig()
	toUpstream.DialTimeout = dialTimeout
	// The upstream is on this machine and loses power with it. One that reads a long
	// body late is no dead peer: bodies of 1 MB broke off after 2.5 s of a reader's pause.
	toUpstream.UnackedTimeout = 0
	toUpstream.MatchesRequest = s.platform.Dialect.MatchesRequest
	s.upstream = http1.NewClient(toUpstream)
	toPeers := http1.DefaultClientConfig()
	toPeers.ExpectContinueAbove, toPeers.DialTimeout = expectFrom, dialTimeout
	s.hop = http1.NewClient(toPeers)
	s.news = http1.NewClient(newsClient())
	s.follower = s.newFollower()
	s.held = newHeldRequests(s)
	s.quotas = newCustomerQuotas(s)
	s.backend = proxy.NewBackend(proxy.BackendConfig{
		Upstream:            upstreamURL(s.cfg.Upstream),
		Slots:               s.cfg.Slots,
		QueueLimit:          queueFactor * s.cfg.Slots,
		Ledger:              ledger.DefaultConfig(),
		Dialect:             s.platform.Dialect,
		Transport:           s.upstream,
		OnConnect:           func(ok bool) { s.guard.reached(ok) },
		RefusesConnections:  func() bool { return refuses(s.cfg.Upstream.String()) },
		OnCrash:             s.fell,
		Quarantine:          s.held,
		ResponseBufferLimit: wholeAnswers,
		MaxReceives:         receivers,
		MaxReceivedBody:     int64(s.cfg.BufferLimit),
		MaxSends:            senders,
		SendBufferLimit:     answerLimit,
		SendBufferTotal:     int64(s.cfg.MemoryLimit) << 20 / bufferShare,
	}, s.holder, nil, requests, clock.Now())

	s.guard = newColdGuard(s)

	policy := retry.DefaultPolicy()
	policy.Ratio, policy.Reserve, policy.FreeTries = s.cfg.RetryRatio, float64(s.cfg.RetryReserve), freeTries
	choice := routing.DefaultConfig()
	choice.ByExpectedTime, choice.ColdFromMembers, choice.DrainReportLifetime = true, true, drainMemory
	s.frontend = proxy.NewFrontend(proxy.FrontendConfig{
		Self: membership.Instance{
			Name:       s.cfg.Name,
			Service:    s.cfg.Service,
			DataCentre: s.cfg.DataCentre,
			Region:     s.cfg.Region,
		},
		Routing:             choice,
		Retry:               policy,
		Seed:                uint64(clock.Now().UnixNano()),
		MaxInFlight:         s.cfg.MaxInFlight,
		Dialect:             s.platform.Dialect,
		BufferLimit:         int64(s.cfg.BufferLimit),
		BufferTotal:         int64(s.cfg.MemoryLimit) << 20 / bufferShare,
		ResponseBufferLimit: wholeAnswers,
		ShutdownBufferLimit: answerLimit,
		ShutdownBufferTotal: int64(s.cfg.MemoryLimit) << 20 / bufferShare,
		IgnoreKeys:          true,
		Record:              newRecorder(s.log).record,
		CallerService:       func() string { return *s.service.Load() },
		Staleness:           s.follower.Staleness,
		TableAge:            s.follower.TableAge,
		Quarantine:          s.held,
		Quota:               s.quotas,
		BodyLimit:           func() int64 { return s.follower.Limits().BodyBytes },
	}, s.holder, s.follower.Member, proxy.NewHTTP1Dispatcher(s.hop, s.cfg.Upstream.Addr(), s.backend), requests, func() bool { return true })
}

func (s *Sidecar) newFollower() *discovery.Follower {
	source := s.platform.Source(s.cfg.Store.String())
	return discovery.NewFollower(s.cfg.Discovery(), source, discovery.PeerClient{Transport: s.news}, s.holder, s.log, s.directoryChanged)
}

// peerHandler serves other sidecars: their requests and their questions for
// news and status.
func (s *Sidecar) peerHandler() http.Handler {
	news, requests := discovery.PeerUpdateHandler(s.follower), proxy.NewPeerHandler(s.backend)
	held, quotas := http.HandlerFunc(s.held.answer), http.HandlerFunc(s.quotas.answer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(discovery.HeaderPeerUpdate) != "":
			news.ServeHTTP(w, r)
		case r.Header.Get(headerQuarantine) != "":
			held.ServeHTTP(w, r)
		case r.Header.Get(headerQuota) != "":
			quotas.ServeHTTP(w, r)
		case r.Header.Get(headerStatus) != "":
			s.tellStatus(w)
		default:
			requests.ServeHTTP(w, r)
		}
	})
}

// bind opens the sockets.
func (s *Sidecar) bind() error {
	s.servers.callers = http1.NewServer(http1.Config{
		Handler:   s.frontend,
		Limits:    s.callerLimits,
		MaxIdle:   maxIdleCallers,
		OnConnEnd: newEnds(s.log, s.metrics.Scope, "callers", s.state).ended,
	})
	s.servers.peers = http1.NewServer(http1.Config{
		Handler:     s.peerHandler(),
		WriteBuffer: peerWriteBuffer,
		OnConnEnd:   newEnds(s.log, s.metrics.Scope, "nodes", s.state).ended,
	})
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
