package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
)

// Whatever a leaving node has read is answered, with a failure at worst. A leaving node
// cut responses that waited for the link of the node that had run their requests. The runs
// had ended 2.4 and 2.9 s before, and the callers got a closed connection instead of a
// failure.
func TestShutdownAnswersWhatWaitsForALink(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.store.change(func(u *discovery.Update) { // all requests go to the other node, with long timeouts
		u.Upstreams[0].Leaving, u.Upstreams[0].Revision = true, u.Revision
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = 20*time.Second, 10*time.Second
		}
	})
	for f.sidecars[0].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	const long, endless = 90 << 10, 64 << 20
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
		n := long
		if r.URL.Path == "/read/endless" {
			n = endless
		}
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = w.Write(make([]byte, n))
	})
	get := func(path string) (*http.Response, error) {
		req := f.request(0, "GET", path, "")
		req.Header.Set(testDialect.Deadline, "20000")
		return http.DefaultClient.Do(req)
	}
	for range maxSends { // responses that are never read saturate the link of the other node
		resp, err := get("/read/endless")
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
	}
	answered := make(chan error, 1)
	go func() {
		resp, err := get("/read/long")
		if err != nil {
			answered <- errors.Wrap(err, "no response")
			return
		}
		_, err = io.ReadAll(resp.Body)
		answered <- errors.Wrap(err, "truncated response")
	}()
	time.Sleep(100 * time.Millisecond)
	f.stops[0]()
	assert.NilError(t, <-answered)
}

// caller sends requests over one connection after another until the node is gone: single
// and pipelined ones, with pauses and without, and at times it reads slowly.
type caller struct {
	f          *fleet
	rnd        *rand.Rand
	unanswered *unansweredRequests
	deadline   string // value of the deadline header; empty for that of fleet.request
	// onResponse gets each response with the time since its request was sent. It may be
	// nil.
	onResponse func(id string, resp *http.Response, took time.Duration)
}

// unansweredRequests records the requests that were sent completely and got no response.
type unansweredRequests struct {
	mu       sync.Mutex
	answered int
	ids      []string
	closed   int           // connections closed under a request
	longest  time.Duration // the longest time from a request to such a close
}

// run returns when the node no longer accepts connections.
func (c *caller) run() {
	for {
		nc, err := net.Dial("tcp", c.f.callers(0))
		if err != nil {
			return
		}
		c.pause()
		for c.batch(nc) {
			c.pause()
		}
		_ = nc.Close()
	}
}

func (c *caller) pause() {
	if c.rnd.IntN(2) == 0 {
		time.Sleep(time.Duration(c.rnd.IntN(20)) * time.Millisecond)
	}
}

// batch sends one request or several pipelined ones, and reads the responses. It reports
// whether the connection stays open.
func (c *caller) batch(nc net.Conn) bool {
	var out bytes.Buffer
	sent := make([]string, 1+c.rnd.IntN(3))
	for i := range sent {
		req := c.f.request(0, http.MethodGet, "/read/x", "")
		sent[i] = req.Header.Get(testDialect.RequestID)
		if c.deadline != "" {
			req.Header.Set(testDialect.Deadline, c.deadline)
		}
		if err := req.Write(&out); err != nil {
			c.f.t.Error(err)
		}
	}
	if _, err := nc.Write(out.Bytes()); err != nil {
		return false
	}
	at, br := time.Now(), bufio.NewReader(nc)
	for i, id := range sent {
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			c.unanswered.add(id, time.Since(at))
			return false
		}
		c.unanswered.count()
		if c.onResponse != nil {
			c.onResponse(id, resp, time.Since(at))
		}
		if resp.Close {
			c.unanswered.addPipelined(sent[i+1:])
			return false
		}
	}
	return true
}

func (u *unansweredRequests) count() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered++
}

// addPipelined records the requests that were pipelined after a response that closed the
// connection.
func (u *unansweredRequests) addPipelined(ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids = append(u.ids, ids...)
}

func (u *unansweredRequests) add(id string, after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids, u.longest = append(u.ids, id), max(u.longest, after)
	u.closed++
}

// closeRaceWindow is the time in which a request may cross the close of its connection on
// the network. On loopback that takes less than a tenth of it.
const closeRaceWindow = 30 * time.Millisecond

// However callers connect and send while a node shuts down with requests in progress, and
// until it is gone: each request that ran gets its response, and requests find their
// connection closed only if they cross the final close, at most one for each caller. The
// failure to guard against is a node that closes the new connections of that time unread.
func TestShutdownAnswersAllRequestsRead(t *testing.T) {
	const callers = 12
	for seed := range uint64(3) {
		f := startFleet(t, 2, 3*time.Millisecond)
		f.setHandlers(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				time.Sleep(400 * time.Millisecond)
			}
		})
		unanswered := &unansweredRequests{}
		var group sync.WaitGroup
		for range 4 { // some of them run at the leaving node's upstream
			group.Go(func() { f.send(f.request(1, http.MethodPost, "/write/x", "b")) })
		}
		for i := range uint64(callers) {
			c := &caller{f: f, rnd: rand.New(rand.NewPCG(seed, i)), unanswered: unanswered}
			group.Go(c.run)
		}
		time.Sleep(50 * time.Millisecond)
		f.stops[0]()
		assert.NilError(t, <-f.done[0])
		group.Wait()
		assert.Assert(t, unanswered.answered > 0)
		for _, id := range unanswered.ids {
			for _, u := range f.upstreams {
				assert.Equal(t, u.runs(id), 0, "%s ran and has no response", id)
			}
		}
		assert.Assert(t, unanswered.longest < closeRaceWindow, "closed %v after a request", unanswered.longest)
		assert.Assert(t, unanswered.closed <= callers, "%d connections closed under a request", unanswered.closed)
		f.stop()
	}
}
