package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/bench"
	"github.com/walldrift/walldrift/internal/standin"
)

func benchCommand(out IO) *ff.Command {
	return &ff.Command{
		Name:      "bench",
		Usage:     "walldrift bench plan|upstreams|control|latency|goodput|slopes|leaving ...",
		ShortHelp: "plan and measure a fleet of separate processes (see scripts/fleet)",
		Flags:     ff.NewFlagSet("bench"),
		Subcommands: []*ff.Command{
			benchPlan(out), benchUpstreams(out), benchControl(out), benchLatency(out), benchGoodput(out), benchSlopes(out), benchLeaving(out),
		},
	}
}

const planDirHelp = "directory of the plan"

func benchPlan(out IO) *ff.Command {
	fs := ff.NewFlagSet("plan")
	dir := fs.StringLong("dir", "", planDirHelp)
	layout := fs.StringEnumLong("layout", "kerbline, kestrel or synthetic", "kerbline", "kestrel", "synthetic")
	targets := fs.IntLong("targets", 32, "targets of a synthetic layout")
	services := fs.IntLong("services", 4, "services of a synthetic layout")
	centres := fs.IntLong("centres", 4, "data centres of a synthetic layout")
	regions := fs.IntLong("regions", 2, "regions of a synthetic layout")
	rows := fs.IntLong("rows", 0, "upstream rows in the table, if more than targets")
	port := fs.IntLong("port", 20000, "first port")
	overrides := fs.StringListLong("set", "setting added for every node: section.key=value (repeatable)")
	return &ff.Command{
		Name:      "plan",
		Usage:     "walldrift bench plan --dir DIR [--layout L] [--targets N] ...",
		ShortHelp: "write the table, instance list, keys and settings of a fleet",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			if *dir == "" {
				return usagef("plan needs --dir")
			}
			abs, err := filepath.Abs(*dir)
			if err != nil {
				return err
			}
			cfg := bench.PlanConfig{Dir: abs, BasePort: *port, ExtraSettings: iniText(*overrides)}
			switch *layout {
			case "kerbline":
				cfg.Placements, cfg.Table = standin.Kerbline().Placements(), standin.Kerbline().Table()
			case "kestrel":
				cfg.Placements, cfg.Table = standin.KestrelBrook().Placements(), standin.KestrelBrook().Table()
			default:
				cfg.Placements = standin.Synthetic(*targets, *services, *centres, *regions)
				cfg.Table = standin.SyntheticTable(standin.Synthetic(max(*targets, *rows), *services, *centres, *regions))
			}
			plan, err := bench.WritePlan(cfg)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out.Out, "planned %d nodes in %s, table of %d bytes\n", len(plan.Nodes), abs, len(cfg.Table))
			return err
		},
	}
}

// iniText returns section.key=value pairs as INI text.
func iniText(pairs []string) string {
	var b strings.Builder
	for _, p := range pairs {
		name, value, _ := strings.Cut(p, "=")
		section, key, _ := strings.Cut(name, ".")
		fmt.Fprintf(&b, "[%s]\n%s = %s\n", section, key, value)
	}
	return b.String()
}

func benchUpstreams(out IO) *ff.Command {
	fs := ff.NewFlagSet("upstreams")
	dir := fs.StringLong("dir", "", planDirHelp)
	return &ff.Command{
		Name:      "upstreams",
		Usage:     "walldrift bench upstreams --dir DIR",
		ShortHelp: "serve all upstreams of a plan from one process",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			plan, err := bench.ReadPlan(*dir)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			errs := make(chan error, len(plan.Nodes))
			var group sync.WaitGroup
			for _, n := range plan.Nodes {
				u := standin.NewUpstream(standin.UpstreamConfig{Name: n.Name, Slots: n.Slots, ServiceTime: n.Work})
				group.Go(func() {
					if err := standin.Serve(ctx, n.Upstream, u, func(string) {}); err != nil {
						errs <- err
						cancel()
					}
				})
			}
			_, _ = fmt.Fprintf(out.Out, "serving %d upstreams\n", len(plan.Nodes))
			group.Wait()
			select {
			case err := <-errs:
				return err
			default:
				return nil
			}
		},
	}
}

