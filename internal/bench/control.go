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

// ControlConfig describes a measurement of the control traffic of a running
// fleet of processes.
type ControlConfig struct {
	Dir      string        // of the plan
	Edits    int           // 0 measures the fleet at rest
	Interval time.Duration // between edits
	Rest     time.Duration // length of a measurement at rest
	Settle   time.Duration // wait for an edit to reach every node
}

// ControlResult is the outcome. Rates are means over the nodes and the
// measured time.
type ControlResult struct {
	Nodes    int     `json:"nodes"`
	Edits    int     `json:"edits"`
	Seconds  float64 `json:"seconds"`
	Missed   int     `json:"missed"` // node and edit pairs not in force in time
	P50Ms    float64 `json:"p50_ms"` // of node and edit pairs
	P99Ms    float64 `json:"p99_ms"`
	MaxMs    float64 `json:"max_ms"`
	EditP50  float64 `json:"all_nodes_p50_ms"` // of edits, until the last node
	EditP99  float64 `json:"all_nodes_p99_ms"`
	WireBps  float64 `json:"wire_bytes_s"` // UDP payload sent, per node
	WireMax  float64 `json:"wire_bytes_s_max"`
	CPUPct   float64 `json:"cpu_pct"` // of one core, per node
	CPUMax   float64 `json:"cpu_pct_max"`
	RSSMB    float64 `json:"rss_mb"`
	RSSMax   float64 `json:"rss_mb_max"`
	Links    float64 `json:"links"`
	LinksMax int     `json:"links_max"`
	Reads    float64 `json:"platform_reads_s"`
	ReadPeak int64   `json:"platform_peak_reads"`
}

// control is one measurement in progress.
type control struct {
	cfg    ControlConfig
	plan   *Plan
	client *http.Client
	pairs  *hdrhistogram.Histogram
	edits  *hdrhistogram.Histogram
	result ControlResult
}

// MeasureControl runs the measurement.
func MeasureControl(ctx context.Context, cfg ControlConfig) (*ControlResult, error) {
	plan, err := ReadPlan(cfg.Dir)
	if err != nil {
		return nil, err
	}
	c := &control{
		cfg: cfg, plan: plan, pairs: newHistogram(), edits: newHistogram(),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		result: ControlResult{Nodes: len(plan.Nodes), Edits: cfg.Edits},
	}
	before, err := c.sample(ctx)
	if err != nil {
		return nil, err
	}
	if cfg.Edits == 0 {
		select {
		case <-time.After(cfg.Rest):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for i := range cfg.Edits {
		if err := c.edit(ctx, i); err != nil {
			return nil, err
		}
	}
	after, err := c.sample(ctx)
	if err != nil {
		return nil, err
	}
	c.summarise(before, after)
	return &c.result, nil
}

// sample is the counters of all processes at one time.
type sample struct {
	at     time.Time
	nodes  []nodeSample
	counts standin.Counts
}

type nodeSample struct {
	wire  uint64
	links int
	usage Usage
}

func (c *control) sample(ctx context.Context) (*sample, error) {
	s := &sample{at: time.Now(), nodes: make([]nodeSample, len(c.plan.Nodes))}
	if err := c.getJSON(ctx, "http://"+c.plan.Platform+"/standin/counts", &s.counts); err != nil {
		return nil, err
	}
	for i, n := range c.plan.Nodes {
		var st selfStatus
		if err := c.getJSON(ctx, "http://"+n.Admin+admin.PathSelf, &st); err != nil {
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
		s.nodes[i] = nodeSample{wire: st.Wire.Sent, links: st.Node.Links, usage: usage}
	}
	return s, nil
}

// selfStatus is what the measurement reads of node.SelfStatus.
type selfStatus struct {
	Node struct {
		Table string `json:"table"`
		Links int    `json:"links"`
	} `json:"node"`
	SinceMicros int64 `json:"in_force_since_us"`
	Wire        struct {
		Sent uint64 `json:"sent"`
	} `json:"control_wire_bytes"`
}

func (c *control) getJSON(ctx context.Context, url string, into any) error {
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

// edit publishes one change and takes the time until each node has it in force.
func (c *control) edit(ctx context.Context, i int) error {
	raw, err := c.platform(ctx, http.MethodGet, "?raw", nil)
	if err != nil {
		return err
	}
	target := c.plan.Nodes[i%len(c.plan.Nodes)].Name
	next, err := table.Set(raw, table.Edit{Row: table.RowUpstream, Name: target, Column: table.ColWeight, Value: fmt.Sprintf("%d", 1+i%9)})
	if err != nil {
		return err
	}
	want := version.Of(table.EditionOf(next), next).String()
	published := time.Now()
	if _, err := c.platform(ctx, http.MethodPut, "", next); err != nil {
		return err
	}
	last := c.awaitAll(ctx, want, published)
	_ = c.edits.RecordValue(max(last.Microseconds(), 1))
	select {
	case <-time.After(time.Until(published.Add(c.cfg.Interval))):
	case <-ctx.Done():
	}
	return ctx.Err()
}

// awaitAll records how long each node took and returns the longest.
func (c *control) awaitAll(ctx context.Context, want string, published time.Time) time.Duration {
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
			_ = c.pairs.RecordValue(max(took.Microseconds(), 1))
			last = max(last, took)
		})
	}
	group.Wait()
	return last
}

// pollInterval is the wait before a node is asked again. The time in force is
// the node's own, so it does not limit the resolution.
const pollInterval = 20 * time.Millisecond

func (c *control) awaitNode(ctx context.Context, n PlanNode, want string, published time.Time) (time.Duration, bool) {
	for time.Since(published) < c.cfg.Settle && ctx.Err() == nil {
		var st selfStatus
		err := c.getJSON(ctx, "http://"+n.Admin+admin.PathSelf, &st)
		if err == nil && st.Node.Table == want {
			return time.UnixMicro(st.SinceMicros).Sub(published), true
		}
		time.Sleep(pollInterval)
	}
	return 0, false
}

func (c *control) platform(ctx context.Context, method, query string, body []byte) ([]byte, error) {
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
		return nil, errors.Newf("platform answers %s", resp.Status)
	}
	return io.ReadAll(resp.Body)
}

const megabyte = 1 << 20

func (c *control) summarise(before, after *sample) {
	r := &c.result
	r.Seconds = after.at.Sub(before.at).Seconds()
	n := float64(len(after.nodes))
	for i, a := range after.nodes {
		b := before.nodes[i]
		wire := float64(a.wire-b.wire) / r.Seconds
		cpu := 100 * (a.usage.CPU - b.usage.CPU).Seconds() / r.Seconds
		rss := float64(a.usage.RSS) / megabyte
		r.WireBps += wire / n
		r.CPUPct += cpu / n
		r.RSSMB += rss / n
		r.Links += float64(a.links) / n
		r.WireMax, r.CPUMax, r.RSSMax = max(r.WireMax, wire), max(r.CPUMax, cpu), max(r.RSSMax, rss)
		r.LinksMax = max(r.LinksMax, a.links)
	}
	r.Reads = float64(after.counts.Calls-before.counts.Calls) / r.Seconds
	r.ReadPeak = after.counts.PeakSecond
	if c.cfg.Edits > 0 {
		r.P50Ms, r.P99Ms, r.MaxMs = millis(c.pairs.ValueAtQuantile(50)), millis(c.pairs.ValueAtQuantile(99)), millis(c.pairs.Max())
		r.EditP50, r.EditP99 = millis(c.edits.ValueAtQuantile(50)), millis(c.edits.ValueAtQuantile(99))
	}
}
