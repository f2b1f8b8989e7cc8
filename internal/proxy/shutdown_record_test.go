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

// Each request at a node that shuts down is recorded with its outcome and with the
// times that were known when it arrived.
func TestRequestsDuringShutdownAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 300 * time.Millisecond
		s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
			select {
			case <-time.After(runTime):
				return respondOK(r)
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
		timeout := f.holder.Current().Match("", http.MethodPost, "/payments/x").Timeout
		f.BeginShutdown(ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(runTime), Deadline: time.Now().Add(timeout + 2*runTime)})
		send() // arrives during the announcement and is answered: only counted
		assert.Equal(t, len(got), 0)
		send()
		time.Sleep(timeout)
		send()
		f.BeginShutdown(ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)})
		time.AfterFunc(runTime/2, f.CancelAll)
		send()
		assert.Equal(t, len(got), 3)
		for i, outcome := range []ShutdownOutcome{ShutdownAnswered, ShutdownRefused, ShutdownCutRun} {
			assert.Equal(t, got[i].Outcome, outcome)
			assert.Equal(t, got[i].UntilDeadline, timeout)
			assert.Assert(t, got[i].UsualTime >= runTime && got[i].Samples > 15)
		}
		assert.Equal(t, got[0].Stage, stageDraining)
		assert.Assert(t, got[0].Since == runTime && got[0].UntilShutdown == timeout+runTime)
		assert.Equal(t, got[2].Stage, stageAnnounced)
	})
}

func TestShutdownOutcomes(t *testing.T) {
	for _, c := range []struct {
		outcome, reason       string
		cancelled, responding bool
		want                  ShutdownOutcome
	}{
		{"answered", "", true, true, ShutdownAnswered},
		{"not-run", reasonNodeLeaves, false, false, ShutdownRefused},
		{"not-run", reasonAllBusy, false, false, ShutdownFailed},
		{"cut", "", false, true, ShutdownFailed}, // truncated by the upstream
		{"unknown", reasonConnectionLost, true, false, ShutdownCutRun},
		{"unknown", reasonConnectionLost, true, true, ShutdownCutResponse},
		{"cut", "", true, true, ShutdownCutSent},
	} {
		assert.Equal(t, shutdownOutcome(c.outcome, c.reason, c.cancelled, c.responding), c.want)
	}
}
