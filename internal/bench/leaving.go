package bench

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/fleet"
	"github.com/walldrift/walldrift/internal/standin"
)

// LeavingResult reports for how long a leaving upstream still got new requests.
type LeavingResult struct {
	// LastAfterStopMs is the time of the last new request after its node's shutdown began,
	// LastAfterDrainMs after its health endpoint began to report draining; in milliseconds.
	LastAfterStopMs  float64 `json:"last_request_after_stop_ms"`
	LastAfterDrainMs float64 `json:"last_request_after_drain_ms"`
	Sent             int64   `json:"sent"`
	Good             int64   `json:"good"`
	NotGood          int64   `json:"not_good"`
}

// Rate (requests per second) and duration of the load while upstreams leave.
const (
	leaveLoadRate     = 300
	leaveLoadDuration = 8 * time.Second
)

// MeasureLeaving sends load to an in-process fleet while one upstream announces draining
// by its health endpoint and another leaves because its node shuts down.
func MeasureLeaving(ctx context.Context) (*LeavingResult, error) {
	layout := standin.Kerbline()
	f, err := fleet.StartReady(ctx, fleet.Config{Placements: layout.Placements(), Table: layout.Table()})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var targets []string
	for _, p := range layout.Placements() {
		if p.Service != layout.Groups[0].Service {
			targets = append(targets, fleet.CallerURL(f.Node(p.Name)))
		}
	}
	g := layout.Groups[0]
	load := NewLoad(LoadConfig{
		Targets: targets, Rate: leaveLoadRate, Duration: leaveLoadDuration, Timeout: routeTimeout, Seed: 1,
		Streams: []Stream{{Kind: g.Kind, Weight: 1, Method: "GET", Path: g.Prefix + "/x", Share: 1}},
	})
	done := make(chan struct{})
	go func() { load.Run(ctx); close(done) }()
	time.Sleep(warmUpTime)
	r := &LeavingResult{}
	drained, stopped := g.Service+"-1", g.Service+"-2"
	leaveStart := time.Now()
	f.Upstreams[drained].SetDraining(true)
	errs := make(chan error, 1)
	go func() { errs <- f.StopNode(stopped) }()
	<-done
	if err := <-errs; err != nil {
		return nil, err
	}
	r.LastAfterDrainMs = float64(f.Upstreams[drained].LastStart().Sub(leaveStart).Milliseconds())
	r.LastAfterStopMs = float64(f.Upstreams[stopped].LastStart().Sub(leaveStart).Milliseconds())
	t := load.Tallies()[0]
	r.Sent, r.Good, r.NotGood = t.Sent, t.Good, t.Sent-t.Good
	return r, ctx.Err()
}
