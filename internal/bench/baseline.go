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

// Policy names a load balancing policy that the goodput measurement compares.
type Policy string

// Policies that MeasureGoodput compares.
const (
	// PolicyMesh sends requests through walldrift nodes.
	PolicyMesh Policy = "walldrift"
	// PolicyRoundRobin uses upstreams in turn, without admission control or retries.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastConns uses the upstream with the fewest requests in flight from this
	// proxy, and retries up to twice after a transport error or a 5xx response.
	PolicyLeastConns Policy = "least-conns-retry"
)

// leastConnsTries is the number of tries of one request with PolicyLeastConns.
const leastConnsTries = 3

// baselineProxy is a plain reverse proxy that walldrift is compared with.
type baselineProxy struct {
	policy   Policy
	services map[string]*baselineService // by path prefix
	client   *http.Transport
}

type baselineService struct {
	upstreams []*baselineUpstream
	next      atomic.Uint64
	timeout   time.Duration
}

type baselineUpstream struct {
	url      *url.URL
	inFlight atomic.Int64
}

func newBaselineProxy(p Policy) *baselineProxy {
	return &baselineProxy{
		policy:   p,
		services: make(map[string]*baselineService),
		client:   &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
}

// addUpstream adds an upstream to the service that serves the path prefix.
func (b *baselineProxy) addUpstream(prefix string, u *url.URL, timeout time.Duration) {
	s, ok := b.services[prefix]
	if !ok {
		s = &baselineService{timeout: timeout}
		b.services[prefix] = s
	}
	s.upstreams = append(s.upstreams, &baselineUpstream{url: u})
}

// ServeHTTP forwards one request, with retries if the policy has them.
func (b *baselineProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		tries = leastConnsTries
	}
	for i := range tries {
		if b.try(ctx, w, r, s, string(body), i == tries-1) {
			return
		}
	}
}

func (b *baselineProxy) service(path string) *baselineService {
	for prefix, s := range b.services {
		if strings.HasPrefix(path, prefix) {
			return s
		}
	}
	return nil
}

func (b *baselineProxy) pick(s *baselineService) *baselineUpstream {
	n := s.next.Add(1)
	if b.policy == PolicyRoundRobin {
		return s.upstreams[n%uint64(len(s.upstreams))]
	}
	best := s.upstreams[n%uint64(len(s.upstreams))]
	for _, t := range s.upstreams {
		if t.inFlight.Load() < best.inFlight.Load() {
			best = t
		}
	}
	return best
}

// try makes one try and reports whether a response was sent to the caller. The last try
// always sends one.
func (b *baselineProxy) try(ctx context.Context, w http.ResponseWriter, r *http.Request, s *baselineService, body string, last bool) bool {
	t := b.pick(s)
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
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

// baselineFleet holds one baseline proxy for each node of a fleet.
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
