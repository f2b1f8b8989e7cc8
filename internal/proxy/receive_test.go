package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// slowUpstream answers each request when its body is read, after 10 ms of work.
type slowUpstream struct{ bodies []string }

func (s *slowUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	body := ""
	if r.Body != nil {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = string(raw)
	}
	s.bodies = append(s.bodies, body)
	time.Sleep(10 * time.Millisecond)
	return answer(r)
}

// slowBody gives its bytes after a time, or an error in their place.
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

// handOver sends a request as another node does, and returns its status.
func handOver(ctx context.Context, b *Backend, body io.ReadCloser, length int64, env Envelope) (int, http.Header) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", nil)
	r.Body, r.ContentLength = body, length
	env.Kind, env.KindWeight, env.Timeout = "upload", 1, 5*time.Second
	env.write(r.Header)
	w := httptest.NewRecorder()
	NewPeerHandler(b).ServeHTTP(w, r)
	return w.Code, w.Header()
}

const longBody = 20 << 10

func long(after time.Duration) *slowBody {
	return &slowBody{after: after, text: strings.Repeat("x", longBody)}
}

// A body that comes slowly holds no slot: a short request behind it is served
// meanwhile, and the body reaches the upstream whole.
func TestSlowBodyHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &slowUpstream{}
		b := receivingBackend(up)
		done := make(chan int, 1)
		go func() {
			status, _ := handOver(t.Context(), b, long(500*time.Millisecond), longBody, Envelope{NoWait: true})
			done <- status
		}()
		time.Sleep(100 * time.Millisecond)
		status, _ := handOver(t.Context(), b, nil, 0, Envelope{NoWait: true})
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, <-done, http.StatusOK)
		assert.Equal(t, len(up.bodies[1]), longBody)
		assert.Equal(t, b.Load().InUse, 0)
	})
}

// A body for which there is no turn in time stays with its sender, who is told
// that the request did not run and how long the next one may wait.
func TestBodiesAreReceivedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &slowUpstream{}
		b := receivingBackend(up)
		done := make(chan int, 1)
		go func() {
			status, _ := handOver(t.Context(), b, long(time.Second), longBody, Envelope{})
			done <- status
		}()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		status, header := handOver(t.Context(), b, long(0), longBody, Envelope{Objective: &ObjectiveState{Left: 50 * time.Millisecond}})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Equal(t, header.Get(HeaderReason), string(admission.ReasonBusy))
		assert.Equal(t, time.Since(began), 50*time.Millisecond)
		assert.Equal(t, <-done, http.StatusOK)
		assert.Equal(t, len(up.bodies), 1)
	})
}

// A body that breaks off reaches no upstream and frees its turn.
func TestCutBodyIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &slowUpstream{}
		b := receivingBackend(up)
		status, header := handOver(t.Context(), b, &slowBody{err: io.ErrUnexpectedEOF}, longBody, Envelope{})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
		status, _ = handOver(t.Context(), b, long(0), longBody, Envelope{})
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(up.bodies), 1)
	})
}
