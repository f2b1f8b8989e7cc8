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

// Scenario names what happens during a goodput run.
type Scenario string

// The scenarios.
const (
	ScenarioPlain   Scenario = "plain"
	ScenarioSlow    Scenario = "one-slow"     // one upstream of the first service takes five times as long
	ScenarioLying   Scenario = "one-lying"    // one upstream reports no load; nothing here believes it
	ScenarioKilled  Scenario = "third-killed" // a third of the upstreams and their nodes end without warning
	ScenarioRolling Scenario = "rolling"      // the nodes restart gracefully, one after another
)

// GoodputConfig describes one run.
type GoodputConfig struct {
	Policy   Policy
	Scenario Scenario
	Load     float64 // offered rate over capacity
	For      time.Duration
	Stretch  float64 // factor on the work of each request, to fit one machine
	Seed     uint64
}

// KindResult is the outcome for one kind.
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

// GoodputResult is the outcome of one run.
type GoodputResult struct {
	Policy   Policy       `json:"policy"`
	Scenario Scenario     `json:"scenario"`
	Load     float64      `json:"load"`
	Rate     float64      `json:"rate"`
	Weighted float64      `json:"weighted_goodput_pct"` // worth of good answers over worth offered
	Kinds    []KindResult `json:"kinds"`
	// Duplicates are request IDs of non-idempotent kinds that ran more than
	// once; Untrue are those refused as not run that ran; Wrong are answers cut
	// or not the request's own.
	Duplicates   int     `json:"duplicates"`
	Untrue       int     `json:"untrue_refusals"`
	Wrong        int64   `json:"wrong"`
	RunsPerSent  float64 `json:"runs_per_request"`
	RefusalP50Ms float64 `json:"refusal_p50_ms"`
	RefusalP99Ms float64 `json:"refusal_p99_ms"`
	Skipped      int64   `json:"skipped"`
}

// routeTimeout is the time limit of every route of the layouts.
const routeTimeout = 2 * time.Second

// warmUp is how long a run goes before its faults begin.
const warmUp = 2 * time.Second

// slowPercent is the speed of the slow upstream.
const slowPercent = 500

// MeasureGoodput runs one policy under one scenario, all in this process.
func MeasureGoodput(ctx context.Context, cfg GoodputConfig) (*GoodputResult, error) {
	layout := standin.Kerbline()
	capacity := 0.0
	for i := range layout.Groups {
		g := &layout.Groups[i]
		g.Work = time.Duration(float64(g.Work) * cfg.Stretch)
		capacity += float64(g.Targets*g.Slots) / g.Work.Seconds()
	}
	f, err := fleet.StartReady(ctx, fleet.Config{Placements: layout.Placements(), Table: layout.Table(), Settings: goodputSettings})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	run := &goodputRun{cfg: cfg, layout: layout, fleet: f}
	defer run.close()
	if err := run.targets(); err != nil {
		return nil, err
	}
	return run.measure(ctx, cfg.Load*capacity)
}

func goodputSettings(n *settings.Node) {
	n.LedgerSkew = time.Millisecond
	// The runs are shorter than the settle time, in which a home asks all its
	// siblings, dead ones too, before it runs a key.
	n.LedgerSettle = 500 * time.Millisecond
	n.DrainAnnounce = 500 * time.Millisecond
}

type goodputRun struct {
	cfg    GoodputConfig
	layout standin.Layout
	fleet  *fleet.Fleet
	plain  baselineFleet
	urls   []string
}

func (g *goodputRun) close() { g.plain.close() }

// victims are the placements that ScenarioKilled ends, a third of them.
func (g *goodputRun) victims() map[string]bool {
	out := make(map[string]bool)
	for i, p := range g.layout.Placements() {
		if i%3 == 1 {
			out[p.Name] = true
		}
	}
	return out
}

// targets finds the addresses that callers use. Callers know which proxies
// end, as those stand beside them; they use the others from the start.
func (g *goodputRun) targets() error {
	lost := map[string]bool{}
	if g.cfg.Scenario == ScenarioKilled {
		lost = g.victims()
	}
	for _, p := range g.layout.Placements() {
		if lost[p.Name] {
			continue
		}
		if g.cfg.Policy == PolicyMesh {
			g.urls = append(g.urls, fleet.CallerURL(g.fleet.Node(p.Name)))
			continue
		}
		b := newBaseline(g.cfg.Policy)
		for _, q := range g.layout.Placements() {
			u, err := url.Parse(g.fleet.UpstreamURL(q.Name))
			if err != nil {
				return err
			}
			b.add(q.Group.Prefix, u, routeTimeout)
		}
		g.plain.proxies = append(g.plain.proxies, httptest.NewServer(b))
	}
	if g.cfg.Policy != PolicyMesh {
		g.urls = g.plain.urls()
	}
	return nil
}

