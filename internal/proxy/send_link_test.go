package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// narrowMbps is the rate of the link in these tests: one long response takes 23 ms.
const narrowMbps = 16

// linkedBackend has the given number of slots and a link of the given rate; 0 means that
// the rate is not known.
func linkedBackend(mbps float64, slots int, up http.RoundTripper) *Backend {
	m := NewMetrics(tally.NoopScope)
	return NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: slots, QueueLimit: 40, Ledger: ledger.DefaultConfig(),
		Transport: up, MaxSends: 3, Links: NewLinks(mbps, m), SendBufferLimit: 1 << 20, SendBufferTotal: 8 << 20, ResponseBufferLimit: 4 << 10,
	}, &snapshot.Holder{}, nil, m, time.Now())
}

// sendFast sends a request as another node does that reads the response at once. It
// returns the response and how long it took.
func sendFast(b *Backend, path, kind string, objective *ObjectiveState) (http.Header, int, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	Envelope{Kind: kind, KindWeight: 1, Timeout: 5 * time.Second, Objective: objective, Idempotent: true}.write(r.Header)
	w := httptest.NewRecorder()
	start := time.Now()
	NewPeerHandler(b).ServeHTTP(w, r)
	return w.Header(), w.Code, time.Since(start)
}

// assertLinkFree fails if anything is committed or in progress.
func assertLinkFree(t *testing.T, m *machineLink) {
	t.Helper()
	synctest.Wait()
	time.Sleep(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Equal(t, m.link.Backlog(time.Now()), time.Duration(0))
	assert.Equal(t, len(m.waiting), 0)
}

// A request whose response the committed ones delay beyond its objective is refused
// before it takes a slot, although none of them has begun to be sent. Calls are not.
func TestCommittedLinkRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := linkedBackend(narrowMbps, 20, longResponses{})
		sendFast(b, "/long", "form", nil) // the mean size is known from here on
		var group sync.WaitGroup
		for range 10 { // 228 ms of the link
			group.Go(func() { sendFast(b, "/long", "form", nil) })
		}
		time.Sleep(5 * time.Millisecond)
		h, _, took := sendFast(b, "/long", "form", &ObjectiveState{Left: 150 * time.Millisecond})
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, h.Get(HeaderReason), string(admission.ReasonLink))
		assert.Equal(t, h.Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Assert(t, strings.HasPrefix(h.Get(headerLink), linkCauseResponse+":"))
		_, status, _ := sendFast(b, "/short", "call", &ObjectiveState{Left: 20 * time.Millisecond})
		assert.Equal(t, status, http.StatusOK)
		after, err := strconv.Atoi(h.Get(HeaderRetryAfterMs))
		assert.NilError(t, err)
		assert.Assert(t, after > 80 && after < 130, "%d ms", after)
		time.Sleep(time.Duration(after) * time.Millisecond)
		h, status, _ = sendFast(b, "/long", "form", &ObjectiveState{Left: 150 * time.Millisecond})
		assert.Equal(t, status, http.StatusOK, h.Get(HeaderReason))
		group.Wait()
		assertLinkFree(t, b.cfg.Links.send)
		assert.Equal(t, b.sendBuffered.Load(), int64(0))
	})
}

// Guards against pacing where it is not called for: a long response of a kind with short
// ones does not queue behind those of the kinds that fill the link.
func TestOnlyKindsWithLongResponsesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := linkedBackend(narrowMbps, 20, longResponses{})
		for range 20 {
			sendFast(b, "/short", "mixed", nil)
		}
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() { sendFast(b, "/long", "form", nil) })
		}
		time.Sleep(5 * time.Millisecond)
		_, status, took := sendFast(b, "/long", "mixed", nil)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, took, 10*time.Millisecond) // the run alone
		group.Wait()
		assertLinkFree(t, b.cfg.Links.send)
		assert.Equal(t, b.sendBuffered.Load(), int64(0))
	})
}

// Guards against long responses that are neither paced nor limited: of a kind with short
// ones, MaxSends are sent at once.
func TestLongResponsesOfOtherKindsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := linkedBackend(narrowMbps, 20, longResponses{})
		for range 20 {
			sendFast(b, "/short", "mixed", nil)
		}
		b.sendLimiter.acquire(t.Context(), 0)
		b.sendLimiter.acquire(t.Context(), 0)
		b.sendLimiter.acquire(t.Context(), 0)
		done := make(chan struct{})
		go func() {
			defer close(done)
			sendFast(b, "/long", "mixed", nil)
		}()
		time.Sleep(time.Second)
		select {
		case <-done:
			t.Fatal("more than MaxSends at once")
		default:
		}
		assert.Equal(t, b.sendBuffered.Load(), int64(longResponseSize))
		b.sendLimiter.release(0)
		<-done
		assert.Equal(t, b.sendBuffered.Load(), int64(0))
	})
}

// brokenReader reads some bytes and then fails.
type brokenReader struct{ n int }

func (b *brokenReader) Read(p []byte) (int, error) {
	if b.n <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.n)
	b.n -= n
	return n, nil
}

// disconnectedWriter fails all writes after the first one.
type disconnectedWriter struct {
	*httptest.ResponseRecorder
	writes int
}

