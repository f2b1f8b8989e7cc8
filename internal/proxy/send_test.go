package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// longResponses is an upstream that answers after 10 ms, with 40 KB for /long.
type longResponses struct{}

const longResponseSize = 40 << 10

func (longResponses) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(10 * time.Millisecond)
	resp, _ := respondOK(r)
	if r.URL.Path == "/long" {
		resp.Body, resp.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("a", longResponseSize))), longResponseSize
	}
	return resp, nil
}

// slowLink accepts 40 KB of responses per 100 ms, over all connections.
type slowLink struct {
	*httptest.ResponseRecorder
	link chan struct{} // holds a token; a mutex would block the fake clock
}

func (s slowLink) Write(p []byte) (int, error) {
	<-s.link
	defer func() { s.link <- struct{}{} }()
	time.Sleep(time.Duration(len(p)) * 100 * time.Millisecond / longResponseSize)
	return s.ResponseRecorder.Write(p)
}

func newLink() chan struct{} {
	link := make(chan struct{}, 1)
	link <- struct{}{}
	return link
}

// sendingBackend has one slot and sends the given number of long responses
// concurrently.
func sendingBackend(senders int) *Backend {
	return NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: 1, QueueLimit: 40, Ledger: ledger.DefaultConfig(),
		Transport: longResponses{}, MaxSends: senders, SendBufferLimit: 1 << 20, SendBufferTotal: 8 << 20, ResponseBufferLimit: 4 << 10,
	}, &snapshot.Holder{}, nil, NewMetrics(tally.NoopScope), time.Now())
}

// sendTimed sends a request as another node does, and returns its status, its reason
// and how long it took.
func sendTimed(b *Backend, link chan struct{}, path, kind string, objective *ObjectiveState) (int, string, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	Envelope{Kind: kind, KindWeight: 1, Timeout: 5 * time.Second, Objective: objective, Idempotent: true}.write(r.Header)
	w := slowLink{httptest.NewRecorder(), link}
	start := time.Now()
	NewPeerHandler(b).ServeHTTP(w, r)
	return w.Code, w.Header().Get(HeaderReason), time.Since(start)
}

// Load pattern: more long responses than the link can carry. The slot is released as
// soon as the upstream has finished, and a short response does not wait behind all long
// ones: 30 ms instead of 850 ms with five of them.
func TestShortResponsePassesLongOnes(t *testing.T) {
	for senders, maxTime := range map[int]time.Duration{0: 2 * time.Second, 1: 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := sendingBackend(senders)
			link := newLink()
			var group sync.WaitGroup
			for range 5 {
				group.Go(func() {
					status, _, _ := sendTimed(b, link, "/long", "form", nil)
					assert.Equal(t, status, http.StatusOK)
				})
			}
			time.Sleep(60 * time.Millisecond)
			status, _, took := sendTimed(b, link, "/short", "call", nil)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, took < maxTime, "%d senders: %v", senders, took)
			group.Wait()
			assert.Equal(t, b.sendBuffered.Load(), int64(0))
		})
	}
}

// A request whose response the link cannot carry within the objective is refused at
// once as not run.
func TestFullLinkRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := sendingBackend(1)
		link := newLink()
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { sendTimed(b, link, "/long", "form", nil) })
		}
		time.Sleep(350 * time.Millisecond) // some responses have been sent, so the transfer time is known
		status, reason, took := sendTimed(b, newLink(), "/long", "form", &ObjectiveState{Left: 20 * time.Millisecond})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, reason, string(admission.ReasonLink))
		assert.Assert(t, took < 10*time.Millisecond, "%v", took)
		status, _, _ = sendTimed(b, link, "/short", "call", &ObjectiveState{Left: 200 * time.Millisecond})
		assert.Equal(t, status, http.StatusOK)
		group.Wait()
	})
}
