package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// sharedQuarantine is the quarantine of a sidecar: it tracks the requests under which
// upstreams crashed, for all requests of this sidecar, and keeps its records in sync with
// other sidecars.
type sharedQuarantine struct {
	log     *log.Logger
	limiter *logLimiter
	refused tally.Counter
	peers   *quarantinePeers
	// pushNow and pushSoon request a push of changed records to other sidecars. pushed
	// signals that one has started.
	pushNow, pushSoon, pushed chan struct{}

	mu      sync.Mutex // guards the fields below
	tracker *quarantine.Tracker
}

func newSharedQuarantine(s *Sidecar) *sharedQuarantine {
	cfg := quarantine.DefaultConfig()
	cfg.Seed = rand.Uint64()
	return &sharedQuarantine{
		log:     s.log,
		limiter: newLogLimiter(),
		refused: s.metrics.Scope.Counter("quarantine_refusals"),
		peers: &quarantinePeers{
			client:  s.peerClient,
			members: s.follower.Members,
			self:    s.cfg.Upstream.Addr(),
			service: func() string { return *s.service.Load() },
		},
		pushNow:  make(chan struct{}, 1),
		pushSoon: make(chan struct{}, 1),
		pushed:   make(chan struct{}, 1),
		tracker:  quarantine.NewTracker(cfg),
	}
}

// notify sends to a channel of capacity 1, unless a notification is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// upstreamCrashed records a crash of the own upstream.
func (q *sharedQuarantine) upstreamCrashed(c proxy.Crash) {
	q.mu.Lock()
	q.tracker.UpstreamCrashed(clock.Now(), c.ID, q.peers.service(), c.Requests)
	q.mu.Unlock()
	notify(q.pushNow)
}

// Check implements proxy.Quarantine.
func (q *sharedQuarantine) Check(fp quarantine.Fingerprint, service string) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Check(clock.Now(), fp, service)
}

// Start implements proxy.Quarantine.
func (q *sharedQuarantine) Start(fp quarantine.Fingerprint, service string) quarantine.Verdict {
	q.mu.Lock()
	v := q.tracker.Start(clock.Now(), fp, service)
	q.mu.Unlock()
	if v.Probe {
		notify(q.pushNow)
		q.log.Warn("request tried again", "fingerprint", fp.String(), "service", service, "falls", v.Crashes)
	}
	return v
}

// Answered implements proxy.Quarantine.
func (q *sharedQuarantine) Answered(fp quarantine.Fingerprint, service string) {
	q.mu.Lock()
	cleared := q.tracker.Answered(clock.Now(), fp, service)
	q.mu.Unlock()
	if cleared {
		notify(q.pushSoon)
	}
}

// Refused implements proxy.Quarantine.
func (q *sharedQuarantine) Refused(fp quarantine.Fingerprint, service string, v quarantine.Verdict, info quarantine.RequestInfo) {
	q.refused.Inc(1)
	q.mu.Lock()
	first := q.tracker.Refused(clock.Now(), fp, service, info)
	q.mu.Unlock()
	if !first {
		return
	}
	suppressed, ok := q.limiter.allow()
	if !ok {
		return
	}
	q.log.Warn("request held back",
		"fingerprint", fp.String(),
		"service", service,
		"falls", v.Crashes,
		"tried_again", v.After,
		"method", info.Method,
		"host", info.Host,
		"target", info.Target,
		"customer", info.Tenant,
		"left_out", suppressed,
	)
}

// release lifts the quarantine of a request here and at all other sidecars. It reports
// whether the request was quarantined here.
func (q *sharedQuarantine) release(ctx context.Context, fp quarantine.Fingerprint) bool {
	q.mu.Lock()
	released := q.tracker.Release(clock.Now(), fp)
	q.mu.Unlock()
	if released {
		q.log.Warn("request released", "fingerprint", fp.String())
		q.push(ctx, slices.Concat(q.peers.siblings()))
	}
	return released
}

// requests returns the requests that are quarantined now.
func (q *sharedQuarantine) requests(now time.Time) []quarantine.QuarantinedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Quarantined(now)
}

func (q *sharedQuarantine) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Sweep(now)
}
