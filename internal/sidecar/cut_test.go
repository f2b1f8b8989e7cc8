package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/proxy"
)

// The cut of a leaving node has two steps: what has no answer yet is ended first, and
// told so; an answer on its way, here one too long to be kept, a little later.
func TestCutEndsRunsBeforeAnswers(t *testing.T) {
	f := startFleet(t, 1, 0)
	s := f.sidecars[0]
	f.store.change(func(u *discovery.Update) { // nothing ends by its timeout
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = 20*time.Second, 10*time.Second
		}
	})
	for s.holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	began, over := make(chan string, 2), make(chan struct{})
	defer close(over)
	f.misbehave(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/coming" {
			w.Header().Set("Content-Length", strconv.Itoa(4*answerLimit))
			_, _ = w.Write(make([]byte, 2*answerLimit))
			w.(http.Flusher).Flush()
		}
		began <- r.URL.Path
		<-over
	})
	s.frontend.BeginShutdown(proxy.ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)})
	// send returns the status of an answer whose body came to its end, or not.
	send := func(path string) (status chan int, cut chan error) {
		status, cut = make(chan int, 1), make(chan error, 1)
		req := f.request(0, http.MethodGet, path, "")
		req.Header.Set(testDialect.Deadline, "20000")
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				f.t.Error(err)
				return
			}
			status <- resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			cut <- err
			_ = resp.Body.Close()
		}()
		return status, cut
	}
	coming, comingCut := send("/read/coming")
	<-began
	assert.Equal(t, <-coming, http.StatusOK)
	running, _ := send("/read/running")
	<-began
	s.enter(cutting)
	soon := time.After(5 * time.Second)
	select {
	case status := <-running:
		assert.Equal(t, status, http.StatusBadGateway)
	case <-soon:
		t.Fatal("what runs was not ended")
	}
	select {
	case err := <-comingCut:
		t.Fatalf("an answer on its way was ended with the runs: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	s.enter(closing)
	select {
	case err := <-comingCut:
		assert.Assert(t, err != nil)
	case <-soon:
		t.Fatal("an answer on its way was not ended")
	}
}
