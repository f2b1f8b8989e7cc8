package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyConfig describes the paired comparison of calls through the fleet
// with calls straight to the upstreams of one service.
type LatencyConfig struct {
	Dir     string
	Service string
	Path    string
	// Part of the service's slots kept busy, 0 to 1.
	Part   float64
	Rounds int           // pairs of slices
	Slice  time.Duration // length of one slice
}

// LatencyResult holds the figures of both ways, in milliseconds.
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
	// CPUPerCall is the processor time of all nodes per call through the mesh.
	CPUPerCall float64 `json:"node_cpu_us_per_call"`
}

// MeasureLatency runs slices of load in turn, direct and through the mesh, so
// that drifts of the machine meet both.
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
	r := &LatencyResult{Rate: cfg.Part * capacity}
	hd, hm := newHistogram(), newHistogram()
	// Connections opened on first use are not part of the comparison.
	warm := &LatencyResult{}
	cfg.slice(ctx, direct, r.Rate, 0, newHistogram(), warm)
	cfg.slice(ctx, mesh, r.Rate, 0, newHistogram(), warm)
	var used time.Duration
	for i := range cfg.Rounds {
		cfg.slice(ctx, direct, r.Rate, uint64(i), hd, r)
		before, err := nodesCPU(cfg.Dir, plan)
		if err != nil {
			return nil, err
		}
		sent := r.Calls
		cfg.slice(ctx, mesh, r.Rate, uint64(i), hm, r)
		after, err := nodesCPU(cfg.Dir, plan)
		if err != nil {
			return nil, err
		}
		used += after - before
		r.CPUPerCall += float64(r.Calls - sent)
	}
	r.CPUPerCall = float64(used.Microseconds()) / max(r.CPUPerCall, 1)
	r.DirectP50, r.DirectP99 = millis(hd.ValueAtQuantile(50)), millis(hd.ValueAtQuantile(99))
	r.MeshP50, r.MeshP99 = millis(hm.ValueAtQuantile(50)), millis(hm.ValueAtQuantile(99))
	r.AddedP50, r.AddedP99 = r.MeshP50-r.DirectP50, r.MeshP99-r.DirectP99
	return r, ctx.Err()
}

func (cfg LatencyConfig) slice(ctx context.Context, targets []string, rate float64, seed uint64, into *hdrhistogram.Histogram, r *LatencyResult) {
	l := NewLoad(LoadConfig{
		Targets: targets, Rate: rate, For: cfg.Slice, Timeout: 2 * time.Second, Seed: seed,
		Streams: []Stream{{Kind: cfg.Service, Method: http.MethodGet, Path: cfg.Path, Share: 1}},
	})
	l.Run(ctx)
	t := l.Tallies()[0]
	into.Merge(t.Latency)
	r.Calls += t.Sent
	r.NotGood += t.Sent - t.Good
}

// nodesCPU sums the processor time of all nodes.
func nodesCPU(dir string, plan *Plan) (time.Duration, error) {
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
