package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/retry"
)

// maxBufferedResponse is the longest response, in bytes, that the frontends of these
// tests buffer during a shutdown.
const maxBufferedResponse = 100 << 10

func shutdownFrontend(t *testing.T, body func(ctx context.Context) io.Reader, length int64) *Frontend {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body(r.Context())), ContentLength: length, Request: r}, nil
	}}}
	return newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10, ShutdownBufferLimit: maxBufferedResponse, ShutdownBufferTotal: maxBufferedResponse}, everyMember, s)
}

// scheduleUntil returns a shutdown schedule whose announcement lasts until its
// deadline.
func scheduleUntil(deadline time.Time) ShutdownSchedule {
	return ShutdownSchedule{Start: time.Now(), AnnouncedBy: deadline, Deadline: deadline}
}

// stalledReader returns some bytes and then blocks until its request ends.
type stalledReader struct {
	ctx  context.Context
	head io.Reader
}

func (s stalledReader) Read(p []byte) (int, error) {
	if n, _ := s.head.Read(p); n > 0 {
		return n, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// A response that is incomplete at the shutdown deadline is reported as failed and not
// truncated. A node that does not shut down forwards what arrives.
func TestShutdownReportsUnfinishedResponses(t *testing.T) {
	for _, shutdown := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			halfBody := func(ctx context.Context) io.Reader {
				return stalledReader{ctx, strings.NewReader(strings.Repeat("a", 50<<10))}
			}
			f := shutdownFrontend(t, halfBody, 90<<10)
			if shutdown {
				f.BeginShutdown(scheduleUntil(time.Now().Add(time.Hour)))
			}
			start := time.Now()
			time.AfterFunc(time.Second, f.CancelAll)
			w, cut := httptest.NewRecorder(), false
			func() {
				defer func() { cut = recover() != nil }()
				f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
			}()
			assert.Equal(t, cut, !shutdown)
			assert.Equal(t, time.Since(start), time.Second)
			if shutdown {
				assert.Equal(t, w.Code, http.StatusBadGateway)
				assert.Equal(t, f.shutdownBuffered.Load(), int64(0))
			}
		})
	}
}

// The bytes buffered during a shutdown are bounded and released again.
func TestShutdownBufferIsBounded(t *testing.T) {
	body := func(context.Context) io.Reader { return strings.NewReader(strings.Repeat("a", 90<<10)) }
	f := shutdownFrontend(t, body, 90<<10)
	limit, reserved := f.responseBufferLimit(90 << 10)
	assert.Assert(t, limit == 1<<10 && reserved == 0, "no shutdown")
	f.BeginShutdown(scheduleUntil(time.Now().Add(time.Hour)))
	limit, reserved = f.responseBufferLimit(90 << 10)
	assert.Assert(t, limit == maxBufferedResponse && reserved == 90<<10)
	_, reserved = f.responseBufferLimit(maxBufferedResponse + 1)
	assert.Equal(t, reserved, int64(0), "too long")
	f.shutdownBuffered.Store(20 << 10)
	_, reserved = f.responseBufferLimit(90 << 10)
	assert.Equal(t, reserved, int64(0), "over the total")
	f.shutdownBuffered.Store(0)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
	assert.Equal(t, w.Body.Len(), 90<<10)
	assert.Equal(t, f.shutdownBuffered.Load(), int64(0))
}

// During a shutdown a request is accepted if it would end before the shutdown deadline,
// by the time that such requests took recently; otherwise it is refused at once.
func TestShutdownAcceptsRequestsThatEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 300 * time.Millisecond
		s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
			time.Sleep(runTime)
			return respondOK(r)
		}}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10}, everyMember, s)
		send := func() (*httptest.ResponseRecorder, time.Duration) {
			start, w := time.Now(), httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
			return w, time.Since(start)
		}
		for range 20 {
			send()
		}
		f.BeginShutdown(scheduleUntil(time.Now().Add(2 * runTime)))
		w, _ := send()
		assert.Equal(t, w.Code, http.StatusOK)
		ran := len(s.seen)
		w, took := send()
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Assert(t, took == 0 && len(s.seen) == ran)
		f.BeginShutdown(scheduleUntil(time.Now().Add(time.Hour)))
		f.RefuseAll()
		w, _ = send()
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, len(s.seen), ran)
	})
}

