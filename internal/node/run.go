package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/periodic"
)

// Timing of the background work.
const (
	sweepInterval = time.Second
	healthTimeout = 2 * time.Second
	drainPoll     = 20 * time.Millisecond
	// healthLimit bounds the health answer that is read.
	healthLimit = 1024
)

// ErrNoTable reports that a node found neither the platform nor a peer with a
// table in the time allowed.
var ErrNoTable = errors.New("no table")

// Run serves until ctx ends, then shuts down gracefully: it announces the
// leave, refuses new work, lets requests in progress end, and closes. It
// returns an error if a listener fails or no table is found in time.
func (n *Node) Run(ctx context.Context) error {
	// The parts outlive ctx until the drain is over.
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 2)
	var group sync.WaitGroup
	group.Go(func() { n.service.Run(run) })
	group.Go(func() { periodic.Run(run, sweepInterval, n.sweep) })
	group.Go(func() { n.healthLoop(run) })
	group.Go(func() { serve(n.admin.Serve(n.adminListener), failed) })
	group.Go(func() { serve(n.callers.Serve(n.callersListener), failed) })
	n.log.Info("node started", "callers", n.Callers(), "peers", n.endpoint.Addr(), "admin", n.Admin())
	err := n.awaitEnd(ctx, failed)
	if err == nil && !n.aborted.Load() {
		n.drain()
	}
	_ = n.callers.Close()
	_ = n.admin.Close()
	stop()
	n.pool.Close()
	group.Wait()
	n.closeListeners()
	n.log.Info("node stopped")
	return err
}

// Abort makes the end of Run immediate, as if the process were killed: sockets
// are closed without a word to anybody.
func (n *Node) Abort() {
	n.aborted.Store(true)
	_ = n.callers.Close()
	n.endpoint.Abort()
}

func serve(err error, failed chan<- error) {
	if !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// awaitEnd waits for ctx, a failed listener, or the start timeout without a
// table.
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
				return errors.Wrapf(ErrNoTable, "after %s: platform %s and peers gave none", n.cfg.StartTimeout, n.cfg.Platform)
			}
		}
	}
}

// drain ends the work of this node without cutting a request, within the
// shutdown timeout.
func (n *Node) drain() {
	n.leaving.Store(true)
	n.log.Info("leaving", "timeout", n.cfg.DrainTimeout)
	n.service.SetLeaving(true)
	time.Sleep(n.cfg.DrainAnnounce)
	n.backend.SetDraining(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout)
	defer cancel()
	_ = n.callers.Shutdown(ctx)
	for n.backend.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
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
	n.gauges()
}

func (n *Node) gauges() {
	load := n.backend.Load()
	st := n.service.Status()
	s := n.metrics.Scope
	s.Gauge("slots_in_use").Update(float64(load.InUse))
	s.Gauge("requests_waiting").Update(float64(load.Waiting))
	s.Gauge("table_edition").Update(float64(st.Table.Edition))
	s.Gauge("source_age_seconds").Update(float64(st.SourceAge) / float64(time.Second/time.Millisecond))
	s.Gauge("links").Update(float64(st.Links))
	s.Gauge("request_connections").Update(float64(n.pool.Len()))
}

// healthLoop asks the upstream whether it leaves. Any other answer is not
// acted upon: health end points lag or mislead, and the requests themselves
// tell more.
func (n *Node) healthLoop(ctx context.Context) {
	if n.cfg.HealthPath == "" {
		return
	}
	client := &http.Client{Timeout: healthTimeout}
	url := n.cfg.Upstream.JoinPath(n.cfg.HealthPath).String()
	tick := time.NewTicker(n.cfg.HealthPeriod)
	defer tick.Stop()
	was := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n.leaving.Load() {
			return
		}
		draining, err := askDraining(ctx, client, url)
		if err != nil || draining == was {
			continue
		}
		was = draining
		n.log.Info("upstream health", "draining", draining)
		n.backend.SetDraining(draining)
		n.service.SetLeaving(draining)
	}
}

// drainingWord in the health answer says that the upstream leaves.
const drainingWord = "draining"

func askDraining(ctx context.Context, client *http.Client, url string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, healthLimit))
	return strings.Contains(string(b), drainingWord), err
}
