// Package bench holds the load generator and the measurement commands.
package bench

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/standin"
)

// Stream is one kind of request of a load.
type Stream struct {
	Kind   string
	Weight float64 // value of one good answer
	Method string
	Path   string
	Share  float64 // part of the load's rate
	Keyed  bool    // sends a version 7 UUID as Idempotency-Key
	Body   int     // bytes
	Work   time.Duration
}

// LoadConfig describes an open-loop load: requests start by the clock whether
// or not earlier ones have ended.
type LoadConfig struct {
	Targets []string // base addresses, used in turn
	Streams []Stream
	Rate    float64 // requests a second
	For     time.Duration
	Timeout time.Duration
	Seed    uint64
	// KeepIDs keeps the IDs of requests for a later count of runs.
	KeepIDs bool
	// MaxInFlight bounds the requests in progress; one more is counted as
	// skipped. Default 4096.
	MaxInFlight int
}

// Tally is what became of the requests of one kind.
type Tally struct {
	Kind      string
	Weight    float64
	Sent      int64
	Good      int64 // whole own answer in time
	NotRun    int64
	Unknown   int64
	Wrong     int64 // an answer that is not the request's own, or cut
	Failed    int64 // anything else
	Latency   *hdrhistogram.Histogram
	Refusal   *hdrhistogram.Histogram // time to a refusal
	NotRunIDs []string                // of requests refused as not run
	IDs       []string                // of all requests
}

// histogram bounds: one microsecond to two minutes, in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// Load runs one load.
type Load struct {
	cfg     LoadConfig
	client  *http.Client
	mu      sync.Mutex
	tallies map[string]*Tally
	flight  atomic.Int64
	Skipped atomic.Int64
}

const defaultInFlight = 4096

// NewLoad returns a load that Run starts.
func NewLoad(cfg LoadConfig) *Load {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultInFlight
	}
	l := &Load{
		cfg:     cfg,
		tallies: make(map[string]*Tally),
		client: &http.Client{
			Timeout:   cfg.Timeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 8192, DisableCompression: true},
		},
	}
	for _, s := range cfg.Streams {
		l.tallies[s.Kind] = &Tally{Kind: s.Kind, Weight: s.Weight, Latency: newHistogram(), Refusal: newHistogram()}
	}
	return l
}

// Run sends the load and waits for the last answers.
func (l *Load) Run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(l.cfg.Seed, 7))
	start := time.Now()
	at := time.Duration(0)
	var group sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		// Poisson arrivals.
		at += time.Duration(rnd.ExpFloat64() / l.cfg.Rate * float64(time.Second))
		if l.cfg.For > 0 && at > l.cfg.For {
			break
		}
		if d := time.Until(start.Add(at)); d > 0 {
			time.Sleep(d)
		}
		s := l.draw(rnd)
		target := l.cfg.Targets[i%len(l.cfg.Targets)]
		if l.flight.Load() >= int64(l.cfg.MaxInFlight) {
			l.Skipped.Add(1)
			continue
		}
		l.flight.Add(1)
		group.Go(func() {
			defer l.flight.Add(-1)
			l.one(ctx, target, s)
		})
	}
	group.Wait()
	l.client.CloseIdleConnections()
}

func (l *Load) draw(rnd *rand.Rand) Stream {
	at := rnd.Float64()
	for _, s := range l.cfg.Streams {
		if at < s.Share {
			return s
		}
		at -= s.Share
	}
	return l.cfg.Streams[len(l.cfg.Streams)-1]
}

// one sends one request and counts its end.
func (l *Load) one(ctx context.Context, target string, s Stream) {
	id := uuid.Must(uuid.NewV7()).String()
	req, err := http.NewRequestWithContext(ctx, s.Method, target+s.Path, strings.NewReader(strings.Repeat("b", s.Body)))
	if err != nil {
		return
	}
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(proxy.HeaderTenant, "tenant-"+id[len(id)-1:])
	req.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(l.cfg.Timeout.Milliseconds(), 10))
	if s.Keyed {
		// Under a name that net/http does not look for, or it would repeat.
		req.Header["idempotency-key"] = []string{id}
	}
	if s.Work > 0 {
		req.Header.Set(standin.HeaderWork, strconv.FormatInt(s.Work.Milliseconds(), 10))
	}
	start := time.Now()
	end := l.exchange(req, id)
	l.count(s.Kind, id, end, time.Since(start))
}

