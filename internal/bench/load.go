// Package bench contains the load generator and the measurement commands.
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

// Stream describes the requests of one kind in a load.
type Stream struct {
	Kind     string
	Weight   float64 // value of one good response
	Method   string
	Path     string
	Share    float64       // fraction of the load's rate, 0 to 1
	SendsKey bool          // sends a UUIDv7 as Idempotency-Key
	Body     int           // request body in bytes
	Work     time.Duration // time the upstream takes for a request; 0 leaves its default
}

// LoadConfig configures an open-loop load: requests start on schedule, whether or not
// earlier ones have ended.
type LoadConfig struct {
	Targets  []string // base URLs, used in turn
	Streams  []Stream
	Rate     float64       // requests per second
	Duration time.Duration // 0 runs until the context ends
	Timeout  time.Duration // of one request
	Seed     uint64
	// KeepIDs records the IDs of requests, so that their runs can be counted later.
	KeepIDs bool
	// MaxInFlight bounds the requests in flight; a request beyond it isn't sent but
	// counted as skipped. Default 4096.
	MaxInFlight int
}

// Tally counts the requests of one kind by how they ended.
type Tally struct {
	Kind      string
	Weight    float64
	Sent      int64
	Good      int64 // complete response to this request, in time
	NotRun    int64
	Unknown   int64
	Wrong     int64 // response that can't be decoded or belongs to another request
	Failed    int64 // anything else
	Latency   *hdrhistogram.Histogram
	Refusal   *hdrhistogram.Histogram // time until a refusal
	NotRunIDs []string                // of requests refused as not run
	IDs       []string                // of all requests
}

// newHistogram returns a latency histogram in microseconds, from one microsecond to two
// minutes, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// Load generates one load.
type Load struct {
	cfg      LoadConfig
	client   *http.Client
	mu       sync.Mutex
	tallies  map[string]*Tally
	inFlight atomic.Int64
	Skipped  atomic.Int64
}

const defaultMaxInFlight = 4096

// NewLoad returns a Load; Run starts it.
func NewLoad(cfg LoadConfig) *Load {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
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

// Run sends the load and waits for the last responses. A load without a duration runs
// until ctx ends.
func (l *Load) Run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(l.cfg.Seed, 7))
	start := time.Now()
	arrival := time.Duration(0)
	var group sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		// A Poisson process: exponential times between arrivals.
		arrival += time.Duration(rnd.ExpFloat64() / l.cfg.Rate * float64(time.Second))
		if l.cfg.Duration > 0 && arrival > l.cfg.Duration {
			break
		}
		if d := time.Until(start.Add(arrival)); d > 0 {
			time.Sleep(d)
		}
		s := l.drawStream(rnd)
		target := l.cfg.Targets[i%len(l.cfg.Targets)]
		if l.inFlight.Load() >= int64(l.cfg.MaxInFlight) {
			l.Skipped.Add(1)
			continue
		}
		l.inFlight.Add(1)
		group.Go(func() {
			defer l.inFlight.Add(-1)
			l.sendRequest(ctx, target, s)
		})
	}
	group.Wait()
	l.client.CloseIdleConnections()
}

func (l *Load) drawStream(rnd *rand.Rand) Stream {
	point := rnd.Float64()
	for _, s := range l.cfg.Streams {
		if point < s.Share {
			return s
		}
		point -= s.Share
	}
	return l.cfg.Streams[len(l.cfg.Streams)-1]
}

// sendRequest sends one request of the stream and counts its result.
func (l *Load) sendRequest(ctx context.Context, target string, s Stream) {
	id := uuid.Must(uuid.NewV7()).String()
	req, err := http.NewRequestWithContext(ctx, s.Method, target+s.Path, strings.NewReader(strings.Repeat("b", s.Body)))
	if err != nil {
		return
	}
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(proxy.HeaderTenant, "tenant-"+id[len(id)-1:])
	req.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(l.cfg.Timeout.Milliseconds(), 10))
	if s.SendsKey {
		// net/http retries requests with the header Idempotency-Key; it doesn't
		// recognise the lower-case spelling.
		req.Header["idempotency-key"] = []string{id}
	}
	if s.Work > 0 {
		req.Header.Set(standin.HeaderServiceTime, strconv.FormatInt(s.Work.Milliseconds(), 10))
	}
	start := time.Now()
	end := l.roundTrip(req, id)
	l.count(s.Kind, id, end, time.Since(start))
}

// requestEnd is how a request of the load ended.
type requestEnd int

const (
	endGood requestEnd = iota
	endNotRun
	endUnknown
	endWrong
	endFailed
)

func (l *Load) roundTrip(req *http.Request, id string) requestEnd {
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

func (l *Load) count(kind, id string, e requestEnd, took time.Duration) {
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

// Tallies returns the tallies in the order of the streams. Call it only after Run.
func (l *Load) Tallies() []*Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Tally, 0, len(l.cfg.Streams))
	for _, s := range l.cfg.Streams {
		out = append(out, l.tallies[s.Kind])
	}
	return out
}

// Summary is a snapshot of a tally, which can be taken while the load runs.
type Summary struct {
	Kind    string  `json:"kind"`
	Sent    int64   `json:"sent"`
	Good    int64   `json:"good"`
	NotRun  int64   `json:"not_run"`
	Unknown int64   `json:"unknown"`
	Other   int64   `json:"other"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	Buckets []int64 `json:"buckets"` // good responses by latency, bounded by SummaryBounds
}

// SummaryBounds are the upper bounds of Summary.Buckets in milliseconds. One more bucket
// holds everything above.
var SummaryBounds = []float64{5, 10, 15, 20, 25, 30, 40, 60, 100, 250, 1000}

// Summaries returns a snapshot of each stream's tally, in the order of the streams.
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
			Buckets: bucketCounts(t.Latency),
		})
	}
	return out
}

func millis(us int64) float64 { return float64(us) / 1000 }

func bucketCounts(h *hdrhistogram.Histogram) []int64 {
	out := make([]int64, len(SummaryBounds)+1)
	for _, bar := range h.Distribution() {
		bucket := 0
		for bucket < len(SummaryBounds) && millis(bar.To) > SummaryBounds[bucket] {
			bucket++
		}
		out[bucket] += bar.Count
	}
	return out
}

// StreamsOfLayout returns one stream for each service of a layout, with shares in proportion
// to their targets.
func StreamsOfLayout(l standin.Layout) []Stream {
	total := 0
	for _, g := range l.Groups {
		total += g.Upstreams
	}
	var out []Stream
	for _, g := range l.Groups {
		s := Stream{Kind: g.Kind, Weight: g.KindWeight, Method: http.MethodGet, Path: g.Prefix + "/x", Share: float64(g.Upstreams) / float64(total)}
		if !g.Idempotent {
			s.Method, s.SendsKey, s.Body = http.MethodPost, true, 512
		}
		out = append(out, s)
	}
	return out
}
