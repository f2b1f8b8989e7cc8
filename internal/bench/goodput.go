package bench

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/fleet"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/standin"
)

// Scenario names the faults that are injected during a goodput run.
type Scenario string

// Scenarios of MeasureGoodput.
const (
	ScenarioPlain   Scenario = "plain"
	ScenarioSlow    Scenario = "one-slow"     // one upstream of the first service takes five times as long per request
	ScenarioLying   Scenario = "one-lying"    // one upstream of the first service reports no load; no policy reads load reports at present
	ScenarioKilled  Scenario = "third-killed" // a third of the upstreams and their nodes are killed
	ScenarioRolling Scenario = "rolling"      // four nodes restart gracefully, one after another
)

// GoodputConfig configures one goodput run.
type GoodputConfig struct {
	Policy            Policy
	Scenario          Scenario
	LoadFraction      float64 // offered request rate as a fraction of capacity
	Duration          time.Duration
	ServiceTimeFactor float64 // factor on the time of each request, so that one machine can run the load
	Seed              uint64
}

// KindResult is the result for one request kind.
type KindResult struct {
	Kind      string  `json:"kind"`
	Sent      int64   `json:"sent"`
	GoodPct   float64 `json:"good_pct"`
	NotRunPct float64 `json:"not_run_pct"`
	Unknown   int64   `json:"unknown"`
	Failed    int64   `json:"failed"`
	P50Ms     float64 `json:"p50_ms"`
	P99Ms     float64 `json:"p99_ms"`
}

// GoodputResult is the result of one run.
type GoodputResult struct {
	Policy             Policy       `json:"policy"`
	Scenario           Scenario     `json:"scenario"`
	Load               float64      `json:"load"`
	Rate               float64      `json:"rate"`
	WeightedGoodputPct float64      `json:"weighted_goodput_pct"` // value of good responses over value of all requests, in percent
	Kinds              []KindResult `json:"kinds"`
	// Duplicates counts request IDs of non-idempotent kinds that ran more than once;
	// UntrueRefusals those that ran although they were refused as not run; Wrong responses that
	// can't be decoded or belong to another request.
	Duplicates     int     `json:"duplicates"`
	UntrueRefusals int     `json:"untrue_refusals"`
	Wrong          int64   `json:"wrong"`
	RunsPerRequest float64 `json:"runs_per_request"`
	RefusalP50Ms   float64 `json:"refusal_p50_ms"`
	RefusalP99Ms   float64 `json:"refusal_p99_ms"`
	Skipped        int64   `json:"skipped"`
}

// routeTimeout is the timeout of every route of the layouts.
const routeTimeout = 2 * time.Second

// warmUpTime is how long the load runs before faults are injected.
const warmUpTime = 2 * time.Second

// slowWorkPercent is the time per request of the slow upstream, in percent of normal.
const slowWorkPercent = 500

// MeasureGoodput measures one policy under one scenario. Nodes, upstreams and load
// generator run in this process.
func MeasureGoodput(ctx context.Context, cfg GoodputConfig) (*GoodputResult, error) {
	layout := standin.Kerbline()
	capacity := 0.0
	for i := range layout.Groups {
		g := &layout.Groups[i]
		g.ServiceTime = time.Duration(float64(g.ServiceTime) * cfg.ServiceTimeFactor)
		capacity += float64(g.Upstreams*g.Slots) / g.ServiceTime.Seconds()
	}
	f, err := fleet.StartReady(ctx, fleet.Config{Placements: layout.Placements(), Table: layout.Table(), Settings: goodputSettings})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	run := &goodputRun{cfg: cfg, layout: layout, fleet: f}
	defer run.close()
	if err := run.findCallerURLs(); err != nil {
		return nil, err
	}
	return run.measure(ctx, cfg.LoadFraction*capacity)
}

func goodputSettings(n *settings.Node) {
	n.LedgerSkew = time.Millisecond
	// A run is shorter than the default settle time, during which the owner of an
	// idempotency key asks all other nodes of the service, dead ones too, before it
	// runs a request.
	n.LedgerSettle = 500 * time.Millisecond
	n.ShutdownAnnounce = 500 * time.Millisecond
}

type goodputRun struct {
	cfg        GoodputConfig
	layout     standin.Layout
	fleet      *fleet.Fleet
	baselines  baselineFleet
	callerURLs []string
}

func (g *goodputRun) close() { g.baselines.close() }

// killedNames returns the placements that ScenarioKilled kills: every third one.
func (g *goodputRun) killedNames() map[string]bool {
	out := make(map[string]bool)
	for i, p := range g.layout.Placements() {
		if i%3 == 1 {
			out[p.Name] = true
		}
	}
	return out
}

// findCallerURLs sets the addresses that the load uses. It leaves out proxies that will
// be killed: a caller runs beside its proxy and would end with it.
func (g *goodputRun) findCallerURLs() error {
	lost := map[string]bool{}
	if g.cfg.Scenario == ScenarioKilled {
		lost = g.killedNames()
	}
	for _, p := range g.layout.Placements() {
		if lost[p.Name] {
			continue
		}
		if g.cfg.Policy == PolicyMesh {
			g.callerURLs = append(g.callerURLs, fleet.CallerURL(g.fleet.Node(p.Name)))
			continue
		}
		b := newBaselineProxy(g.cfg.Policy)
		for _, q := range g.layout.Placements() {
			u, err := url.Parse(g.fleet.UpstreamURL(q.Name))
			if err != nil {
				return err
			}
			b.addUpstream(q.Group.Prefix, u, routeTimeout)
		}
		g.baselines.proxies = append(g.baselines.proxies, httptest.NewServer(b))
	}
	if g.cfg.Policy != PolicyMesh {
		g.callerURLs = g.baselines.urls()
	}
	return nil
}

