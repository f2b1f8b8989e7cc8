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

// A node that left cut answers that waited for the link of the node that had run
// their requests: the runs had ended 2.4 and 2.9 s before, and the callers got a
// closed connection in place of a failure that says so. Whatever a leaving node
// has read is answered, with a failure at worst.
func TestLeavingNodeAnswersWhatWaitsForALink(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.store.change(func(u *discovery.Update) { // all goes to the other node, and may take long
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
	f.misbehave(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
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
	for range senders { // the link of the other node is full of what nobody reads
		resp, err := get("/read/endless")
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
	}
	answered := make(chan error, 1)
	go func() {
		resp, err := get("/read/long")
		if err != nil {
			answered <- errors.Wrap(err, "no answer")
			return
		}
		_, err = io.ReadAll(resp.Body)
		answered <- errors.Wrap(err, "half an answer")
	}()
	time.Sleep(100 * time.Millisecond)
	f.stops[0]()
	assert.NilError(t, <-answered)
}

// caller sends requests over one connection after another until the node is gone:
// some alone, some behind each other, with pauses and without, and reads slowly at
// times.
type caller struct {
	f    *fleet
	rnd  *rand.Rand
	seen *unanswered
	wait string // as the caller says it; empty for that of the fleet's requests
	// answer takes each answer with the time since its request was sent; nil for none.
	answer func(id string, resp *http.Response, took time.Duration)
}

// unanswered are requests that were sent whole and have no answer.
type unanswered struct {
	mu       sync.Mutex
	answered int
	ids      []string
	closed   int           // connections closed under a request
	late     time.Duration // the longest time from a request to such a close
}

// run returns when the node accepts no connection any more.
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

// batch sends one request or some behind each other and reads the answers. It
// reports whether the connection goes on.
func (c *caller) batch(nc net.Conn) bool {
	var out bytes.Buffer
	sent := make([]string, 1+c.rnd.IntN(3))
	for i := range sent {
		req := c.f.request(0, http.MethodGet, "/read/x", "")
		sent[i] = req.Header.Get(testDialect.RequestID)
		if c.wait != "" {
			req.Header.Set(testDialect.Deadline, c.wait)
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
			c.seen.add(id, time.Since(at))
			return false
		}
		c.seen.count()
		if c.answer != nil {
			c.answer(id, resp, time.Since(at))
		}
		if resp.Close {
			c.seen.behind(sent[i+1:])
			return false
		}
	}
	return true
}

func (u *unanswered) count() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered++
}

// behind notes requests behind an answer that told that it is the last.
func (u *unanswered) behind(ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids = append(u.ids, ids...)
}

func (u *unanswered) add(id string, after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids, u.late = append(u.ids, id), max(u.late, after)
	u.closed++
}

// crossing is the time in which a request may meet the close of its connection on
// the way: loopback takes less than a tenth of it.
const crossing = 30 * time.Millisecond

// Whatever way callers come in, while a node leaves with work in progress and until
// it is gone: no request that ran lacks its answer, and none finds its connection
// closed but those that meet the last close on the way, one a caller at the most.
// Before, each new connection of that time was closed unread.
func TestLeavingNodeAnswersAllThatCame(t *testing.T) {
	const callers = 12
	for seed := range uint64(3) {
		f := startFleet(t, 2, 3*time.Millisecond)
		f.misbehave(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				time.Sleep(400 * time.Millisecond)
			}
		})
		seen := &unanswered{}
		var group sync.WaitGroup
		for range 4 { // some of them run at the leaving node's upstream
			group.Go(func() { f.send(f.request(1, http.MethodPost, "/write/x", "b")) })
		}
		for i := range uint64(callers) {
			c := &caller{f: f, rnd: rand.New(rand.NewPCG(seed, i)), seen: seen}
			group.Go(c.run)
		}
		time.Sleep(50 * time.Millisecond)
		f.stops[0]()
		assert.NilError(t, <-f.done[0])
		group.Wait()
		assert.Assert(t, seen.answered > 0)
		for _, id := range seen.ids {
			for _, u := range f.upstreams {
				assert.Equal(t, u.runs(id), 0, "%s ran and has no answer", id)
			}
		}
		assert.Assert(t, seen.late < crossing, "closed %v after a request", seen.late)
		assert.Assert(t, seen.closed <= callers, "%d connections closed under a request", seen.closed)
		f.stop()
	}
}
