package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/retry"
)

// Whatever bodies arrive, stall and end: the memory of those that are arriving stays within
// the limit, a body that makes progress is never given up, and nothing is held in the end.
func TestArrivalsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		a := newArrivals(limit)
		now := time.Unix(0, 0)
		var bodies []*arrival
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 3).Draw(t, "action")
			if len(bodies) == 0 || action == 0 {
				var b *arrival
				b = a.begin(now, func() { assert.Assert(t, now.Sub(b.progressed) >= stalledAfter) })
				bodies = append(bodies, b)
				continue
			}
			i := rapid.IntRange(0, len(bodies)-1).Draw(t, "body")
			b := bodies[i]
			switch action {
			case 1:
				b.progress(now)
				b.grow(now, int64(rapid.IntRange(0, 600<<10).Draw(t, "size")))
			case 2:
				b.progress(now)
			case 3:
				b.end()
				bodies = append(bodies[:i], bodies[i+1:]...)
			}
			assert.Assert(t, a.held <= limit)
		}
		for _, b := range bodies {
			b.end()
		}
		assert.Equal(t, a.held, int64(0))
		assert.Equal(t, len(a.bodies), 0)
	})
}

// Guards against bodies that take memory without counting until they are whole: bodies
// that stop short of their end, in chunks or with a length, would add up without a bound.
func TestArrivingBodiesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, length = 100 << 10, 80 << 10
		s := &scripted{script: []func(*http.Request) (*http.Response, error){respondOK}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), BufferLimit: 90 << 10, BufferTotal: limit}, everyMember, s)
		send := func(chunked bool, body io.Reader) *httptest.ResponseRecorder {
			r := httptest.NewRequest(http.MethodPost, "/payments/x", io.NopCloser(body))
			r.ContentLength = length
			if chunked {
				r.ContentLength = -1
			}
			w := httptest.NewRecorder()
			f.ServeHTTP(w, r)
			return w
		}
		for i := range 4 {
			go send(i%2 == 0, stalledReader{t.Context(), strings.NewReader(strings.Repeat("b", length-1))})
		}
		synctest.Wait()
		assert.Assert(t, f.arrivals.held > 0 && f.arrivals.held <= limit)
		// A short body is served all the same; a long one that finds no memory has not run.
		assert.Equal(t, send(true, strings.NewReader("short")).Code, http.StatusOK)
		refused := send(true, strings.NewReader(strings.Repeat("b", length)))
		assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
		assert.Equal(t, refused.Header().Get(HeaderReason), reasonBodiesFull)
		assert.Equal(t, refused.Header().Get(HeaderOutcome), string(OutcomeNotRun))
		// Once the others have stalled, it gets their memory.
		time.Sleep(stalledAfter)
		assert.Equal(t, send(true, strings.NewReader(strings.Repeat("b", length))).Code, http.StatusOK)
		assert.Equal(t, len(s.seen), 2)
	})
}

// The part of a streamed body that has been read counts until the request ends.
func TestStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
			<-release
			return respondOK(r)
		}}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), BufferLimit: 4 << 10, BufferTotal: 1 << 20}, everyMember, s)
		send := func() int {
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", strings.NewReader(strings.Repeat("b", 20<<10))))
			return w.Code
		}
		for range maxStreams {
			go send()
		}
		synctest.Wait()
		assert.Equal(t, send(), http.StatusServiceUnavailable)
		close(release)
		synctest.Wait()
		assert.Equal(t, f.streams.Load(), int64(0))
		assert.Equal(t, f.arrivals.held, int64(0))
		assert.Equal(t, send(), http.StatusOK)
	})
}
