package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// slowUpstream reads each request's body and answers after 10 ms of work.
type slowUpstream struct {
	mu     sync.Mutex
	bodies []string
}

func (s *slowUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	body := ""
	if r.Body != nil {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = string(raw)
	}
	s.mu.Lock()
	s.bodies = append(s.bodies, body)
	s.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	return respondOK(r)
}

// slowBody returns its bytes, or an error instead, after a delay.
type slowBody struct {
	after time.Duration
	text  string
	err   error
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.after)
	if b.err != nil {
		return 0, b.err
	}
	n := copy(p, b.text)
	b.text = b.text[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (b *slowBody) Close() error { return nil }

// receivingBackend has one slot and receives one body at a time.
func receivingBackend(up http.RoundTripper) *Backend {
	return NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: 1, QueueLimit: 4, Ledger: ledger.DefaultConfig(),
		Transport: up, MaxReceives: 1, MaxReceivedBody: 1 << 20,
	}, &snapshot.Holder{}, nil, NewMetrics(tally.NoopScope), time.Now())
}

// forward sends a request as another node does, and returns the status and headers of
// the response.
func forward(ctx context.Context, b *Backend, body io.ReadCloser, length int64, env Envelope) (int, http.Header) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", nil)
	r.Body, r.ContentLength = body, length
	env.Kind, env.KindWeight, env.Timeout = "upload", 1, 5*time.Second
	env.write(r.Header)
	w := httptest.NewRecorder()
	NewPeerHandler(b).ServeHTTP(w, r)
	return w.Code, w.Header()
}

const longBodySize = 20 << 10

func slowLongBody(after time.Duration) *slowBody {
	return &slowBody{after: after, text: strings.Repeat("x", longBodySize)}
}

// A body that arrives slowly occupies no slot: a short request behind it is served
// meanwhile, and the upstream gets the body complete.
func TestSlowBodyHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &slowUpstream{}
		b := receivingBackend(up)
		done := make(chan int, 1)
		go func() {
			status, _ := forward(t.Context(), b, slowLongBody(500*time.Millisecond), longBodySize, Envelope{NoWait: true})
			done <- status
		}()
		time.Sleep(100 * time.Millisecond)
		status, _ := forward(t.Context(), b, nil, 0, Envelope{NoWait: true})
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, <-done, http.StatusOK)
		assert.Equal(t, len(up.bodies[1]), longBodySize)
		assert.Equal(t, b.Load().InUse, 0)
	})
}

// A body that cannot be received in time, because another one is being received, is not
// read. The sender is told that its request did not run.
func TestBodyReceivesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &slowUpstream{}
		b := receivingBackend(up)
		done := make(chan int, 1)
		go func() {
			status, _ := forward(t.Context(), b, slowLongBody(time.Second), longBodySize, Envelope{})
			done <- status
		}()
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		status, header := forward(t.Context(), b, slowLongBody(0), longBodySize, Envelope{Objective: &ObjectiveState{Left: 50 * time.Millisecond}})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Equal(t, header.Get(HeaderReason), string(admission.ReasonBusy))
		assert.Equal(t, time.Since(start), 50*time.Millisecond)
		assert.Equal(t, <-done, http.StatusOK)
		assert.Equal(t, len(up.bodies), 1)
	})
}

// A truncated body reaches no upstream and frees its place in the receive limiter.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &slowUpstream{}
		b := receivingBackend(up)
		status, header := forward(t.Context(), b, &slowBody{err: io.ErrUnexpectedEOF}, longBodySize, Envelope{})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
		status, _ = forward(t.Context(), b, slowLongBody(0), longBodySize, Envelope{})
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(up.bodies), 1)
	})
}

// silentConn is a connection that falls silent in the middle of a body. A read ends at its
// deadline only.
type silentConn struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (s *silentConn) SetReadDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *silentConn) Read([]byte) (int, error) {
	if s.deadline.IsZero() {
		select {} // for ever
	}
	time.Sleep(time.Until(s.deadline))
	return 0, os.ErrDeadlineExceeded
}

func (s *silentConn) Close() error { return nil }

// Guards against bodies of other nodes that are read without a deadline: after open
// connections had fallen silent once amid uploads, their places in the receive limiter were
// never free again, and no further upload of another node was served.
func TestSilentBodyGivesItsPlaceBack(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{time.Second: time.Second, time.Minute: bodyStallTimeout} {
		synctest.Test(t, func(t *testing.T) {
			up := &slowUpstream{}
			b := receivingBackend(up)
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			conn := &silentConn{ResponseRecorder: httptest.NewRecorder()}
			r.Body, r.ContentLength = conn, longBodySize
			Envelope{Kind: "upload", KindWeight: 1, Timeout: timeout}.write(r.Header)
			start := time.Now()
			NewPeerHandler(b).ServeHTTP(conn, r)
			assert.Equal(t, time.Since(start), want)
			assert.Equal(t, conn.Code, http.StatusServiceUnavailable)
			assert.Equal(t, conn.Header().Get(HeaderReason), reasonBodyStalled)
			status, _ := forward(t.Context(), b, slowLongBody(0), longBodySize, Envelope{})
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, len(up.bodies), 1)
		})
	}
}

// Guards against slots of an upstream that are held until the deadlines of requests whose
// callers have stopped sending.
func TestStalledStreamEndsItsTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
			r.Context().Value(admissionHookKey{}).(func())()
			_, err := io.ReadAll(r.Body)
			return nil, err
		}}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
		conn := &silentConn{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(http.MethodPost, "/payments/x", nil)
		r.Body, r.ContentLength = conn, 1<<20
		start, snap := time.Now(), f.holder.Current()
		ex := f.newExchange(r, start, snap, snap.Match(r.Host, r.Method, "/payments/x"), nil)
		ex.deadline = start.Add(time.Minute)
		ex.serve(t.Context(), conn)
		assert.Equal(t, time.Since(start), bodyStallTimeout)
		assert.Equal(t, conn.Code, http.StatusBadGateway)
	})
}
