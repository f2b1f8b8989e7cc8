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

// Guards against a misleading refusal reason: a node that was paused until a request's
// deadline had passed refused it as "unreachable" or as refused by the upstream,
// although both worked. Nothing was sent because no time was left, and the reason in
// logs and metrics must say so.
func TestRefusalAfterStallNamesDeadline(t *testing.T) {
	notSent := func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, errors.Mark(r.Context().Err(), http1.ErrNotSent)
	}
	t.Run("at the caller's node", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &scripted{script: []func(*http.Request) (*http.Response, error){notSent}}
			w := serve(t, s, http.MethodPost, "/payments/x")
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Equal(t, w.Header().Get(HeaderReason), reasonDeadline)
			assert.Equal(t, len(s.seen), 1)
		})
	})
	t.Run("at the upstream's node", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, header := forward(t.Context(), receivingBackend(roundTripFunc(notSent)), nil, 0, Envelope{})
			assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Equal(t, header.Get(HeaderReason), reasonDeadline)
		})
	})
}

// A failed connection keeps its own reason while the deadline has not passed.
func TestUnreachableIsNotDeadline(t *testing.T) {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(*http.Request) (*http.Response, error) {
		return nil, errors.Mark(errors.New("connection refused"), http1.ErrNotSent)
	}}}
	w := serve(t, s, http.MethodPost, "/payments/x")
	assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Equal(t, w.Header().Get(HeaderReason), reasonUnreachable)
}

// A response that arrives after the deadline is forwarded, since its request has run.
func TestLateResponseIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			time.Sleep(time.Second)
			return respondOK(r)
		}
		s := &scripted{script: []func(*http.Request) (*http.Response, error){late}}
		w := serve(t, s, http.MethodPost, "/payments/x")
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, w.Body.String(), "ok")
		assert.Equal(t, len(s.seen), 1)
		b := receivingBackend(roundTripFunc(late))
		b.cfg.ResponseBufferLimit = 100
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		Envelope{Kind: "k", KindWeight: 1, Timeout: time.Second}.write(r.Header)
		resp, err := b.RoundTrip(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
}

// A request whose body is still in the kernel's buffer when its deadline passes has not
// run and is refused as such.
func TestBodyReadAfterDeadlineIsRefused(t *testing.T) {
	dispatched := false
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		dispatched = true
		return respondOK(r)
	}}}
	f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
	f.cfg.Dialect.Deadline = "Deadline"
	f.ready = func() bool { time.Sleep(50 * time.Millisecond); return true } // a process pause
	server := startCallerServer(t, f)
	resp := post(t, server, make([]byte, 16<<10), http.Header{"Deadline": {"20"}})
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Equal(t, resp.Header.Get(HeaderReason), reasonDeadline)
	assert.Assert(t, !dispatched)
}

// roundTripFunc is a transport made of a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// startCallerServer starts a server for callers and returns its address.
func startCallerServer(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := http1.NewServer(http1.Config{Handler: h})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// post sends a request with a body and returns the response.
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
