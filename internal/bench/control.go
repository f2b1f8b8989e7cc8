package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// ControlConfig configures a measurement of the control traffic of a fleet of running
// processes.
type ControlConfig struct {
	Dir           string        // directory of the plan
	Edits         int           // number of table edits; 0 measures the idle fleet
	Interval      time.Duration // between edits
	IdleDuration  time.Duration // duration of a measurement of the idle fleet
	SettleTimeout time.Duration // how long to wait until an edit is in force on every node
}

// ControlResult is the result of MeasureControl. Rates are means over the nodes and the
// measured time; WireMax, CPUMax, RSSMax and LinksMax are those of the highest node. The
// fields in milliseconds are times from the publication of an edit until it is in force.
type ControlResult struct {
	Nodes                  int     `json:"nodes"`
	Edits                  int     `json:"edits"`
	Seconds                float64 `json:"seconds"`
	Missed                 int     `json:"missed"` // pairs of node and edit that weren't in force within SettleTimeout
	P50Ms                  float64 `json:"p50_ms"` // over pairs of node and edit
	P99Ms                  float64 `json:"p99_ms"`
	MaxMs                  float64 `json:"max_ms"`
	AllNodesP50Ms          float64 `json:"all_nodes_p50_ms"` // over edits, until in force on the last node
	AllNodesP99Ms          float64 `json:"all_nodes_p99_ms"`
	WireBytesPerSecond     float64 `json:"wire_bytes_s"` // UDP payload bytes sent, per node
	WireMax                float64 `json:"wire_bytes_s_max"`
	CPUPct                 float64 `json:"cpu_pct"` // percent of one core, per node
	CPUMax                 float64 `json:"cpu_pct_max"`
	RSSMB                  float64 `json:"rss_mb"`
	RSSMax                 float64 `json:"rss_mb_max"`
	Links                  float64 `json:"links"`
	LinksMax               int     `json:"links_max"`
	PlatformReadsPerSecond float64 `json:"platform_reads_s"`
	PlatformPeakReads      int64   `json:"platform_peak_reads"`
}

// controlMeasurement is a running measurement.
type controlMeasurement struct {
	cfg         ControlConfig
	plan        *Plan
	client      *http.Client
	nodeLatency *hdrhistogram.Histogram
	editLatency *hdrhistogram.Histogram
	result      ControlResult
}

// MeasureControl publishes cfg.Edits edits to a running fleet, or waits for cfg.IdleDuration if
// there are none, and measures the propagation and the use of resources.
func MeasureControl(ctx context.Context, cfg ControlConfig) (*ControlResult, error) {
	plan, err := ReadPlan(cfg.Dir)
	if err != nil {
		return nil, err
	}
	c := &controlMeasurement{
		cfg: cfg, plan: plan, nodeLatency: newHistogram(), editLatency: newHistogram(),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		result: ControlResult{Nodes: len(plan.Nodes), Edits: cfg.Edits},
	}
	before, err := c.takeSample(ctx)
	if err != nil {
		return nil, err
	}
	if cfg.Edits == 0 {
		select {
		case <-time.After(cfg.IdleDuration):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for i := range cfg.Edits {
		if err := c.publishEdit(ctx, i); err != nil {
			return nil, err
		}
	}
	after, err := c.takeSample(ctx)
	if err != nil {
		return nil, err
	}
	c.summarise(before, after)
	return &c.result, nil
}

// fleetSample holds the counters of all processes at one time.
type fleetSample struct {
	takenAt        time.Time
	nodes          []nodeSample
	platformCounts standin.Counts
}

type nodeSample struct {
	wireBytes uint64
	links     int
	usage     Usage
}

func (c *controlMeasurement) takeSample(ctx context.Context) (*fleetSample, error) {
	s := &fleetSample{takenAt: time.Now(), nodes: make([]nodeSample, len(c.plan.Nodes))}
	if err := c.getJSON(ctx, "http://"+c.plan.Platform+"/standin/counts", &s.platformCounts); err != nil {
		return nil, err
	}
	for i, n := range c.plan.Nodes {
		var st selfStatus
		if err := c.getJSON(ctx, "http://"+n.Admin+admin.PathStatus, &st); err != nil {
			return nil, errors.Wrap(err, n.Name)
		}
		pid, err := ReadPID(c.cfg.Dir, n.Name)
		if err != nil {
			return nil, err
		}
		usage, err := ProcessUsage(pid)
		if err != nil {
			return nil, err
		}
		s.nodes[i] = nodeSample{wireBytes: st.Wire.Sent, links: st.Node.Links, usage: usage}
	}
	return s, nil
}

// selfStatus holds the fields of node.SelfStatus that the measurement needs.
type selfStatus struct {
	Node struct {
		Table string `json:"table"`
		Links int    `json:"links"`
	} `json:"node"`
	InForceSinceMicros int64 `json:"in_force_since_us"`
	Wire               struct {
		Sent uint64 `json:"sent"`
	} `json:"control_wire_bytes"`
}

func (c *controlMeasurement) getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// publishEdit publishes an edit of the table, records how long each node takes to put it
// in force, and waits for the rest of the edit interval.
func (c *controlMeasurement) publishEdit(ctx context.Context, i int) error {
	raw, err := c.requestTable(ctx, http.MethodGet, "?raw", nil)
	if err != nil {
		return err
	}
	target := c.plan.Nodes[i%len(c.plan.Nodes)].Name
	next, err := table.ApplyEdits(raw, table.Edit{Row: table.RowUpstream, Name: target, Column: table.ColWeight, Value: fmt.Sprintf("%d", 1+i%9)})
	if err != nil {
		return err
	}
	want := version.Of(table.EditionOf(next), next).String()
	published := time.Now()
	if _, err := c.requestTable(ctx, http.MethodPut, "", next); err != nil {
		return err
	}
	last := c.awaitAllNodes(ctx, want, published)
	_ = c.editLatency.RecordValue(max(last.Microseconds(), 1))
	select {
	case <-time.After(time.Until(published.Add(c.cfg.Interval))):
	case <-ctx.Done():
	}
	return ctx.Err()
}

// awaitAllNodes records how long each node takes to put the version want in force and
// returns the longest time. Nodes that miss the settle time are counted, not recorded.
func (c *controlMeasurement) awaitAllNodes(ctx context.Context, want string, published time.Time) time.Duration {
	var mu sync.Mutex
	var group sync.WaitGroup
	last := time.Duration(0)
	limit := make(chan struct{}, 16)
	for _, n := range c.plan.Nodes {
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			took, ok := c.awaitNode(ctx, n, want, published)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				c.result.Missed++
				return
			}
			_ = c.nodeLatency.RecordValue(max(took.Microseconds(), 1))
			last = max(last, took)
		})
	}
	group.Wait()
	return last
}