// Guards against requests that are cut because their usual time no longer holds. Two
// requests of a kind that usually took well under a second arrived after the
// announcement, 2.0 s before the shutdown deadline. One waited 0.8 s for its upstream
// and ran for over 1.1 s, the response of the other waited 1.3 s for a link; both were
// cut, 5.27 and 5.29 s after the signal. Recent durations do not predict a sudden
// change, so after the announcement only a request's own deadline counts.
func TestShutdownAcceptsOnlyBoundedRequests(t *testing.T) {
	const usualTime, untilShutdown = 50 * time.Millisecond, time.Second
	for name, samples := range map[string]int{"usual time known": 20, "usual time unknown": 0} {
		synctest.Test(t, func(t *testing.T) {
			runTime := usualTime
			s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
				select {
				case <-time.After(runTime):
					return respondOK(r)
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
			}}}
			f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10}, everyMember, s)
			send := func(wait time.Duration) (*httptest.ResponseRecorder, time.Duration) {
				start, w := time.Now(), httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, "/payments/x", nil)
				r.Header.Set(HeaderTimeout, strconv.FormatInt(wait.Milliseconds(), 10))
				f.ServeHTTP(w, r)
				return w, time.Since(start)
			}
			for range samples {
				send(untilShutdown)
			}
			runTime = untilShutdown + usualTime // requests suddenly take longer
			deadline := time.Now().Add(untilShutdown)
			f.BeginShutdown(ShutdownSchedule{Start: time.Now().Add(-time.Second), AnnouncedBy: time.Now(), Deadline: deadline})
			time.AfterFunc(untilShutdown, f.CancelAll)
			ran := len(s.seen)
			w, took := send(untilShutdown + time.Millisecond)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable, name)
			assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Assert(t, took == 0 && len(s.seen) == ran)
			// A request whose own deadline is in time is accepted.
			runTime = usualTime
			w, _ = send(untilShutdown)
			assert.Equal(t, w.Code, http.StatusOK, name)
			assert.Assert(t, !time.Now().After(deadline))
		})
	}
}

// Callers that do not know of the shutdown yet are served as before, even if their
// requests may take longer than the time left.
func TestAnnouncementIgnoresRequestDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{script: []func(*http.Request) (*http.Response, error){respondOK}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
		f.BeginShutdown(ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(time.Millisecond), Deadline: time.Now().Add(2 * time.Millisecond)})
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
		assert.Equal(t, w.Code, http.StatusOK)
	})
}

// Guards against a truncated response at shutdown: a caller's connection was reset in
// the middle of a response with status 200, 5.29 s after the signal to its node and 1.3
// s after the upstream had finished. The node buffered responses of known length during
// its shutdown, but streamed those of unknown length.
func TestShutdownBuffersResponsesOfUnknownLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := shutdownFrontend(t, func(ctx context.Context) io.Reader {
			return stalledReader{ctx, strings.NewReader(strings.Repeat("a", 50<<10))}
		}, -1)
		f.BeginShutdown(scheduleUntil(time.Now().Add(time.Hour)))
		time.AfterFunc(time.Second, f.CancelAll)
		w, cut := httptest.NewRecorder(), false
		func() {
			defer func() { cut = recover() != nil }()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
		}()
		assert.Assert(t, !cut)
		assert.Equal(t, w.Code, http.StatusBadGateway)
		assert.Equal(t, f.shutdownBuffered.Load(), int64(0))
	})
}

