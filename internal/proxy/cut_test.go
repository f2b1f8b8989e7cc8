package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/retry"
)

// brokenBody gives some bytes, and then its error.
type brokenBody struct {
	first io.Reader
	then  func() error
}

func (b *brokenBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	return 0, b.then()
}

func (b *brokenBody) Close() error { return nil }

// fullWriter is a caller whose connection takes no bytes of a body.
type fullWriter struct{ *httptest.ResponseRecorder }

func (fullWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// An answer that breaks off is counted by what broke it off, and its record tells
// how much was passed on and whether this node was to end.
func TestCutAnswersAreCountedByReason(t *testing.T) {
	const passedOn = 7
	for reason, c := range map[CutReason]struct {
		fault func(f *Frontend, leave context.CancelFunc) error
		full  bool
		sent  int64
	}{
		CutConnectionLost: {fault: func(*Frontend, context.CancelFunc) error { return io.ErrUnexpectedEOF }, sent: passedOn},
		CutDeadline:       {fault: func(*Frontend, context.CancelFunc) error { return errors.Wrap(context.DeadlineExceeded, "read") }, sent: passedOn},
		CutNodeShutdown: {fault: func(f *Frontend, _ context.CancelFunc) error {
			f.BeginShutdown(announcedUntil(time.Now()))
			f.CancelAll()
			return context.Canceled
		}, sent: passedOn},
		CutCallerDisconnected: {fault: func(_ *Frontend, leave context.CancelFunc) error { leave(); return context.Canceled }, sent: passedOn},
		"caller-left ":        {fault: func(*Frontend, context.CancelFunc) error { return io.EOF }, full: true},
	} {
		t.Run(string(reason), func(t *testing.T) {
			if c.full {
				reason = CutCallerDisconnected
			}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var f *Frontend
			s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
				resp, _ := answer(r)
				resp.ContentLength = 100
				resp.Body = &brokenBody{first: bytes.NewReader(make([]byte, passedOn)), then: func() error { return c.fault(f, leave) }}
				return resp, nil
			}}}
			var got Record
			f = newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), Record: func(r *Record) { got = *r }, TableAge: func(time.Time) time.Duration { return time.Minute }}, everyMember, s)
			scope := tally.NewTestScope("", nil)
			f.metrics = NewMetrics(scope)
			var w http.ResponseWriter = httptest.NewRecorder()
			if c.full {
				w = fullWriter{httptest.NewRecorder()}
			}
			func() {
				defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
				f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil).WithContext(ctx))
			}()
			assert.Equal(t, got.Outcome, "cut")
			assert.Equal(t, got.Cut.Reason, reason)
			assert.Equal(t, got.Cut.Sent, c.sent)
			assert.Equal(t, got.Cut.TableAge, time.Minute)
			assert.Equal(t, got.Leaving != nil, reason == CutNodeShutdown)
			assert.Equal(t, scope.Snapshot().Counters()["answers_cut+reason="+string(reason)].Value(), int64(1))
		})
	}
}
