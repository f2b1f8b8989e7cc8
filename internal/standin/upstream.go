package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests that control how an Upstream responds.
const (
	// HeaderRequestID identifies a request in the response and in Runs.
	HeaderRequestID = "X-Request-Id"
	// HeaderServiceTime overrides the time that a request takes, in milliseconds.
	HeaderServiceTime = "X-Work-Ms"
	// HeaderResponseBytes sets the size of the response's padding in bytes.
	HeaderResponseBytes = "X-Answer-Bytes"
	// HeaderForgedOutcome adds an outcome header, which only nodes may set, to the response.
	HeaderForgedOutcome = "X-Pretend-Outcome"
	headerNodeOutcome   = "Walldrift-Outcome"
	// headerRateLimit is the header in which an upstream advertises its limit.
	headerRateLimit = "Upstream-Rate-Limit"
)

// maxPadding bounds the padding of a response, in bytes.
const maxPadding = 16 << 20

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	Name        string
	Slots       int           // concurrent requests; more wait in the upstream
	ServiceTime time.Duration // time that one request takes
	ReportIdle  bool          // initial value of SetReportIdle
}

// Upstream is a fake of one upstream instance. It echoes the request, so that a caller
// can check that the response is its own, and counts how often each request ran.
type Upstream struct {
	cfg         UpstreamConfig
	slots       chan struct{}
	workPercent atomic.Int64 // percent of the normal time that a request takes
	draining    atomic.Bool
	reportIdle  atomic.Bool
	rateLimit   atomic.Pointer[string] // advertised in each response; nil for none
	inUse       atomic.Int64

	mu        sync.Mutex
	runs      map[string]int // number of runs by request ID
	lastStart time.Time      // when the last request started
}

// maxCountedIDs bounds the request IDs that runs holds.
const maxCountedIDs = 1 << 20

// NewUpstream returns an Upstream at normal speed.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	u := &Upstream{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: make(map[string]int)}
	u.workPercent.Store(normalWorkPercent)
	u.reportIdle.Store(cfg.ReportIdle)
	return u
}

const normalWorkPercent = 100

// SetWorkPercent makes each request take percent of its normal time; 100 is normal.
func (u *Upstream) SetWorkPercent(percent int) { u.workPercent.Store(int64(percent)) }

// SetDraining sets whether the health endpoint reports draining.
func (u *Upstream) SetDraining(on bool) { u.draining.Store(on) }

// SetReportIdle sets whether the load endpoint always reports an idle upstream.
func (u *Upstream) SetReportIdle(on bool) { u.reportIdle.Store(on) }

// SetRateLimit sets the limit in requests per second that each response advertises; empty
// for none. The upstream itself does not enforce it.
func (u *Upstream) SetRateLimit(perSecond string) {
	if perSecond == "" {
		u.rateLimit.Store(nil)
		return
	}
	u.rateLimit.Store(&perSecond)
}

// Runs returns how often each request ID ran.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// LastStart returns when the last request started to run.
func (u *Upstream) LastStart() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastStart
}

// Echo is the response body of an Upstream: what it received.
type Echo struct {
	Upstream  string `json:"upstream"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Bytes     int    `json:"bytes"`
	SHA256    string `json:"sha256"`
	Padding   string `json:"padding,omitempty"`
}

// ServeHTTP serves the health, load and control endpoints; any other path is a request
// that occupies a slot for its work time.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		u.serveHealth(w)
		return
	case "/load":
		u.serveLoad(w)
		return
	case "/standin/runs":
		_ = json.NewEncoder(w).Encode(u.Runs())
		return
	case "/standin/drain":
		u.SetDraining(r.URL.Query().Get("on") != "false")
		return
	case "/standin/limit":
		u.SetRateLimit(r.URL.Query().Get("per_second"))
		return
	case "/standin/slow":
		if percent, err := strconv.Atoi(r.URL.Query().Get("percent")); err == nil && percent > 0 {
			u.SetWorkPercent(percent)
		}
		return
	}
	u.serveRequest(w, r)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	if u.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	inUse := u.inUse.Load()
	if u.reportIdle.Load() {
		inUse = 0
	}
	_, _ = io.WriteString(w, strconv.FormatInt(inUse, 10)+"\n")
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	u.inUse.Add(1)
	defer func() { u.inUse.Add(-1); <-u.slots }()
	id := r.Header.Get(HeaderRequestID)
	u.countRun(id)
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(u.workDuration(r)):
	case <-r.Context().Done():
		return
	}
	u.respond(w, r, Echo{Upstream: u.cfg.Name, RequestID: id, Path: r.URL.Path, Bytes: int(n), SHA256: hex.EncodeToString(sum.Sum(nil))})
}

// countRun counts a run of a request. Once maxCountedIDs are counted, it ignores new IDs.
func (u *Upstream) countRun(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastStart = time.Now()
	if id == "" {
		return
	}
	if _, counted := u.runs[id]; counted || len(u.runs) < maxCountedIDs {
		u.runs[id]++
	}
}

func (u *Upstream) workDuration(r *http.Request) time.Duration {
	d := u.cfg.ServiceTime
	if ms, err := strconv.Atoi(r.Header.Get(HeaderServiceTime)); err == nil && ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return d * time.Duration(u.workPercent.Load()) / normalWorkPercent
}

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, e Echo) {
	if n, err := strconv.Atoi(r.Header.Get(HeaderResponseBytes)); err == nil && n > 0 && n <= maxPadding {
		pad := make([]byte, n)
		for i := range pad {
			pad[i] = 'x'
		}
		e.Padding = string(pad)
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if limit := u.rateLimit.Load(); limit != nil {
		w.Header().Set(headerRateLimit, *limit)
	}
	// Simulates an upstream that copies headers from calls of its own: nodes must not
	// take its outcome header for that of a node.
	if v := r.Header.Get(HeaderForgedOutcome); v != "" {
		w.Header().Set(headerNodeOutcome, v)
	}
	_, _ = w.Write(b)
}
