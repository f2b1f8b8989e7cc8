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

// longAnswers is an upstream whose answers to /long have 40 KB, after 10 ms.
type longAnswers struct{}

const longAnswer = 40 << 10

func (longAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(10 * time.Millisecond)
	resp, _ := answer(r)
	if r.URL.Path == "/long" {
		resp.Body, resp.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("a", longAnswer))), longAnswer
	}
	return resp, nil
}

// slowLink takes the bytes of answers at 40 KB in 100 ms, all connections together.
type slowLink struct {
	*httptest.ResponseRecorder
	link chan struct{} // holds a token; a mutex would stop the fake time
}

func (s slowLink) Write(p []byte) (int, error) {
	<-s.link
	defer func() { s.link <- struct{}{} }()
	time.Sleep(time.Duration(len(p)) * 100 * time.Millisecond / longAnswer)
	return s.ResponseRecorder.Write(p)
}

func newLink() chan struct{} {
	link := make(chan struct{}, 1)
	link <- struct{}{}
	return link
}

// sendingBackend has one slot and sends one long answer at a time.
func sendingBackend(senders int) *Backend {
	return NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: 1, QueueLimit: 40, Ledger: ledger.DefaultConfig(),
		Transport: longAnswers{}, MaxSends: senders, SendBufferLimit: 1 << 20, SendBufferTotal: 8 << 20, ResponseBufferLimit: 4 << 10,
	}, &snapshot.Holder{}, nil, NewMetrics(tally.NoopScope), time.Now())
}

// ask sends a request as another node does and returns its status, reason and
// how long it took.
func ask(b *Backend, link chan struct{}, path, kind string, aim *ObjectiveState) (int, string, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	Envelope{Kind: kind, KindWeight: 1, Timeout: 5 * time.Second, Objective: aim, Idempotent: true}.write(r.Header)
	w := slowLink{httptest.NewRecorder(), link}
	began := time.Now()
	NewPeerHandler(b).ServeHTTP(w, r)
	return w.Code, w.Header().Get(HeaderReason), time.Since(began)
}

// The load pattern: more long answers than the link carries. The slot is free as
// soon as the upstream is done, and a short answer does not wait behind all the
// long ones: 30 ms in place of 850 with five of them.
func TestShortAnswerPassesLongOnes(t *testing.T) {
	for senders, most := range map[int]time.Duration{0: 2 * time.Second, 1: 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := sendingBackend(senders)
			link := newLink()
			var group sync.WaitGroup
			for range 5 {
				group.Go(func() {
					status, _, _ := ask(b, link, "/long", "form", nil)
					assert.Equal(t, status, http.StatusOK)
				})
			}
			time.Sleep(60 * time.Millisecond)
			status, _, took := ask(b, link, "/short", "call", nil)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, took < most, "%d senders: %v", senders, took)
			group.Wait()
			assert.Equal(t, b.kept.Load(), int64(0))
		})
	}
}

// What the link cannot carry within the objective is refused at once, not run.
func TestFullLinkRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := sendingBackend(1)
		link := newLink()
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { ask(b, link, "/long", "form", nil) })
		}
		time.Sleep(350 * time.Millisecond) // a few were sent, so their time is known
		status, reason, took := ask(b, newLink(), "/long", "form", &ObjectiveState{Left: 20 * time.Millisecond})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, reason, string(admission.ReasonLink))
		assert.Assert(t, took < 10*time.Millisecond, "%v", took)
		status, _, _ = ask(b, link, "/short", "call", &ObjectiveState{Left: 200 * time.Millisecond})
		assert.Equal(t, status, http.StatusOK)
		group.Wait()
	})
}
