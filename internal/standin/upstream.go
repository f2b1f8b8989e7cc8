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

// Headers of the upstream stand-in.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderWork overrides the time a request takes, in milliseconds.
	HeaderWork = "X-Work-Ms"
	// HeaderAnswer sets the size of the answer's padding in bytes.
	HeaderAnswer = "X-Answer-Bytes"
	// HeaderPretend makes the answer carry a header that only nodes write.
	HeaderPretend = "X-Pretend-Outcome"
	nodeOutcome   = "Walldrift-Outcome"
)

// maxPadding bounds the padding of an answer.
const maxPadding = 16 << 20

// UpstreamConfig holds the settings of an Upstream.
type UpstreamConfig struct {
	Name  string
	Slots int           // requests worked on at once; more wait inside
	Work  time.Duration // time that one request takes
	// Lie makes the load end point report an idle upstream.
	Lie bool
}

// Upstream is a stand-in of one upstream instance. It answers with what it got,
// so that a caller can tell its own answer, and counts what it ran.
type Upstream struct {
	cfg      UpstreamConfig
	slots    chan struct{}
	slowdown atomic.Int64 // percent of Work; 100 is normal
	draining atomic.Bool
	inUse    atomic.Int64

	mu   sync.Mutex
	runs map[string]int // by request ID
	last time.Time      // start of the newest request
}

// maxRuns bounds the request IDs counted.
const maxRuns = 1 << 20

// NewUpstream returns a stand-in.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	u := &Upstream{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: make(map[string]int)}
	u.slowdown.Store(normalSpeed)
	return u
}

const normalSpeed = 100

// SetSlowdown makes each request take percent of its normal time.
func (u *Upstream) SetSlowdown(percent int) { u.slowdown.Store(int64(percent)) }

// SetDraining changes what the health end point says.
func (u *Upstream) SetDraining(on bool) { u.draining.Store(on) }

// Runs returns how often each request ID was run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// LastStart returns when the newest request began to run.
func (u *Upstream) LastStart() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.last
}

// Echo is the answer of an upstream stand-in.
type Echo struct {
	Upstream  string `json:"upstream"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Bytes     int    `json:"bytes"`
	SHA256    string `json:"sha256"`
	Padding   string `json:"padding,omitempty"`
}

// ServeHTTP works on one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		u.health(w)
		return
	case "/load":
		u.load(w)
		return
	case "/standin/runs":
		_ = json.NewEncoder(w).Encode(u.Runs())
		return
	case "/standin/drain":
		u.SetDraining(r.URL.Query().Get("on") != "false")
		return
	case "/standin/slow":
		if percent, err := strconv.Atoi(r.URL.Query().Get("percent")); err == nil && percent > 0 {
			u.SetSlowdown(percent)
		}
		return
	}
	u.work(w, r)
}

func (u *Upstream) health(w http.ResponseWriter) {
	if u.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (u *Upstream) load(w http.ResponseWriter) {
	inUse := u.inUse.Load()
	if u.cfg.Lie {
		inUse = 0
	}
	_, _ = io.WriteString(w, strconv.FormatInt(inUse, 10)+"\n")
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request) {
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	u.inUse.Add(1)
	defer func() { u.inUse.Add(-1); <-u.slots }()
	id := r.Header.Get(HeaderRequestID)
	u.count(id)
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(u.duration(r)):
	case <-r.Context().Done():
		return
	}
	u.answer(w, r, Echo{Upstream: u.cfg.Name, RequestID: id, Path: r.URL.Path, Bytes: int(n), SHA256: hex.EncodeToString(sum.Sum(nil))})
}

func (u *Upstream) count(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last = time.Now()
	if id != "" && len(u.runs) < maxRuns {
		u.runs[id]++
	}
}

func (u *Upstream) duration(r *http.Request) time.Duration {
	d := u.cfg.Work
	if ms, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil && ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return d * time.Duration(u.slowdown.Load()) / normalSpeed
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, e Echo) {
	if n, err := strconv.Atoi(r.Header.Get(HeaderAnswer)); err == nil && n > 0 && n <= maxPadding {
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
	// A careless upstream that copies headers of its own calls must not be
	// able to speak for a node.
	if v := r.Header.Get(HeaderPretend); v != "" {
		w.Header().Set(nodeOutcome, v)
	}
	_, _ = w.Write(b)
}
