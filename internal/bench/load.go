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

	"github.com/google/uuid"

	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/standin"
)

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
