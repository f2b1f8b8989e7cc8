package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
)

// The tests in this file guard against a request that crashes every upstream that runs it.
// A broken connection was attributed to the upstream alone, so nodes and callers retried
// the request at healthy upstreams. All six upstreams of a service crashed within half a
// second and again after each restart, 36 times in 20 s, and over half of the reads were
// refused. Of the 811 requests in flight at these 36 crashes, it alone was in flight at each
// of them, and the next most frequent one at 4. A request that was in flight at two crashes
// without a response since is therefore quarantined, and the record is pushed at once to the
// nodes beside the other upstreams. With that the request crashed four upstreams.

// crashPath is the path of requests that crash the upstream that runs them.
const crashPath = "/deadly"

// crashSimulator crashes the upstreams of a fleet under requests for crashPath, and
// restarts them some time later with another ID.
type crashSimulator struct {
	f        *fleet
	downtime time.Duration // from a crash to the restart

	mu         sync.Mutex
	runs       []time.Time // start times of the requests for crashPath
	isDown     map[*upstream]bool
	restarts   sync.WaitGroup
	crashes    []time.Time
	stopped    bool
	startCount int
}

// simulateCrashes starts a crash simulator.
func (f *fleet) simulateCrashes(down time.Duration) *crashSimulator {
	c := &crashSimulator{f: f, downtime: down, isDown: make(map[*upstream]bool)}
	f.setHandlers(c.handle)
	f.t.(*testing.T).Cleanup(func() {
		c.mu.Lock()
		c.stopped = true
		c.mu.Unlock()
		c.restarts.Wait()
	})
	return c
}

// crashDelay is how long a request for crashPath runs before the process crashes.
const crashDelay = 30 * time.Millisecond

// normalRunTime is how long other requests run.
const normalRunTime = 20 * time.Millisecond

func (c *crashSimulator) handle(u *upstream, w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, crashPath) {
		time.Sleep(normalRunTime)
		_, _ = fmt.Fprint(w, "ok")
		return
	}
	c.mu.Lock()
	c.runs = append(c.runs, time.Now())
	c.mu.Unlock()
	time.Sleep(crashDelay)
	c.crash(u)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crash ends the process of an upstream, as far as other processes can see, unless it is
// down already.
func (c *crashSimulator) crash(u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown[u] || c.stopped {
		return
	}
	c.isDown[u] = true
	c.crashes = append(c.crashes, time.Now())
	_ = u.server.Close()
	c.restarts.Go(func() {
		time.Sleep(c.downtime)
		c.start(u)
	})
}

// start restarts an upstream at its address with another ID.
func (c *crashSimulator) start(u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.startCount++
	c.isDown[u] = false
	l, err := net.Listen("tcp", u.addr.String())
	assert.Check(c.f.t, err)
	if err != nil {
		return
	}
	server := &http.Server{Handler: u}
	u.mu.Lock()
	before := u.id
	u.id = "shop-again-" + strconv.Itoa(c.startCount)
	u.server = server
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	c.f.store.change(func(s *discovery.Update) {
		for i := range s.Upstreams {
			if s.Upstreams[i].ID == before {
				s.Upstreams[i].ID, s.Upstreams[i].Revision = u.id, s.Revision
			}
		}
		s.Removed = append(s.Removed, discovery.Removal{ID: before, Revision: s.Revision})
	})
}

// seen returns the times of the runs of requests for crashPath and of the crashes so far.
func (c *crashSimulator) seen() (runs, crashes []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(runs, c.runs...), append(crashes, c.crashes...)
}

// runsAfter counts the runs that began later than settle after the third crash.
func runsAfter(runs, crashes []time.Time, settle time.Duration) int {
	if len(crashes) < knownAfterCrashes {
		return 0
	}
	from := crashes[knownAfterCrashes-1].Add(settle)
	n := 0
	for _, at := range runs {
		if at.After(from) {
			n++
		}
	}
	return n
}

const (
	// knownAfterCrashes is the number of crashes after which all nodes have to quarantine
	// the request.
	knownAfterCrashes = 3
	// settleTime is how long that may take. The requirement is 3 s, of which nodes on one
	// machine need little.
	settleTime = time.Second
	// maxLaterRuns is the number of times that the request may run after that.
	maxLaterRuns = 3
)

// repeat sends a request to the nodes in turn, one in each interval, until the time is
// over. It returns how many were answered and how many were not.
func (f *fleet) repeat(method, path, body string, every, during time.Duration) (answered, failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(during)
	for i := 0; time.Now().Before(end); i++ {
		req := f.request(i%len(f.sidecars), method, path, body)
		group.Go(func() {
			resp, err := http.DefaultClient.Do(req)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				answered++
				return
			}
			failed++
		})
		time.Sleep(every)
	}
	group.Wait()
	return answered, failed
}

func TestRequestThatCrashesUpstreams(t *testing.T) {
	for name, method := range map[string]string{"idempotent": "GET", "not idempotent": "POST"} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 5, 0)
			c := f.simulateCrashes(300 * time.Millisecond)
			route, body := "/read", ""
			if method == "POST" {
				route, body = "/write", strings.Repeat("b", 60<<10)
			}
			var crashing sync.WaitGroup
			crashing.Go(func() { f.repeat(method, route+crashPath, body, 70*time.Millisecond, 4*time.Second) })
			time.Sleep(2500 * time.Millisecond)
			answered, failed := f.repeat("GET", "/read/innocent", "", 10*time.Millisecond, time.Second)
			crashing.Wait()
			runs, crashes := c.seen()
			more := runsAfter(runs, crashes, settleTime)
			t.Logf("%d runs, %d crashes, %d runs later than %v after the third crash; of other requests %d answered, %d not", len(runs), len(crashes), more, settleTime, answered, failed)
			assert.Assert(t, more <= maxLaterRuns, "a request under which %d upstreams had crashed ran %d more times", knownAfterCrashes, more)
			assert.Equal(t, failed, 0, "other requests must be served once the request is quarantined")
		})
	}
}
