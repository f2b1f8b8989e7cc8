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

// Callers saw over half of their reads refused: one request ended the process of each
// upstream that ran it, came again, and was passed on to the next one. All six upstreams
// of a service fell within half a second and again whenever they were back, 36 times in
// 20 s. Nothing tied a broken connection to the request that met it: the upstream was
// blamed, and the request went on to those that were well, at once by the node itself
// and later by its caller. Of the 811 fingerprints in the 36 lines "own upstream fell"
// one, 607cd7dc28b0b463, stands in each and the next one in 4; none of its 178 lines has
// status 200. Held back where it was running at two falls with no answer since, and told
// to the nodes beside the other upstreams at once, it ended four.

// deadlyPath is that of requests that end the process of an upstream which runs them.
const deadlyPath = "/deadly"

// crashes makes the upstreams of a fleet end under requests of deadlyPath, and start
// again with another ID some time later.
type crashes struct {
	f    *fleet
	down time.Duration // from the end to the next start

	mu     sync.Mutex
	begun  []time.Time // runs of deadly requests
	isDown map[*upstream]bool
	gone   sync.WaitGroup
	falls  []time.Time
	ending bool
	starts int
}

// crashing starts the replay.
func (f *fleet) crashing(down time.Duration) *crashes {
	c := &crashes{f: f, down: down, isDown: make(map[*upstream]bool)}
	f.misbehave(c.handle)
	f.t.(*testing.T).Cleanup(func() {
		c.mu.Lock()
		c.ending = true
		c.mu.Unlock()
		c.gone.Wait()
	})
	return c
}

// crashAfter is how long a deadly request runs before the process ends.
const crashAfter = 30 * time.Millisecond

// usualRun is how long the others run.
const usualRun = 20 * time.Millisecond

func (c *crashes) handle(u *upstream, w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, deadlyPath) {
		time.Sleep(usualRun)
		_, _ = fmt.Fprint(w, "ok")
		return
	}
	c.mu.Lock()
	c.begun = append(c.begun, time.Now())
	c.mu.Unlock()
	time.Sleep(crashAfter)
	c.crash(u)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crash ends an upstream's process, as far as others can see, once.
func (c *crashes) crash(u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown[u] || c.ending {
		return
	}
	c.isDown[u] = true
	c.falls = append(c.falls, time.Now())
	_ = u.server.Close()
	c.gone.Go(func() {
		time.Sleep(c.down)
		c.start(u)
	})
}

// start starts an upstream anew, under another ID at its address.
func (c *crashes) start(u *upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return
	}
	c.starts++
	c.isDown[u] = false
	l, err := net.Listen("tcp", u.addr.String())
	assert.Check(c.f.t, err)
	if err != nil {
		return
	}
	server := &http.Server{Handler: u}
	u.mu.Lock()
	before := u.id
	u.id = "shop-again-" + strconv.Itoa(c.starts)
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

// seen returns the runs of deadly requests and the falls so far.
func (c *crashes) seen() (begun, falls []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(begun, c.begun...), append(falls, c.falls...)
}

// after counts the times that lie later than some time after the third fall.
func after(begun, falls []time.Time, settle time.Duration) int {
	if len(falls) < settledFalls {
		return 0
	}
	from := falls[settledFalls-1].Add(settle)
	n := 0
	for _, at := range begun {
		if at.After(from) {
			n++
		}
	}
	return n
}

const (
	// settledFalls is the number of falls from which on the fleet has to know.
	settledFalls = 3
	// settleTime is how long it may take until all nodes do: the users' bound is 3 s,
	// of which a node on one machine needs little.
	settleTime = time.Second
	// fewMore is the number of times that the request may run after that, in all.
	fewMore = 3
)

// repeat sends a request every interval to the nodes in turn until the time is over, and
// returns how many were answered and how many not.
func (f *fleet) repeat(method, path, body string, every, during time.Duration) (answered, others int) {
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
			others++
		})
		time.Sleep(every)
	}
	group.Wait()
	return answered, others
}

func TestRequestThatEndsItsUpstreams(t *testing.T) {
	for name, method := range map[string]string{"idempotent": "GET", "runs once at most": "POST"} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 5, 0)
			c := f.crashing(300 * time.Millisecond)
			route, body := "/read", ""
			if method == "POST" {
				route, body = "/write", strings.Repeat("b", 60<<10)
			}
			var deadly sync.WaitGroup
			deadly.Go(func() { f.repeat(method, route+deadlyPath, body, 70*time.Millisecond, 4*time.Second) })
			time.Sleep(2500 * time.Millisecond)
			answered, others := f.repeat("GET", "/read/innocent", "", 10*time.Millisecond, time.Second)
			deadly.Wait()
			begun, falls := c.seen()
			more := after(begun, falls, settleTime)
			t.Logf("%d runs, %d falls, %d runs later than %v after the third; of the others %d answered, %d not", len(begun), len(falls), more, settleTime, answered, others)
			assert.Assert(t, more <= fewMore, "a request under which %d upstreams had ended was run %d times more", settledFalls, more)
			assert.Equal(t, others, 0, "others are served once it is known")
		})
	}
}
