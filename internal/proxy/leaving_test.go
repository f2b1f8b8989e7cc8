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

	"github.com/walldrift/walldrift/internal/retry"
)

// longest is the longest answer that the frontends of these tests keep as they
// leave, in bytes.
const longest = 100 << 10

func leavingFrontend(t *testing.T, body func(ctx context.Context) io.Reader, length int64) *Frontend {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body(r.Context())), ContentLength: length, Request: r}, nil
	}}}
	return newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10, ShutdownBufferLimit: longest, ShutdownBufferTotal: longest}, everyMember, s)
}

// announcedUntil is a leave that is announced until its end.
func announcedUntil(end time.Time) ShutdownSchedule {
	return ShutdownSchedule{Start: time.Now(), AnnouncedBy: end, Deadline: end}
}

// stalled gives some bytes and then none until its request ends.
type stalled struct {
	ctx  context.Context
	head io.Reader
}

func (s stalled) Read(p []byte) (int, error) {
	if n, _ := s.head.Read(p); n > 0 {
		return n, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// An answer that does not come to its end before a leaving node's is reported as
// failed, and not cut; a node that stays passes on what comes.
func TestLeavingNodeReportsUnfinishedAnswers(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			half := func(ctx context.Context) io.Reader {
				return stalled{ctx, strings.NewReader(strings.Repeat("a", 50<<10))}
			}
			f := leavingFrontend(t, half, 90<<10)
			if leaving {
				f.BeginShutdown(announcedUntil(time.Now().Add(time.Hour)))
			}
			began := time.Now()
			time.AfterFunc(time.Second, f.CancelAll)
			w, cut := httptest.NewRecorder(), false
			func() {
				defer func() { cut = recover() != nil }()
				f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
			}()
			assert.Equal(t, cut, !leaving)
			assert.Equal(t, time.Since(began), time.Second)
			if leaving {
				assert.Equal(t, w.Code, http.StatusBadGateway)
				assert.Equal(t, f.held.Load(), int64(0))
			}
		})
	}
}

// What a leaving node keeps of answers is bounded, and given back.
func TestLeavingNodeKeepsNoMoreThanItsTotal(t *testing.T) {
	whole := func(context.Context) io.Reader { return strings.NewReader(strings.Repeat("a", 90<<10)) }
	f := leavingFrontend(t, whole, 90<<10)
	limit, kept := f.wholeLimit(90 << 10)
	assert.Assert(t, limit == 1<<10 && kept == 0, "it stays")
	f.BeginShutdown(announcedUntil(time.Now().Add(time.Hour)))
	limit, kept = f.wholeLimit(90 << 10)
	assert.Assert(t, limit == longest && kept == 90<<10)
	_, kept = f.wholeLimit(longest + 1)
	assert.Equal(t, kept, int64(0), "too long")
	f.held.Store(20 << 10)
	_, kept = f.wholeLimit(90 << 10)
	assert.Equal(t, kept, int64(0), "too much in all")
	f.held.Store(0)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
	assert.Equal(t, w.Body.Len(), 90<<10)
	assert.Equal(t, f.held.Load(), int64(0))
}

// A leaving node takes a request as long as its answer comes before the node's end,
// by the time that such requests took lately, and refuses it at once otherwise.
func TestLeavingNodeTakesWhatEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 300 * time.Millisecond
		s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
			time.Sleep(takes)
			return answer(r)
		}}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10}, everyMember, s)
		send := func() (*httptest.ResponseRecorder, time.Duration) {
			began, w := time.Now(), httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
			return w, time.Since(began)
		}
		for range 20 {
			send()
		}
		f.BeginShutdown(announcedUntil(time.Now().Add(2 * takes)))
		w, _ := send()
		assert.Equal(t, w.Code, http.StatusOK)
		ran := len(s.seen)
		w, took := send()
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Assert(t, took == 0 && len(s.seen) == ran)
		f.BeginShutdown(announcedUntil(time.Now().Add(time.Hour)))
		f.RefuseAll()
		w, _ = send()
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, len(s.seen), ran)
	})
}

