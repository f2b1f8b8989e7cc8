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

// A node that shuts down cuts in two steps. Requests without a response are ended first,
// with a response that says so. Responses in progress, here one too long to be buffered,
// are ended a little later.
func TestCutEndsUnansweredRequestsFirst(t *testing.T) {
	f := startFleet(t, 1, 0)
	s := f.sidecars[0]
	f.store.change(func(u *discovery.Update) { // no request ends by the timeout of its route
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = 20*time.Second, 10*time.Second
		}
	})
	for s.holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	started, done := make(chan string, 2), make(chan struct{})
	defer close(done)
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/coming" {
			w.Header().Set("Content-Length", strconv.Itoa(4*sendBufferLimit))
			_, _ = w.Write(make([]byte, 2*sendBufferLimit))
			w.(http.Flusher).Flush()
		}
		started <- r.URL.Path
		<-done
	})
	s.frontend.BeginShutdown(proxy.ShutdownSchedule{Start: time.Now(), AnnouncedBy: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)})
	// send returns the status of the response, and then the error of reading its body, if
	// any.
	send := func(path string) (status chan int, bodyErr chan error) {
		status, bodyErr = make(chan int, 1), make(chan error, 1)
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
			bodyErr <- err
			_ = resp.Body.Close()
		}()
		return status, bodyErr
	}
	inProgress, inProgressErr := send("/read/coming")
	<-started
	assert.Equal(t, <-inProgress, http.StatusOK)
	running, _ := send("/read/running")
	<-started
	s.enterStage(stageCutting)
	timeout := time.After(5 * time.Second)
	select {
	case status := <-running:
		assert.Equal(t, status, http.StatusBadGateway)
	case <-timeout:
		t.Fatal("the running request was not ended")
	}
	select {
	case err := <-inProgressErr:
		t.Fatalf("a response in progress was ended together with the running request: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	s.enterStage(stageClosing)
	select {
	case err := <-inProgressErr:
		assert.Assert(t, err != nil)
	case <-timeout:
		t.Fatal("a response in progress was not ended")
	}
}