func (d *disconnectedWriter) Write(p []byte) (int, error) {
	if d.writes++; d.writes > 1 {
		return 0, errors.New("disconnected")
	}
	return len(p), nil
}

// A commitment that outlives its request would make the link look full for ever.
func TestCommitmentIsReleasedOnEveryPath(t *testing.T) {
	long := func(r *http.Request) (*http.Response, error) { return longResponses{}.RoundTrip(r) }
	for name, c := range map[string]struct {
		up   func(*http.Request) (*http.Response, error)
		env  Envelope
		gone bool // writes to the caller fail
	}{
		"complete":             {up: long},
		"short after all":      {up: respondOK},
		"call fails":           {up: func(*http.Request) (*http.Response, error) { return nil, errors.New("lost") }},
		"refused for a slot":   {up: long, env: Envelope{NoWait: true}},
		"response is cut":      {up: cutResponse(1 << 10)},
		"streamed one is cut":  {up: cutResponse(2 << 20)},
		"caller stops reading": {up: long, gone: true},
		"keyed, caller gone":   {up: long, gone: true, env: Envelope{Key: "k-1"}},
		"no time left":         {up: func(r *http.Request) (*http.Response, error) { time.Sleep(time.Second); return long(r) }, env: Envelope{Timeout: time.Second}},
	} {
		synctest.Test(t, func(t *testing.T) {
			up := long
			b := linkedBackend(narrowMbps, 1, roundTripper(func(r *http.Request) (*http.Response, error) { return up(r) }))
			sendFast(b, "/long", "form", nil)
			if c.env.NoWait {
				go sendFast(b, "/long", "form", nil) // takes the slot
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
			up = c.up
			r := httptest.NewRequest(http.MethodPost, "/long", nil)
			c.env.Kind, c.env.KindWeight = "form", 1
			c.env.Timeout = max(c.env.Timeout, 500*time.Millisecond)
			c.env.write(r.Header)
			var w http.ResponseWriter = httptest.NewRecorder()
			ctx, cancel := context.WithCancel(t.Context())
			if c.gone {
				w = &disconnectedWriter{ResponseRecorder: httptest.NewRecorder()}
			}
			func() {
				defer cancel()
				defer func() { _ = recover() }() // http.ErrAbortHandler
				NewPeerHandler(b).ServeHTTP(w, r.WithContext(ctx))
			}()
			t.Log(name)
			assertLinkFree(t, b.cfg.Links.send)
			assert.Equal(t, b.sendBuffered.Load(), int64(0), name)
			assert.Equal(t, b.Load().InUse, 0, name)
		})
	}
}

func cutResponse(length int64) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		resp, err := respondOK(r)
		resp.Body, resp.ContentLength = io.NopCloser(&brokenReader{n: int(length / 2)}), length
		return resp, err
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// stuckWriter accepts nothing until it is released.
type stuckWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (s stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Readers that do not read must not stop long responses to others.
func TestStuckReadersLeaveTheLinkToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := linkedBackend(narrowMbps, 20, longResponses{})
		release := make(chan struct{})
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				r := httptest.NewRequest(http.MethodGet, "/long", nil)
				Envelope{Kind: "form", KindWeight: 1, Timeout: 5 * time.Second, Idempotent: true}.write(r.Header)
				NewPeerHandler(b).ServeHTTP(stuckWriter{httptest.NewRecorder(), release}, r)
			})
		}
		time.Sleep(20 * time.Millisecond)
		_, status, took := sendFast(b, "/long", "form", nil)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, took < 500*time.Millisecond, "%v", took)
		close(release)
		group.Wait()
		assertLinkFree(t, b.cfg.Links.send)
	})
}

// Where the link is wide or its rate is not known, requests are decided and reported as
// without this feature, at the same times.
func TestWideLinkDecidesAsUnknownOne(t *testing.T) {
	decisions := func(mbps float64) (seen []string) {
		synctest.Test(t, func(t *testing.T) {
			var n atomic.Int64
			b := linkedBackend(mbps, 4, roundTripper(func(r *http.Request) (*http.Response, error) {
				time.Sleep(time.Duration(n.Add(1)) * 13 * time.Microsecond) // no two requests end at the same time
				return longResponses{}.RoundTrip(r)
			}))
			for i := range 200 {
				path, kind, left := "/long", "form", time.Duration(20+i%60)*time.Millisecond
				if i%3 == 0 {
					path, kind = "/short", "call"
				}
				line := make(chan string)
				go func() {
					h, status, took := sendFast(b, path, kind, &ObjectiveState{Left: left})
					line <- strings.Join([]string{strconv.Itoa(status), h.Get(HeaderReason), h.Get(headerLoad), h.Get(headerRunTimes), took.String()}, " ")
				}()
				if i < 10 {
					seen = append(seen, <-line)
				} else {
					defer func() { seen = append(seen, <-line) }()
				}
				time.Sleep(time.Duration(i%4)*time.Millisecond + time.Duration(i)*7*time.Microsecond)
			}
		})
		return seen
	}
	unknown, wide := decisions(0), decisions(1000)
	assert.DeepEqual(t, unknown, wide)
	assert.Assert(t, strings.Contains(strings.Join(wide, " "), string(admission.ReasonTooLate)), "the load is too small to show a difference")
}
