package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/periodic"
)

// Intervals and limits of the background tasks.
const (
	sweepInterval     = time.Second
	healthTimeout     = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// maxHealthBytes bounds how much of a health response is read.
	maxHealthBytes = 1024
)

// ErrNoTable reports that a node got no table from the platform or a peer within the
// start timeout.
var ErrNoTable = errors.New("no table")

// Run serves until ctx ends, then shuts down gracefully: it announces that it is
// leaving, refuses new requests, waits for those in flight, and closes. It returns an
// error if a listener fails, or ErrNoTable if no table arrives within the start timeout.
func (n *Node) Run(ctx context.Context) error {
	// The background tasks go on after ctx ends, until draining is over.
	runCtx, stopRun := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRun()
	failed := make(chan error, 2)
	var parts sync.WaitGroup
	parts.Go(func() { n.service.Run(runCtx) })
	parts.Go(func() { periodic.Run(runCtx, sweepInterval, n.sweep) })
	parts.Go(func() { n.healthLoop(runCtx) })
	parts.Go(func() { reportServeError(n.admin.Serve(n.adminListener), failed) })
	parts.Go(func() { reportServeError(n.callers.Serve(n.callersListener), failed) })
	n.log.Info("node started", "callers", n.Callers(), "peers", n.endpoint.Addr(), "admin", n.Admin())
	err := n.awaitEnd(ctx, failed)
	if err == nil && !n.aborted.Load() {
		n.drainAndWait()
	}
	_ = n.callers.Close()
	_ = n.admin.Close()
	stopRun()
	n.pool.Close()
	parts.Wait()
	n.closeListeners()
	n.log.Info("node stopped")
	return err
}

// Abort closes the sockets without notifying callers or peers, as if the process were
// killed. Run then doesn't drain when its context ends.
func (n *Node) Abort() {
	n.aborted.Store(true)
	_ = n.callers.Close()
	n.endpoint.Abort()
}

func reportServeError(err error, failed chan<- error) {
	if !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// awaitEnd waits until ctx ends (nil), a listener fails, or the start timeout expires
// while the node has no table (ErrNoTable).
func (n *Node) awaitEnd(ctx context.Context, failed <-chan error) error {
	start := time.NewTimer(n.cfg.StartTimeout)
	defer start.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-start.C:
			if n.holder.Current() == nil {
				return errors.Wrapf(ErrNoTable, "after %s: platform %s and peers returned none", n.cfg.StartTimeout, n.cfg.Platform)
			}
		}
	}
}

// drainAndWait announces the shutdown, refuses new requests and waits for those in
// flight. Requests still in flight at the shutdown timeout are cut and counted.
func (n *Node) drainAndWait() {
	n.leaving.Store(true)
	n.log.Info("leaving", "timeout", n.cfg.ShutdownTimeout)
	n.service.SetLeaving(true)
	time.Sleep(n.cfg.ShutdownAnnounce)
	n.backend.SetDraining(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.ShutdownTimeout)
	defer cancel()
	_ = n.callers.Shutdown(ctx)
	for n.backend.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	if ctx.Err() == nil {
		_ = n.endpoint.Shutdown(ctx)
	}
	if cut := n.backend.InFlight(); cut > 0 {
		n.metrics.Scope.Counter("requests_cut").Inc(cut)
		n.log.Warn("shutdown timeout cuts requests", "requests", cut)
	}
}

func (n *Node) sweep(now time.Time) {
	n.pool.Sweep(now)
	n.frontend.Prune()
	n.updateGauges()
}

func (n *Node) updateGauges() {
	load := n.backend.Load()
	status := n.service.Status()
	s := n.metrics.Scope
	s.Gauge("slots_in_use").Update(float64(load.InUse))
	s.Gauge("requests_waiting").Update(float64(load.Waiting))
	s.Gauge("table_edition").Update(float64(status.Table.Edition))
	s.Gauge("source_age_seconds").Update(float64(status.SourceAge) / float64(time.Second/time.Millisecond))
	s.Gauge("links").Update(float64(status.Links))
	s.Gauge("request_connections").Update(float64(n.pool.Len()))
}

// healthLoop polls the upstream's health endpoint for its draining state. No other health
// state is acted on: health endpoints lag or report wrongly, and the outcome of requests
// is the better signal.
func (n *Node) healthLoop(ctx context.Context) {
	if n.cfg.HealthPath == "" {
		return
	}
	client := newHealthClient()
	defer client.CloseIdleConnections()
	url := n.cfg.Upstream.JoinPath(n.cfg.HealthPath).String()
	tick := time.NewTicker(n.cfg.HealthPeriod)
	defer tick.Stop()
	wasDraining := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n.leaving.Load() {
			return
		}
		draining, err := queryDraining(ctx, client, url)
		if err != nil || draining == wasDraining {
			continue
		}
		wasDraining = draining
		n.log.Info("upstream health", "draining", draining)
		n.backend.SetDraining(draining)
		n.service.SetLeaving(draining)
	}
}

func newHealthClient() *http.Client {
	t := &http.Transport{MaxResponseHeaderBytes: int64(http1.DefaultLimits().HeaderBytes)}
	return &http.Client{Timeout: healthTimeout, Transport: http1.NewCheckedTransport(t, &net.Dialer{Timeout: healthTimeout})}
}

// drainingMarker in a health response means that the upstream is draining.
const drainingMarker = "draining"

func queryDraining(ctx context.Context, client *http.Client, url string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	return strings.Contains(string(b), drainingMarker), err
}
