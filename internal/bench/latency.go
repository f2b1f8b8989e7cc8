package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// LatencyConfig configures a paired comparison of calls through the fleet with direct
// calls to the upstreams of one service.
type LatencyConfig struct {
	Dir     string
	Service string
	Path    string
	// LoadFraction is the fraction of the service's slots that the load occupies, 0 to 1.
	LoadFraction float64
	Rounds       int           // pairs of one direct and one mesh slice
	Slice        time.Duration // duration of one slice
}

// LatencyResult holds the latencies of direct and mesh calls in milliseconds, and their
// differences.
type LatencyResult struct {
	Rate      float64 `json:"rate"`
	Calls     int64   `json:"calls"`
	NotGood   int64   `json:"not_good"`
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`
	MeshP50   float64 `json:"mesh_p50_ms"`
	MeshP99   float64 `json:"mesh_p99_ms"`
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	// CPUPerCall is the CPU time of all nodes per call through the mesh, in microseconds.
	CPUPerCall float64 `json:"node_cpu_us_per_call"`
}

// MeasureLatency alternates slices of direct load and load through the mesh, so that
// changes in the machine's speed affect both equally. It returns an error if the plan has no
// upstream of the service.
func MeasureLatency(ctx context.Context, cfg LatencyConfig) (*LatencyResult, error) {
	plan, err := ReadPlan(cfg.Dir)
	if err != nil {
		return nil, err
	}
	var direct, mesh []string
	capacity := 0.0
	for _, n := range plan.Nodes {
		mesh = append(mesh, "http://"+n.Callers)
		if n.Service == cfg.Service {
			direct = append(direct, "http://"+n.Upstream)
			capacity += float64(n.Slots) / n.Work.Seconds()
		}
	}
	if len(direct) == 0 {
		return nil, errors.Newf("the plan has no upstream of the service %q", cfg.Service)
	}
	r := &LatencyResult{Rate: cfg.LoadFraction * capacity}
	directLatency, meshLatency := newHistogram(), newHistogram()
	// Opens the connections first; their setup is not part of the comparison.
	warmUpResult := &LatencyResult{}
	cfg.measureSlice(ctx, direct, r.Rate, 0, newHistogram(), warmUpResult)
	cfg.measureSlice(ctx, mesh, r.Rate, 0, newHistogram(), warmUpResult)
	var nodeCPU time.Duration
	for i := range cfg.Rounds {
		cfg.measureSlice(ctx, direct, r.Rate, uint64(i), directLatency, r)
		before, err := totalNodeCPU(cfg.Dir, plan)
		if err != nil {
			return nil, err
		}
		sent := r.Calls
		cfg.measureSlice(ctx, mesh, r.Rate, uint64(i), meshLatency, r)
		after, err := totalNodeCPU(cfg.Dir, plan)
		if err != nil {
			return nil, err
		}
		nodeCPU += after - before
		r.CPUPerCall += float64(r.Calls - sent)
	}
	r.CPUPerCall = float64(nodeCPU.Microseconds()) / max(r.CPUPerCall, 1)
	r.DirectP50, r.DirectP99 = millis(directLatency.ValueAtQuantile(50)), millis(directLatency.ValueAtQuantile(99))
	r.MeshP50, r.MeshP99 = millis(meshLatency.ValueAtQuantile(50)), millis(meshLatency.ValueAtQuantile(99))
	r.AddedP50, r.AddedP99 = r.MeshP50-r.DirectP50, r.MeshP99-r.DirectP99
	return r, ctx.Err()
}

func (cfg LatencyConfig) measureSlice(ctx context.Context, targets []string, rate float64, seed uint64, into *hdrhistogram.Histogram, r *LatencyResult) {
	l := NewLoad(LoadConfig{
		Targets: targets, Rate: rate, Duration: cfg.Slice, Timeout: 2 * time.Second, Seed: seed,
		Streams: []Stream{{Kind: cfg.Service, Method: http.MethodGet, Path: cfg.Path, Share: 1}},
	})
	l.Run(ctx)
	t := l.Tallies()[0]
	into.Merge(t.Latency)
	r.Calls += t.Sent
	r.NotGood += t.Sent - t.Good
}

// totalNodeCPU returns the sum of the CPU time of all nodes.
func totalNodeCPU(dir string, plan *Plan) (time.Duration, error) {
	total := time.Duration(0)
	for _, n := range plan.Nodes {
		pid, err := ReadPID(dir, n.Name)
		if err != nil {
			return 0, err
		}
		u, err := ProcessUsage(pid)
		if err != nil {
			return 0, err
		}
		total += u.CPU
	}
	return total, nil
}
