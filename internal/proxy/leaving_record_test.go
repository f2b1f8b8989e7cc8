package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/retry"
)

// What becomes of a request at a leaving node is told apart, and recorded with what
// was known of its end when it came.
func TestRequestsOfALeavingNodeAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 300 * time.Millisecond
		s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
			select {
			case <-time.After(takes):
				return answer(r)
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}}}
		var got []ShutdownRecord
		cfg := FrontendConfig{Retry: retry.DefaultPolicy(), ResponseBufferLimit: 1 << 10, Record: func(r *Record) {
			if r.Leaving != nil {
				got = append(got, *r.Leaving)
			}
		}}
		f := newTestFrontend(t, cfg, everyMember, s)
		send := func() { f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/payments/x", nil)) }
		for range 20 {
			send()
		}
		assert.Equal(t, len(got), 0)
		bound := f.holder.Current().Match("", http.MethodPost, "/payments/x").Timeout
		f.BeginShutdown(ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(takes), Deadline: time.Now().Add(bound + 2*takes)})
		send() // announced and answered: counted only
		assert.Equal(t, len(got), 0)
		send()
		time.Sleep(bound)
		send()
		f.BeginShutdown(ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)})
		time.AfterFunc(takes/2, f.CancelAll)
		send()
		assert.Equal(t, len(got), 3)
		for i, fate := range []ShutdownOutcome{ShutdownAnswered, ShutdownRefused, ShutdownCutRun} {
			assert.Equal(t, got[i].Outcome, fate)
			assert.Equal(t, got[i].UntilDeadline, bound)
			assert.Assert(t, got[i].UsualTime >= takes && got[i].Samples > 15)
		}
		assert.Equal(t, got[0].Stage, stageDraining)
		assert.Assert(t, got[0].Since == takes && got[0].UntilShutdown == bound+takes)
		assert.Equal(t, got[2].Stage, stageAnnounced)
	})
}

func TestFatesOfRequests(t *testing.T) {
	for _, c := range []struct {
		outcome, reason string
		cut, answering  bool
		fate            ShutdownOutcome
	}{
		{"answered", "", true, true, ShutdownAnswered},
		{"not-run", reasonLeaving, false, false, ShutdownRefused},
		{"not-run", reasonBusy, false, false, ShutdownFailed},
		{"cut", "", false, true, ShutdownFailed}, // by the upstream
		{"unknown", reasonLost, true, false, ShutdownCutRun},
		{"unknown", reasonLost, true, true, ShutdownCutResponse},
		{"cut", "", true, true, ShutdownCutSent},
	} {
		assert.Equal(t, fateOf(c.outcome, c.reason, c.cut, c.answering), c.fate)
	}
}