func (g *goodputRun) measure(ctx context.Context, rate float64) (*GoodputResult, error) {
	load := NewLoad(LoadConfig{
		Targets: g.urls, Streams: capacityStreams(g.layout), Rate: rate, For: g.cfg.For,
		Timeout: routeTimeout + 500*time.Millisecond, Seed: g.cfg.Seed, MaxInFlight: 20000, KeepIDs: true,
	})
	faults := make(chan error, 1)
	go func() { faults <- g.faults(ctx) }()
	load.Run(ctx)
	if err := <-faults; err != nil {
		return nil, err
	}
	return g.result(load, rate), ctx.Err()
}

// capacityStreams shares the load over kinds as the capacity is shared, so
// that all services reach their limit together.
func capacityStreams(l standin.Layout) []Stream {
	streams := StreamsOf(l)
	total := 0.0
	for i, g := range l.Groups {
		streams[i].Share = float64(g.Targets*g.Slots) / g.Work.Seconds()
		total += streams[i].Share
	}
	for i := range streams {
		streams[i].Share /= total
	}
	return streams
}

// faults makes the scenario's faults happen while the load runs.
func (g *goodputRun) faults(ctx context.Context) error {
	if g.cfg.Scenario == ScenarioPlain || g.cfg.Scenario == ScenarioLying {
		return nil
	}
	select {
	case <-time.After(warmUp):
	case <-ctx.Done():
		return ctx.Err()
	}
	switch g.cfg.Scenario {
	case ScenarioSlow:
		g.fleet.Upstreams[g.layout.Placements()[0].Name].SetSlowdown(slowPercent)
	case ScenarioKilled:
		for name := range g.victims() {
			g.fleet.Kill(name)
		}
	case ScenarioRolling:
		return g.roll(ctx)
	}
	return nil
}

// roll restarts the nodes one after another. Callers beside a node that
// restarts lose their proxy for that time.
func (g *goodputRun) roll(ctx context.Context) error {
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

func (g *goodputRun) result(load *Load, rate float64) *GoodputResult {
	r := &GoodputResult{Policy: g.cfg.Policy, Scenario: g.cfg.Scenario, Load: g.cfg.Load, Rate: rate, Skipped: load.Skipped.Load()}
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
		r.Untrue += ranOf(runs, t.NotRunIDs, 0)
		if !g.layout.Groups[i].Idempotent {
			r.Duplicates += ranOf(runs, t.IDs, 1)
		}
		r.Kinds = append(r.Kinds, KindResult{
			Kind: t.Kind, Sent: t.Sent, Unknown: t.Unknown, Failed: t.Failed,
			GoodPct:   100 * float64(t.Good) / float64(max(t.Sent, 1)),
			NotRunPct: 100 * float64(t.NotRun) / float64(max(t.Sent, 1)),
			P50Ms:     millis(t.Latency.ValueAtQuantile(50)),
			P99Ms:     millis(t.Latency.ValueAtQuantile(99)),
		})
	}
	r.Weighted = 100 * earned / max(offered, 1)
	r.RunsPerSent = float64(total) / float64(max(sent, 1))
	r.RefusalP50Ms, r.RefusalP99Ms = millis(refusal.ValueAtQuantile(50)), millis(refusal.ValueAtQuantile(99))
	return r
}

// RowHeader heads the rows of GoodputResult.Row.
const RowHeader = "| policy | scenario | load | weighted goodput | good of each kind | p99 of each kind, ms | refusal p50 / p99, ms | runs per request | duplicates | untrue refusals | wrong answers |\n|---|---|---|---|---|---|---|---|---|---|---|"

// Row formats the result as one row of a Markdown table.
func (r *GoodputResult) Row() string {
	var good, p99 []string
	for _, k := range r.Kinds {
		good = append(good, fmt.Sprintf("%s %.1f%%", k.Kind, k.GoodPct))
		p99 = append(p99, fmt.Sprintf("%.0f", k.P99Ms))
	}
	return fmt.Sprintf("| %s | %s | %.1f | %.1f%% | %s | %s | %.1f / %.1f | %.2f | %d | %d | %d |", r.Policy, r.Scenario, r.Load, r.Weighted,
		strings.Join(good, ", "), strings.Join(p99, " / "), r.RefusalP50Ms, r.RefusalP99Ms, r.RunsPerSent, r.Duplicates, r.Untrue, r.Wrong)
}

// ranOf counts the IDs that ran more than limit times.
func ranOf(runs map[string]int, ids []string, limit int) int {
	n := 0
	for _, id := range ids {
		if runs[id] > limit {
			n++
		}
	}
	return n
}