func benchControl(out IO) *ff.Command {
	fs := ff.NewFlagSet("control")
	dir := fs.StringLong("dir", "", planDirHelp)
	edits := fs.IntLong("edits", 100, "edits to publish; 0 measures at rest")
	interval := fs.DurationLong("interval", 200*time.Millisecond, "time between edits")
	rest := fs.DurationLong("rest", 30*time.Second, "length of a measurement at rest")
	settle := fs.DurationLong("settle", 16*time.Second, "maximum time to wait until an edit is in force everywhere")
	return &ff.Command{
		Name:      "control",
		Usage:     "walldrift bench control --dir DIR [--edits N] [--interval D]",
		ShortHelp: "measure convergence time, control bytes, CPU, memory and platform reads",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := bench.MeasureControl(ctx, bench.ControlConfig{Dir: *dir, Edits: *edits, Interval: *interval, IdleDuration: *rest, SettleTimeout: *settle})
			if err != nil {
				return err
			}
			return printResult(out, r)
		},
	}
}

func benchLatency(out IO) *ff.Command {
	fs := ff.NewFlagSet("latency")
	dir := fs.StringLong("dir", "", planDirHelp)
	service := fs.StringLong("service", "tariff", "service called")
	path := fs.StringLong("path", "/tariff/x", "path called")
	utilization := fs.Float64Long("part", 0.05, "fraction of the service's slots kept busy, 0 to 1")
	rounds := fs.IntLong("rounds", 6, "pairs of slices, one through the fleet and one direct")
	slice := fs.DurationLong("slice", 3*time.Second, "length of one slice")
	return &ff.Command{
		Name:      "latency",
		Usage:     "walldrift bench latency --dir DIR [--part P]",
		ShortHelp: "compare the latency of calls through the fleet with direct calls, alternately",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := bench.MeasureLatency(ctx, bench.LatencyConfig{Dir: *dir, Service: *service, Path: *path, LoadFraction: *utilization, Rounds: *rounds, Slice: *slice})
			if err != nil {
				return err
			}
			return printResult(out, r)
		},
	}
}

func benchGoodput(out IO) *ff.Command {
	fs := ff.NewFlagSet("goodput")
	policy := fs.StringEnumLong("policy", "walldrift, round-robin or least-conns-retry", "walldrift", "round-robin", "least-conns-retry")
	scenario := fs.StringEnumLong("scenario", "plain, one-slow, one-lying, third-killed or rolling", "plain", "one-slow", "one-lying", "third-killed", "rolling")
	load := fs.Float64Long("load", 0.9, "offered request rate as a fraction of capacity")
	duration := fs.DurationLong("for", 10*time.Second, "length of the run")
	stretch := fs.Float64Long("stretch", 5, "factor on the service time of a request, so that the fleet fits on one machine")
	seed := fs.Uint64Long("seed", 1, "seed of the request arrivals")
	row := fs.BoolLong("row", "print one row of a Markdown table")
	return &ff.Command{
		Name:      "goodput",
		Usage:     "walldrift bench goodput [--policy P] [--scenario S] [--load L]",
		ShortHelp: "measure the weighted goodput of a fleet in this process, against baseline policies",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := bench.MeasureGoodput(ctx, bench.GoodputConfig{
				Policy: bench.Policy(*policy), Scenario: bench.Scenario(*scenario),
				LoadFraction: *load, Duration: *duration, ServiceTimeFactor: *stretch, Seed: *seed,
			})
			if err != nil {
				return err
			}
			if *row {
				_, err = fmt.Fprintln(out.Out, r.Row())
				return err
			}
			return printResult(out, r)
		},
	}
}

func benchSlopes(out IO) *ff.Command {
	fs := ff.NewFlagSet("slopes")
	dir := fs.StringLong("dir", "", "directory with the results of scripts/scale")
	kind := fs.StringEnumLong("kind", "rest, edits or herd", "rest", "edits", "herd")
	return &ff.Command{
		Name:      "slopes",
		Usage:     "walldrift bench slopes --dir DIR [--kind K]",
		ShortHelp: "fit straight lines to the results of scripts/scale",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			if *dir == "" {
				return usagef("slopes needs --dir")
			}
			return bench.WriteSlopes(out.Out, *dir, *kind)
		},
	}
}

func benchLeaving(out IO) *ff.Command {
	return &ff.Command{
		Name:      "leaving",
		Usage:     "walldrift bench leaving",
		ShortHelp: "measure how long leaving upstreams still get new requests",
		Flags:     ff.NewFlagSet("leaving"),
		Exec: func(ctx context.Context, _ []string) error {
			r, err := bench.MeasureLeaving(ctx)
			if err != nil {
				return err
			}
			return printResult(out, r)
		},
	}
}

func printResult(out IO, r any) error {
	enc := json.NewEncoder(out.Out)
	enc.SetIndent("", " ")
	return errors.Wrap(enc.Encode(r), "result")
}
