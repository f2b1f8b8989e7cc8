package bench

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/fleet"
	"github.com/walldrift/walldrift/internal/standin"
)

// LeavingResult tells how long a leaving upstream still got new work.
type LeavingResult struct {
	// ByNode is after its node was told to stop, ByHealth after its health
	// end point began to say that it drains; in milliseconds.
	ByNode   float64 `json:"last_request_after_stop_ms"`
	ByHealth float64 `json:"last_request_after_drain_ms"`
	Sent     int64   `json:"sent"`
	Good     int64   `json:"good"`
	NotGood  int64   `json:"not_good"`
}

// Rate and length of the load during a leave.
const (
	leavingRate = 300
	leavingFor  = 8 * time.Second
)

// MeasureLeaving runs a load on an in-process fleet while one upstream leaves
// by its health end point and another by its node's shutdown.
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
		Targets: targets, Rate: leavingRate, For: leavingFor, Timeout: routeTimeout, Seed: 1,
		Streams: []Stream{{Kind: g.Kind, Weight: 1, Method: "GET", Path: g.Prefix + "/x", Share: 1}},
	})
	done := make(chan struct{})
	go func() { load.Run(ctx); close(done) }()
	time.Sleep(warmUp)
	r := &LeavingResult{}
	drained, stopped := g.Service+"-1", g.Service+"-2"
	at := time.Now()
	f.Upstreams[drained].SetDraining(true)
	errs := make(chan error, 1)
	go func() { errs <- f.StopNode(stopped) }()
	<-done
	if err := <-errs; err != nil {
		return nil, err
	}
	r.ByHealth = float64(f.Upstreams[drained].LastStart().Sub(at).Milliseconds())
	r.ByNode = float64(f.Upstreams[stopped].LastStart().Sub(at).Milliseconds())
	t := load.Tallies()[0]
	r.Sent, r.Good, r.NotGood = t.Sent, t.Good, t.Sent-t.Good
	return r, ctx.Err()
}
