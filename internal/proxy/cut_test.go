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

// truncatedBody returns some bytes and then an error.
type truncatedBody struct {
	first io.Reader
	then  func() error
}

func (b *truncatedBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	return 0, b.then()
}

func (b *truncatedBody) Close() error { return nil }

// failingWriter is a caller whose connection accepts the head of a response but no
// body.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// A truncated response is counted by its reason, and its record holds how many bytes
// were forwarded and whether this node was shutting down.
func TestTruncatedResponsesAreCountedByReason(t *testing.T) {
	const forwarded = 7
	for reason, c := range map[CutReason]struct {
		fault func(f *Frontend, disconnect context.CancelFunc) error
		full  bool
		sent  int64
	}{
		CutConnectionLost: {fault: func(*Frontend, context.CancelFunc) error { return io.ErrUnexpectedEOF }, sent: forwarded},
		CutDeadline:       {fault: func(*Frontend, context.CancelFunc) error { return errors.Wrap(context.DeadlineExceeded, "read") }, sent: forwarded},
		CutNodeShutdown: {fault: func(f *Frontend, _ context.CancelFunc) error {
			f.BeginShutdown(scheduleUntil(time.Now()))
			f.CancelAll()
			return context.Canceled
		}, sent: forwarded},
		CutCallerDisconnected: {fault: func(_ *Frontend, disconnect context.CancelFunc) error { disconnect(); return context.Canceled }, sent: forwarded},
		"caller-left ":        {fault: func(*Frontend, context.CancelFunc) error { return io.EOF }, full: true},
	} {
		t.Run(string(reason), func(t *testing.T) {
			if c.full {
				reason = CutCallerDisconnected
			}
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			var f *Frontend
			s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
				resp, _ := respondOK(r)
				resp.ContentLength = 100
				resp.Body = &truncatedBody{first: bytes.NewReader(make([]byte, forwarded)), then: func() error { return c.fault(f, disconnect) }}
				return resp, nil
			}}}
			var got Record
			f = newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), Record: func(r *Record) { got = *r }, TableAge: func(time.Time) time.Duration { return time.Minute }}, everyMember, s)
			scope := tally.NewTestScope("", nil)
			f.metrics = NewMetrics(scope)
			var w http.ResponseWriter = httptest.NewRecorder()
			if c.full {
				w = failingWriter{httptest.NewRecorder()}
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
