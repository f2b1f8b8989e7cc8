package proxy

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/retry"
)

// A node that stood still until the time of a request was over refused it as one
// whose upstream's node was "unreachable" or whose upstream refused the connection.
// Nothing was wrong with either: nothing was sent, as there was no time left, and the
// reason says so, where it stands in lines and counts.
func TestRefusalAfterAStallNamesTheTime(t *testing.T) {
	notSent := func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, errors.Mark(r.Context().Err(), http1.ErrNotSent)
	}
	t.Run("at the entry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &scripted{script: []func(*http.Request) (*http.Response, error){notSent}}
			w := serve(t, s, http.MethodPost, "/payments/x")
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Equal(t, w.Header().Get(HeaderReason), reasonDeadline)
			assert.Equal(t, len(s.seen), 1)
		})
	})
	t.Run("beside the upstream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, header := handOver(t.Context(), receivingBackend(tripFunc(notSent)), nil, 0, Envelope{})
			assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Equal(t, header.Get(HeaderReason), reasonDeadline)
		})
	})
}

// A node that can't be reached in time is still one that was not reached.
func TestUnreachableIsNoMatterOfTime(t *testing.T) {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(*http.Request) (*http.Response, error) {
		return nil, errors.Mark(errors.New("connection refused"), http1.ErrNotSent)
	}}}
	w := serve(t, s, http.MethodPost, "/payments/x")
	assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Equal(t, w.Header().Get(HeaderReason), reasonUnreachable)
}

// An answer that was taken late is passed on: its request has run.
func TestAnswerThatCameLateIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			time.Sleep(time.Second)
			return answer(r)
		}
		s := &scripted{script: []func(*http.Request) (*http.Response, error){late}}
		w := serve(t, s, http.MethodPost, "/payments/x")
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, w.Body.String(), "ok")
		assert.Equal(t, len(s.seen), 1)
		b := receivingBackend(tripFunc(late))
		b.cfg.ResponseBufferLimit = 100
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		Envelope{Kind: "k", KindWeight: 1, Timeout: time.Second}.write(r.Header)
		resp, err := b.RoundTrip(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
}

// A request whose body lies in the kernel when its time is over is refused as one
// that has not run, which is true.
func TestBodyOfARequestWhoseTimeIsOverIsRefused(t *testing.T) {
	reached := false
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		reached = true
		return answer(r)
	}}}
	f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
	f.cfg.Dialect.Deadline = "Deadline"
	f.ready = func() bool { time.Sleep(50 * time.Millisecond); return true } // the stall
	server := startCallerServer(t, f)
	resp := post(t, server, make([]byte, 16<<10), http.Header{"Deadline": {"20"}})
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Equal(t, resp.Header.Get(HeaderReason), reasonDeadline)
	assert.Assert(t, !reached)
}

// tripFunc is a way to an upstream.
type tripFunc func(*http.Request) (*http.Response, error)

func (f tripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// startCallerServer serves callers, and returns its address.
func startCallerServer(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := http1.NewServer(http1.Config{Handler: h})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// post sends a request with its body, and returns the head of the answer.
func post(t *testing.T, addr string, body []byte, header http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/payments/x", bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header = header
	resp, err := http1.NewClient(http1.DefaultClientConfig()).RoundTrip(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}