func (g *goodputRun) measure(ctx context.Context, rate float64) (*GoodputResult, error) {
	load := NewLoad(LoadConfig{
		Targets: g.callerURLs, Streams: capacityStreams(g.layout), Rate: rate, Duration: g.cfg.Duration,
		Timeout: routeTimeout + 500*time.Millisecond, Seed: g.cfg.Seed, MaxInFlight: 20000, KeepIDs: true,
	})
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- g.injectFaults(ctx) }()
	load.Run(ctx)
	if err := <-faultsDone; err != nil {
		return nil, err
	}
	return g.summarise(load, rate), ctx.Err()
}

// capacityStreams divides the load over kinds in proportion to the capacity of their
// services, so that all services are saturated at the same rate.
func capacityStreams(l standin.Layout) []Stream {
	streams := StreamsOfLayout(l)
	total := 0.0
	for i, g := range l.Groups {
		streams[i].Share = float64(g.Upstreams*g.Slots) / g.ServiceTime.Seconds()
		total += streams[i].Share
	}
	for i := range streams {
		streams[i].Share /= total
	}
	return streams
}

// injectFaults injects the scenario's faults while the load runs.
func (g *goodputRun) injectFaults(ctx context.Context) error {
	if g.cfg.Scenario == ScenarioPlain {
		return nil
	}
	select {
	case <-time.After(warmUpTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	first := g.fleet.Upstreams[g.layout.Placements()[0].Name]
	switch g.cfg.Scenario {
	case ScenarioSlow:
		first.SetWorkPercent(slowWorkPercent)
	case ScenarioLying:
		first.SetReportIdle(true)
	case ScenarioKilled:
		for name := range g.killedNames() {
			g.fleet.Kill(name)
		}
	case ScenarioRolling:
		return g.restartNodes(ctx)
	}
	return nil
}

// restartNodes restarts the first four nodes one after another. Callers beside a node
// have no proxy while it restarts. The baseline policies have no nodes to restart.
func (g *goodputRun) restartNodes(ctx context.Context) error {
	if g.cfg.Policy != PolicyMesh {
		return nil
	}
	for _, p := range g.layout.Placements()[:4] {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := g.fleet.RestartNode(p.Name); err != nil {
			return errors.Wrap(err, p.Name)
		}
	}
	return nil
}

func (g *goodputRun) summarise(load *Load, rate float64) *GoodputResult {
	r := &GoodputResult{Policy: g.cfg.Policy, Scenario: g.cfg.Scenario, Load: g.cfg.LoadFraction, Rate: rate, Skipped: load.Skipped.Load()}
	runs := make(map[string]int)
	total := 0
	for _, u := range g.fleet.Upstreams {
		for id, n := range u.Runs() {
			runs[id] += n
			total += n
		}
	}
	offered, earned, sent := 0.0, 0.0, int64(0)
	refusal := newHistogram()
	for i, t := range load.Tallies() {
		offered += t.Weight * float64(t.Sent)
		earned += t.Weight * float64(t.Good)
		sent += t.Sent
		refusal.Merge(t.Refusal)
		r.Wrong += t.Wrong
		r.UntrueRefusals += countRunsAbove(runs, t.NotRunIDs, 0)
		if !g.layout.Groups[i].Idempotent {
			r.Duplicates += countRunsAbove(runs, t.IDs, 1)
		}
		r.Kinds = append(r.Kinds, KindResult{
			Kind: t.Kind, Sent: t.Sent, Unknown: t.Unknown, Failed: t.Failed,
			GoodPct:   100 * float64(t.Good) / float64(max(t.Sent, 1)),
			NotRunPct: 100 * float64(t.NotRun) / float64(max(t.Sent, 1)),
			P50Ms:     millis(t.Latency.ValueAtQuantile(50)),
			P99Ms:     millis(t.Latency.ValueAtQuantile(99)),
		})
	}
	r.WeightedGoodputPct = 100 * earned / max(offered, 1)
	r.RunsPerRequest = float64(total) / float64(max(sent, 1))
	r.RefusalP50Ms, r.RefusalP99Ms = millis(refusal.ValueAtQuantile(50)), millis(refusal.ValueAtQuantile(99))
	return r
}

// RowHeader is the header of the Markdown table whose rows GoodputResult.Row returns.
const RowHeader = "| policy | scenario | load | weighted goodput | good of each kind | p99 of each kind, ms | refusal p50 / p99, ms | runs per request | duplicates | untrue refusals | wrong answers |\n|---|---|---|---|---|---|---|---|---|---|---|"

// Row formats the result as one row of a Markdown table.
func (r *GoodputResult) Row() string {
	var good, p99 []string
	for _, k := range r.Kinds {
		good = append(good, fmt.Sprintf("%s %.1f%%", k.Kind, k.GoodPct))
		p99 = append(p99, fmt.Sprintf("%.0f", k.P99Ms))
	}
	return fmt.Sprintf("| %s | %s | %.1f | %.1f%% | %s | %s | %.1f / %.1f | %.2f | %d | %d | %d |", r.Policy, r.Scenario, r.Load, r.WeightedGoodputPct,
		strings.Join(good, ", "), strings.Join(p99, " / "), r.RefusalP50Ms, r.RefusalP99Ms, r.RunsPerRequest, r.Duplicates, r.UntrueRefusals, r.Wrong)
}

// countRunsAbove counts the IDs that ran more than limit times.
func countRunsAbove(runs map[string]int, ids []string, limit int) int {
	n := 0
	for _, id := range ids {
		if runs[id] > limit {
			n++
		}
	}
	return n
}