// ending is how a request of the load ended.
type ending int

const (
	endGood ending = iota
	endNotRun
	endUnknown
	endWrong
	endFailed
)

func (l *Load) exchange(req *http.Request, id string) ending {
	resp, err := l.client.Do(req)
	if err != nil {
		return endFailed
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch proxy.Outcome(resp.Header.Get(proxy.HeaderOutcome)) {
	case proxy.OutcomeNotRun:
		return endNotRun
	case proxy.OutcomeUnknown, proxy.OutcomeRunning, proxy.OutcomeRan:
		return endUnknown
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return endFailed
	}
	var echo standin.Echo
	if json.Unmarshal(body, &echo) != nil || echo.RequestID != id {
		return endWrong
	}
	return endGood
}

func (l *Load) count(kind, id string, e ending, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tallies[kind]
	t.Sent++
	if l.cfg.KeepIDs {
		t.IDs = append(t.IDs, id)
	}
	us := max(took.Microseconds(), 1)
	switch e {
	case endGood:
		t.Good++
		_ = t.Latency.RecordValue(us)
	case endNotRun:
		t.NotRun++
		_ = t.Refusal.RecordValue(us)
		if l.cfg.KeepIDs {
			t.NotRunIDs = append(t.NotRunIDs, id)
		}
	case endUnknown:
		t.Unknown++
	case endWrong:
		t.Wrong++
	case endFailed:
		t.Failed++
	}
}

// Tallies returns the counts by kind, in the order of the streams. Call it
// after Run.
func (l *Load) Tallies() []*Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Tally, 0, len(l.cfg.Streams))
	for _, s := range l.cfg.Streams {
		out = append(out, l.tallies[s.Kind])
	}
	return out
}

// Summary is a copy of a tally's figures while the load runs.
type Summary struct {
	Kind    string  `json:"kind"`
	Sent    int64   `json:"sent"`
	Good    int64   `json:"good"`
	NotRun  int64   `json:"not_run"`
	Unknown int64   `json:"unknown"`
	Other   int64   `json:"other"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	Buckets []int64 `json:"buckets"` // good answers by latency bucket
}

// SummaryBounds are the upper bounds of Summary.Buckets in milliseconds; the
// last bucket is open.
var SummaryBounds = []float64{5, 10, 15, 20, 25, 30, 40, 60, 100, 250, 1000}

// Summaries returns the present figures.
func (l *Load) Summaries() []Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Summary, 0, len(l.cfg.Streams))
	for _, s := range l.cfg.Streams {
		t := l.tallies[s.Kind]
		out = append(out, Summary{
			Kind: t.Kind, Sent: t.Sent, Good: t.Good, NotRun: t.NotRun, Unknown: t.Unknown,
			Other: t.Wrong + t.Failed,
			P50Ms: millis(t.Latency.ValueAtQuantile(50)), P99Ms: millis(t.Latency.ValueAtQuantile(99)),
			Buckets: buckets(t.Latency),
		})
	}
	return out
}

func millis(us int64) float64 { return float64(us) / 1000 }

func buckets(h *hdrhistogram.Histogram) []int64 {
	out := make([]int64, len(SummaryBounds)+1)
	for _, bar := range h.Distribution() {
		at := 0
		for at < len(SummaryBounds) && millis(bar.To) > SummaryBounds[at] {
			at++
		}
		out[at] += bar.Count
	}
	return out
}

// StreamsOf returns the streams of a layout, shared by targets.
func StreamsOf(l standin.Layout) []Stream {
	total := 0
	for _, g := range l.Groups {
		total += g.Targets
	}
	var out []Stream
	for _, g := range l.Groups {
		s := Stream{Kind: g.Kind, Weight: g.KindWeight, Method: http.MethodGet, Path: g.Prefix + "/x", Share: float64(g.Targets) / float64(total)}
		if !g.Idempotent {
			s.Method, s.Keyed, s.Body = http.MethodPost, true, 512
		}
		out = append(out, s)
	}
	return out
}