// pollInterval is the delay between status requests to a node. It doesn't limit the
// resolution, as the node itself reports when the table came into force.
const pollInterval = 20 * time.Millisecond

func (c *controlMeasurement) awaitNode(ctx context.Context, n PlanNode, want string, published time.Time) (time.Duration, bool) {
	for time.Since(published) < c.cfg.SettleTimeout && ctx.Err() == nil {
		var st selfStatus
		err := c.getJSON(ctx, "http://"+n.Admin+admin.PathStatus, &st)
		if err == nil && st.Node.Table == want {
			return time.UnixMicro(st.InForceSinceMicros).Sub(published), true
		}
		time.Sleep(pollInterval)
	}
	return 0, false
}

func (c *controlMeasurement) requestTable(ctx context.Context, method, query string, body []byte) ([]byte, error) {
	url := "http://" + c.plan.Platform + platform.PathPrefix + platform.KeyTable + query
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("platform responded with status %s", resp.Status)
	}
	return io.ReadAll(resp.Body)
}

const bytesPerMB = 1 << 20

func (c *controlMeasurement) summarise(before, after *fleetSample) {
	r := &c.result
	r.Seconds = after.takenAt.Sub(before.takenAt).Seconds()
	n := float64(len(after.nodes))
	for i, a := range after.nodes {
		b := before.nodes[i]
		wire := float64(a.wireBytes-b.wireBytes) / r.Seconds
		cpu := 100 * (a.usage.CPU - b.usage.CPU).Seconds() / r.Seconds
		rss := float64(a.usage.RSS) / bytesPerMB
		r.WireBytesPerSecond += wire / n
		r.CPUPct += cpu / n
		r.RSSMB += rss / n
		r.Links += float64(a.links) / n
		r.WireMax, r.CPUMax, r.RSSMax = max(r.WireMax, wire), max(r.CPUMax, cpu), max(r.RSSMax, rss)
		r.LinksMax = max(r.LinksMax, a.links)
	}
	r.PlatformReadsPerSecond = float64(after.platformCounts.Calls-before.platformCounts.Calls) / r.Seconds
	r.PlatformPeakReads = after.platformCounts.PeakSecond
	if c.cfg.Edits > 0 {
		r.P50Ms, r.P99Ms, r.MaxMs = millis(c.nodeLatency.ValueAtQuantile(50)), millis(c.nodeLatency.ValueAtQuantile(99)), millis(c.nodeLatency.Max())
		r.AllNodesP50Ms, r.AllNodesP99Ms = millis(c.editLatency.ValueAtQuantile(50)), millis(c.editLatency.ValueAtQuantile(99))
	}
}
