package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/proxy"
)

// coldGuard limits the rate of requests to the own upstream while that is cold. It goes by
// what is published about the upstream, by whether it can be connected to, and by its own
// reports.
type coldGuard struct {
	address   string // of the upstream, with the scheme
	dialect   proxy.Dialect
	upstream  *http1.Client
	follower  *discovery.Follower
	backend   *proxy.Backend
	service   func() string
	log       *log.Logger
	startedAt time.Time // when this process started

	sentSinceProbe atomic.Int64 // requests sent to the upstream since the last probe began
	probing        atomic.Bool  // a probe of probeAsync is in progress
	unreachable    atomic.Bool  // the last connection attempt failed

	ctx  context.Context // of the probes
	stop context.CancelFunc

	mu     sync.Mutex // guards the fields below
	period coldPeriod
}

// newColdGuard returns the guard of a sidecar whose other parts are built.
func newColdGuard(s *Sidecar) *coldGuard {
	g := &coldGuard{
		address:   upstreamURL(s.cfg.Upstream).String(),
		dialect:   s.platform.Dialect,
		upstream:  s.upstream,
		follower:  s.follower,
		backend:   s.backend,
		service:   func() string { return *s.service.Load() },
		log:       s.log,
		startedAt: clock.Now(),
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// applyPublished applies what is published about the own upstream. The caller holds the
// follower's lock.
func (g *coldGuard) applyPublished(own discovery.KnownUpstream) {
	coldStart := g.follower.ColdStart(own.Service)
	g.backend.SetColdRate(coldStart.Rate)
	if coldStart.Rate <= 0 {
		return
	}
	g.startCold(coldNodeStart, g.startedAt, g.startedAt.Add(coldStart.Duration))
	if own.ColdFrom.IsZero() {
		return
	}
	cause := coldPublished
	if own.ColdFor == 0 {
		cause = coldAfterEvacuation
	}
	g.startCold(cause, own.ColdFrom, own.ColdUntil)
}

// startCold applies a cause and limits the requests to the own upstream from now on. It
// probes the upstream, unless the upstream's published entry is the cause.
func (g *coldGuard) startCold(cause coldCause, from, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.period.start(from, until) {
		return
	}
	g.backend.SetCold(g.period.until)
	g.log.Info("own upstream cold", "cause", string(cause), "left", clock.Until(g.period.until))
	if cause != coldPublished {
		go g.probeWithRetries()
	}
}

// onConnect handles the result of connecting to the own upstream for a request. An
// upstream that can be connected to again after a failure may be a new process, or the
// same process that is cold now.
func (g *coldGuard) onConnect(ok bool) {
	if !ok {
		g.unreachable.Store(true)
		return
	}
	coldStart := g.follower.ColdStart(g.service())
	if coldStart.Rate <= 0 {
		return
	}
	if g.unreachable.Load() && g.unreachable.Swap(false) {
		now := clock.Now()
		g.startCold(coldAfterReconnect, now, now.Add(coldStart.Duration))
	}
	if g.sentSinceProbe.Add(1) >= int64(coldStart.Rate) {
		g.probeAsync()
	}
}

// probeAsync probes the own upstream in the background, unless a probe is in progress.
//
// An upstream may turn cold at any time, and its entry in the store shows it one or two
// seconds late. It is therefore probed each time it has received as many requests as it
// can serve in a second when cold. Before this node knows, a cold upstream receives at
// most that number and the requests sent until it responds, and the rate limit counts
// these requests. Without such probes 61 to 75 requests a second reached upstreams that
// had turned cold and could serve 10, with them at most 10. Each probe occupies a slot for
// some milliseconds.
func (g *coldGuard) probeAsync() {
	if g.probing.Swap(true) {
		return
	}
	go func() {
		defer g.probing.Store(false)
		g.sentSinceProbe.Store(0)
		_ = g.probe() // after a failure the next requests start another probe
	}()
}

// Limits of the probes of the own upstream.
const (
	// probeTimeout bounds a probe. A probe takes a slot as any request does, so under load
	// its response takes up to a few run times.
	probeTimeout = 500 * time.Millisecond
	// probeRetryDelay is the delay after a failed probe.
	probeRetryDelay = 300 * time.Millisecond
	// maxProbes bounds the number of probes: each occupies a slot for some milliseconds,
	// and the time during which the upstream can be cold is soon over.
	maxProbes = 3
)

// probeWithRetries probes the own upstream, up to maxProbes times, until it reports for
// how long it stays cold.
func (g *coldGuard) probeWithRetries() {
	for try := 1; ; try++ {
		err := g.probe()
		if err == nil {
			return
		}
		if try == maxProbes || g.ctx.Err() != nil {
			g.log.Info("own upstream does not say whether it is cold", "err", err)
			return
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(probeRetryDelay):
		}
	}
}

// probe probes the own upstream once and applies its report.
func (g *coldGuard) probe() error {
	probedAt := clock.Now()
	remaining, err := g.fetchColdRemaining()
	if err == nil {
		g.applyReport(probedAt, remaining)
	}
	return err
}

// applyReport applies a report of the upstream and logs whether it turned cold or warm.
func (g *coldGuard) applyReport(probedAt time.Time, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	wasCold := now.Before(g.period.until)
	g.period.applyReport(probedAt, now, remaining)
	g.backend.SetCold(g.period.until)
	if cold := now.Before(g.period.until); cold != wasCold {
		g.log.Info("own upstream told whether it is cold", "cold", cold, "left", remaining)
	}
}

// maxProbeBody is the longest body of a response to a probe that is read, in bytes. The
// connection of a longer one is closed.
const maxProbeBody = 4 << 10

// errNoColdReport reports a response that does not say for how long the upstream stays
// cold.
var errNoColdReport = errors.New("response does not report the remaining cold time")

func (g *coldGuard) fetchColdRemaining() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	path := g.follower.ColdStart(g.service()).HealthPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.address+path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "probe own upstream")
	}
	g.backend.RecordProbe()
	resp, err := g.upstream.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrap(err, "probe own upstream")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBody) // so that the connection can be reused
	remaining, ok := g.dialect.ColdRemaining(resp.Header)
	if !ok {
		return 0, errors.Wrap(errNoColdReport, resp.Status)
	}
	return remaining, nil
}
