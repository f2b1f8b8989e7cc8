package sidecar

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/proxy"
)

// arrival is a request that reached an advertising upstream.
type arrival struct {
	node   int       // where the request entered the mesh
	sentAt time.Time // by its caller
	at     time.Time
}

// advertiser records the requests at one upstream of a fleet, which advertises its state in
// all responses, and which nodes forwarded such responses.
type advertiser struct {
	f      *fleet
	u      *upstream
	header string

	mu       sync.Mutex
	arrivals []arrival
	firstAt  time.Time         // of the first response with the header
	toldAt   map[int]time.Time // when each node first forwarded one in its present process
}

// advertise makes upstream i advertise a value from now on; an empty value ends that.
func (u *upstream) advertise(header, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advertised = http.Header{}
	if value != "" {
		u.advertised.Set(header, value)
	}
}

// watchAdvertised records what upstream i gets and which nodes know what it advertises.
func (f *fleet) watchAdvertised(i int, header string) *advertiser {
	a := &advertiser{f: f, u: f.upstreams[i], header: header, toldAt: make(map[int]time.Time)}
	inner := a.u.server.Handler
	a.u.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.recordArrival(r)
		inner.ServeHTTP(w, r)
	})
	return a
}

// The path of a request says where it entered the mesh and when: /read/NODE/NANOSECONDS.
func readPath(node int) string { return fmt.Sprintf("/read/%d/%d", node, time.Now().UnixNano()) }

func (a *advertiser) recordArrival(r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	if len(parts) != 4 {
		return
	}
	node, _ := strconv.Atoi(parts[2])
	sent, _ := strconv.ParseInt(parts[3], 10, 64)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals = append(a.arrivals, arrival{node: node, sentAt: time.Unix(0, sent), at: time.Now()})
}

// recordResponse records that a caller of a node got a response of this upstream.
func (a *advertiser) recordResponse(node int, h http.Header) {
	if h.Get(testDialect.Signature) != a.u.id || h.Get(a.header) == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.firstAt.IsZero() {
		a.firstAt = now
	}
	if a.toldAt[node].IsZero() {
		a.toldAt[node] = now
	}
}

// restart restarts the sidecar of a node, whose new process has not been told anything.
func (a *advertiser) restart(node int) {
	a.f.restart(node)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.toldAt, node)
}

// loadResult is what callers got.
type loadResult struct {
	served, refused   int
	slowestRefusal    time.Duration
	withoutRetryAfter int // refusals that do not say when to retry
	reasons           []string
}

func (l *loadResult) record(resp *http.Response, took time.Duration) {
	if resp.StatusCode == http.StatusOK {
		l.served++
		return
	}
	l.refused++
	l.reasons = append(l.reasons, resp.Header.Get(proxy.HeaderReason))
	l.slowestRefusal = max(l.slowestRefusal, took)
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || !(after > 0) {
		l.withoutRetryAfter++
	}
}

// refusedByUpstreams returns the reasons of the refusals without those of a sidecar that
// shuts down or has just started itself.
func (l *loadResult) refusedByUpstreams() []string {
	return slices.DeleteFunc(l.reasons, func(reason string) bool { return reason == "node-leaves" || reason == "no-table" })
}

// sendThrough sends requests through some nodes for a duration, several at once.
func (f *fleet) sendThrough(d time.Duration, nodes []int, watchers ...*advertiser) loadResult {
	const callersPerNode, pause = 4, 10 * time.Millisecond
	var result loadResult
	var mu sync.Mutex
	var group sync.WaitGroup
	until := time.Now().Add(d)
	for i := range callersPerNode * len(nodes) {
		node := nodes[i%len(nodes)]
		group.Go(func() {
			for time.Now().Before(until) {
				begin := time.Now()
				resp, err := http.DefaultClient.Do(f.request(node, "GET", readPath(node), ""))
				if err != nil {
					time.Sleep(time.Millisecond) // its sidecar restarts
					continue
				}
				_ = resp.Body.Close()
				for _, a := range watchers {
					a.recordResponse(node, resp.Header)
				}
				mu.Lock()
				result.record(resp, time.Since(begin))
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	return result
}

// allNodes returns the indices of the nodes of a fleet.
func (f *fleet) allNodes() []int {
	out := make([]int, len(f.sidecars))
	for i := range out {
		out[i] = i
	}
	return out
}
