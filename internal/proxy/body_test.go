package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
)

// lateReader rejects the first try before its body has been read, as an upstream may, and
// reads that body only while the second try is under way.
type lateReader struct {
	signalAdmitted func(*http.Request)
	firstBody      io.Reader
	firstErr       error
	received       []byte // body of the second try
}

func (l *lateReader) rejectEarly(r *http.Request) (*http.Response, error) {
	l.signalAdmitted(r)
	l.firstBody = r.Body
	p := notRun(http.StatusServiceUnavailable, retry.Rejected, reasonRejected, rejectedRetryAfter)
	return p.response(r), nil
}

func (l *lateReader) run(r *http.Request) (*http.Response, error) {
	l.signalAdmitted(r)
	_, l.firstErr = io.ReadAll(l.firstBody)
	l.received, _ = io.ReadAll(r.Body)
	return respondOK(r)
}

// Guards against an upload that runs at a second upstream with parts of its body missing:
// the sender of the first try, rejected early, still read the caller's stream.
func TestEndedTryDoesNotReadTheBody(t *testing.T) {
	admit := func(r *http.Request) {
		if f, ok := r.Context().Value(admissionHookKey{}).(func()); ok {
			f()
		}
	}
	for name, length := range map[string]int64{"chunked": -1, "with a length": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			l := &lateReader{signalAdmitted: admit}
			s := &scripted{script: []func(*http.Request) (*http.Response, error){l.rejectEarly, l.run}}
			// The first sender also reads while the second upstream is being chosen.
			members := func(name string) (membership.Member, bool) {
				if l.firstBody != nil {
					_, _ = l.firstBody.Read(make([]byte, 10))
				}
				return everyMember(name)
			}
			f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, members, s)
			body := strings.Repeat("b", 100<<10)
			r := httptest.NewRequest(http.MethodPost, "/payments/x", io.NopCloser(strings.NewReader(body)))
			r.ContentLength = length
			w := httptest.NewRecorder()
			f.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, len(s.seen), 2)
			assert.Equal(t, len(l.received), len(body))
			assert.Assert(t, l.firstErr != nil)
		})
	}
}

// A try that has begun to read a streamed body rules out another one.
func TestReadBodyIsNotReplayable(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader("long body")))
	r.ContentLength = -1
	b, err := newRequestBody(r, 4, 0, newArrivals(0).begin(time.Now(), func() {}))
	assert.NilError(t, err)
	admitted := make(chan struct{})
	close(admitted)
	sent := b.open(context.Background(), admitted)
	assert.Assert(t, b.replayable())
	_, err = sent.Read(make([]byte, 2))
	assert.NilError(t, err)
	b.endTry()
	assert.Assert(t, !b.replayable())
	_, err = sent.Read(make([]byte, 2))
	assert.Assert(t, errors.Is(err, errTryEnded))
}
