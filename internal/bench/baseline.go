package bench

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Policy names a way of carrying requests that is compared.
type Policy string

// The policies.
const (
	// PolicyMesh is the product.
	PolicyMesh Policy = "walldrift"
	// PolicyRoundRobin takes upstreams in turn, without admission or retries.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastConns takes the upstream with the fewest requests in flight
	// from this proxy, and tries twice more after any error or 5xx.
	PolicyLeastConns Policy = "least-conns-retry"
)

// baselineTries is the number of tries of PolicyLeastConns.
const baselineTries = 3

// baseline is one plain reverse proxy.
type baseline struct {
	policy   Policy
	services map[string]*baselineService // by path prefix
	client   *http.Transport
}

type baselineService struct {
	targets []*baselineTarget
	next    atomic.Uint64
	timeout time.Duration
}

type baselineTarget struct {
	url    *url.URL
	flight atomic.Int64
}

func newBaseline(p Policy) *baseline {
	return &baseline{
		policy:   p,
		services: make(map[string]*baselineService),
		client:   &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
}

// add names an upstream of the service under a prefix.
func (b *baseline) add(prefix string, u *url.URL, timeout time.Duration) {
	s, ok := b.services[prefix]
	if !ok {
		s = &baselineService{timeout: timeout}
		b.services[prefix] = s
	}
	s.targets = append(s.targets, &baselineTarget{url: u})
}

// ServeHTTP carries one request.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := b.service(r.URL.Path)
	if s == nil {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.timeout)
	defer cancel()
	tries := 1
	if b.policy == PolicyLeastConns {
		tries = baselineTries
	}
	for i := range tries {
		if b.try(ctx, w, r, s, string(body), i == tries-1) {
			return
		}
	}
}

func (b *baseline) service(path string) *baselineService {
	for prefix, s := range b.services {
		if strings.HasPrefix(path, prefix) {
			return s
		}
	}
	return nil
}

func (b *baseline) pick(s *baselineService) *baselineTarget {
	n := s.next.Add(1)
	if b.policy == PolicyRoundRobin {
		return s.targets[n%uint64(len(s.targets))]
	}
	best := s.targets[n%uint64(len(s.targets))]
	for _, t := range s.targets {
		if t.flight.Load() < best.flight.Load() {
			best = t
		}
	}
	return best
}

// try makes one try and reports whether the caller has been answered.
func (b *baseline) try(ctx context.Context, w http.ResponseWriter, r *http.Request, s *baselineService, body string, last bool) bool {
	t := b.pick(s)
	t.flight.Add(1)
	defer t.flight.Add(-1)
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = t.url.Scheme, t.url.Host
	out.Body = io.NopCloser(strings.NewReader(body))
	out.ContentLength = int64(len(body))
	resp, err := b.client.RoundTrip(out)
	if err != nil {
		if last || ctx.Err() != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return true
		}
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusInternalServerError && !last {
		return false
	}
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// baselineFleet runs one proxy for each node of a fleet.
type baselineFleet struct {
	mu      sync.Mutex
	proxies []*httptest.Server
}

func (f *baselineFleet) urls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, p := range f.proxies {
		out = append(out, p.URL)
	}
	return out
}

func (f *baselineFleet) close() {
	for _, p := range f.proxies {
		p.CloseClientConnections()
		p.Close()
	}
}
