package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

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