// Requests without a response are cancelled first. A response that is arriving at that
// time is completed, and a try that fails then is not repeated.
func TestShutdownCancelsUnansweredBeforeResponses(t *testing.T) {
	const responseTime = 100 * time.Millisecond
	responding := func(r *http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader("o"), &delayedReader{r.Context(), responseTime, strings.NewReader("k")})
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: 2, Request: r}, nil
	}
	running := func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	truncated := func(r *http.Request) (*http.Response, error) {
		resp, err := responding(r)
		resp.ContentLength = 3
		return resp, err
	}
	for name, c := range map[string]struct {
		try    func(*http.Request) (*http.Response, error)
		status int
		took   time.Duration
	}{
		"response arriving":  {responding, http.StatusOK, responseTime},
		"no response yet":    {running, http.StatusBadGateway, responseTime / 2},
		"response truncated": {truncated, http.StatusBadGateway, responseTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &scripted{script: []func(*http.Request) (*http.Response, error){c.try}}
			f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10}, everyMember, s)
			f.BeginShutdown(scheduleUntil(time.Now().Add(responseTime / 2)))
			time.AfterFunc(responseTime/2, f.CancelUnanswered)
			start, w := time.Now(), httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil)) // idempotent, so it may be retried
			assert.Equal(t, w.Code, c.status, name)
			assert.Equal(t, time.Since(start), c.took, name)
			assert.Equal(t, len(s.seen), 1, name)
		})
	}
}

// delayedReader returns its bytes after a delay.
type delayedReader struct {
	ctx   context.Context
	after time.Duration
	rest  io.Reader
}

func (l *delayedReader) Read(p []byte) (int, error) {
	select {
	case <-time.After(l.after):
		l.after = 0
		return l.rest.Read(p)
	case <-l.ctx.Done():
		return 0, l.ctx.Err()
	}
}

// Guards against requests that are passed on late in a shutdown and then cut: one whose
// body was still arriving when the announcement ended, and one that is tried again after
// it. Both may take longer than the time that is left then.
func TestShutdownDecidesAgainBeforeEachTry(t *testing.T) {
	const untilAnnounced, untilCut = 500 * time.Millisecond, time.Second
	refuseAfterAnnouncement := func(r *http.Request) (*http.Response, error) {
		time.Sleep(untilAnnounced * 3 / 2)
		return refuse(admission.ReasonQueueFull)(r)
	}
	runUntilCut := func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	for name, c := range map[string]struct {
		bodyDelay time.Duration
		tries     []func(*http.Request) (*http.Response, error)
		sent      int
	}{
		"body still arriving":              {untilAnnounced * 3 / 2, []func(*http.Request) (*http.Response, error){runUntilCut}, 0},
		"refused after the announcement":   {0, []func(*http.Request) (*http.Response, error){refuseAfterAnnouncement, runUntilCut}, 1},
		"body arrives in the announcement": {untilAnnounced / 2, []func(*http.Request) (*http.Response, error){respondOK}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{script: c.tries}
				f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
				now := time.Now()
				f.BeginShutdown(ShutdownSchedule{Start: now, AnnouncedBy: now.Add(untilAnnounced), Deadline: now.Add(untilCut)})
				time.AfterFunc(untilCut, f.CancelUnanswered)
				body := &delayedReader{t.Context(), c.bodyDelay, strings.NewReader("payment")}
				r := httptest.NewRequest(http.MethodPost, "/payments/x", io.NopCloser(body))
				r.ContentLength = int64(len("payment"))
				r.Header.Set(HeaderTimeout, strconv.FormatInt((2*untilCut).Milliseconds(), 10))
				w := httptest.NewRecorder()
				f.ServeHTTP(w, r)
				assert.Equal(t, len(s.seen), c.sent)
				if len(c.tries) == 1 && c.sent == 1 {
					assert.Equal(t, w.Code, http.StatusOK)
					return
				}
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
				assert.Assert(t, time.Since(now) < untilCut)
			})
		})
	}
}