// Two requests of a kind that usually took well under a second came to leaving nodes
// after their announcement, 2.0 s before what runs was cut. One waited 0.8 s for its
// upstream and ran for over 1.1 s, the answer of the other waited 1.3 s for a link:
// both were cut, 5.27 and 5.29 s after the signal. How long requests took lately says
// nothing of what has just changed. After the announcement only the time after which
// a request is given up anyway bounds it.
func TestLeavingNodeTakesOnlyWhatIsBounded(t *testing.T) {
	const usual, left = 50 * time.Millisecond, time.Second
	for name, known := range map[string]int{"short times known": 20, "nothing known": 0} {
		synctest.Test(t, func(t *testing.T) {
			takes := usual
			s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
				select {
				case <-time.After(takes):
					return answer(r)
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
			}}}
			f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10}, everyMember, s)
			send := func(wait time.Duration) (*httptest.ResponseRecorder, time.Duration) {
				began, w := time.Now(), httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, "/payments/x", nil)
				r.Header.Set(HeaderTimeout, strconv.FormatInt(wait.Milliseconds(), 10))
				f.ServeHTTP(w, r)
				return w, time.Since(began)
			}
			for range known {
				send(left)
			}
			takes = left + usual // something has changed
			end := time.Now().Add(left)
			f.BeginShutdown(ShutdownSchedule{Start: time.Now().Add(-time.Second), AnnouncedBy: time.Now(), Deadline: end})
			time.AfterFunc(left, f.CancelAll)
			ran := len(s.seen)
			w, took := send(left + time.Millisecond)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable, name)
			assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Assert(t, took == 0 && len(s.seen) == ran)
			// One that ends in time, whatever it meets, is taken.
			takes = usual
			w, _ = send(left)
			assert.Equal(t, w.Code, http.StatusOK, name)
			assert.Assert(t, !time.Now().After(end))
		})
	}
}

// Callers that do not know yet that a node leaves are served as before, though their
// requests may take longer than is left.
func TestAnnouncementRefusesNothingForItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{script: []func(*http.Request) (*http.Response, error){answer}}
		f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
		f.BeginShutdown(ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(time.Millisecond), Deadline: time.Now().Add(2 * time.Millisecond)})
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
		assert.Equal(t, w.Code, http.StatusOK)
	})
}

// A caller found its connection reset amid an answer with status 200, 5.29 s after the
// signal to its node and 1.3 s after the run had ended. Leaving nodes read answers
// whole so that this cannot happen, but not those without a length, as an upstream
// may give them: they passed these on as they came.
func TestLeavingNodeKeepsAnswersOfUnknownLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := leavingFrontend(t, func(ctx context.Context) io.Reader {
			return stalled{ctx, strings.NewReader(strings.Repeat("a", 50<<10))}
		}, -1)
		f.BeginShutdown(announcedUntil(time.Now().Add(time.Hour)))
		time.AfterFunc(time.Second, f.CancelAll)
		w, cut := httptest.NewRecorder(), false
		func() {
			defer func() { cut = recover() != nil }()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", nil))
		}()
		assert.Assert(t, !cut)
		assert.Equal(t, w.Code, http.StatusBadGateway)
		assert.Equal(t, f.held.Load(), int64(0))
	})
}

// What ends first is what has no answer yet. An answer that is on its way when runs
// are ended comes to its end, and a try that breaks off then is not made again.
func TestLeavingNodeEndsRunsBeforeAnswers(t *testing.T) {
	const rest = 100 * time.Millisecond
	coming := func(r *http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader("o"), &late{r.Context(), rest, strings.NewReader("k")})
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: 2, Request: r}, nil
	}
	running := func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	broken := func(r *http.Request) (*http.Response, error) {
		resp, err := coming(r)
		resp.ContentLength = 3
		return resp, err
	}
	for name, c := range map[string]struct {
		try    func(*http.Request) (*http.Response, error)
		status int
		took   time.Duration
	}{
		"on its way":        {coming, http.StatusOK, rest},
		"still running":     {running, http.StatusBadGateway, rest / 2},
		"broken on its way": {broken, http.StatusBadGateway, rest},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &scripted{script: []func(*http.Request) (*http.Response, error){c.try}}
			f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10}, everyMember, s)
			f.BeginShutdown(announcedUntil(time.Now().Add(rest / 2)))
			time.AfterFunc(rest/2, f.CancelUnanswered)
			began, w := time.Now(), httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil)) // may be repeated
			assert.Equal(t, w.Code, c.status, name)
			assert.Equal(t, time.Since(began), c.took, name)
			assert.Equal(t, len(s.seen), 1, name)
		})
	}
}

// late gives its bytes after a while.
type late struct {
	ctx   context.Context
	after time.Duration
	rest  io.Reader
}

func (l *late) Read(p []byte) (int, error) {
	select {
	case <-time.After(l.after):
		l.after = 0
		return l.rest.Read(p)
	case <-l.ctx.Done():
		return 0, l.ctx.Err()
	}
}
