package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// rejectingService is a frontend on the customer table whose upstreams answer or reject.
type rejectingService struct {
	f        *Frontend
	rejects  bool
	runTimes string // headerRunTimes of the rejections
	load     string // headerLoad of the rejections
	last     Record
	response http.Header // to the last request
}

func newRejectingService(t *testing.T) *rejectingService {
	t.Helper()
	s := &rejectingService{load: "1/4/0/20000/0"}
	upstream := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		if !s.rejects {
			return respondOK(r)
		}
		resp := notRun(http.StatusServiceUnavailable, retry.Rejected, reasonRejected, rejectedRetryAfter).response(r)
		resp.Header.Set(headerRunTimes, s.runTimes)
		resp.Header.Set(headerLoad, s.load)
		return resp, nil
	}}}
	h := &snapshot.Holder{}
	h.Advance(customerTable(t))
	cfg := FrontendConfig{
		Dialect: customerDialect, Routing: routing.DefaultConfig(), Seed: 1,
		Retry:  retry.Policy{Ratio: 0.15, Reserve: 3, FreeTries: 1},
		Record: func(r *Record) { s.last = *r },
	}
	s.f = NewFrontend(cfg, h, everyMember, upstream, NewMetrics(tally.NoopScope), func() bool { return true })
	return s
}

// send sends a request of priority 0 or of priority 2 and returns its record if there is
// one.
func (s *rejectingService) send(urgent, rejects bool) Record {
	s.rejects, s.last = rejects, Record{}
	path := "/open/x"
	if urgent {
		path = "/closed/x"
	}
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header.Set("X-Key", "s3cret")
	w := httptest.NewRecorder()
	s.f.ServeHTTP(w, r)
	s.response = w.Header()
	return s.last
}

// Guards against a budget that less urgent requests use up while more urgent ones of the
// same service are rejected, and against decisions without a record of their inputs.
func TestMoreUrgentRequestsAreRetriedFirst(t *testing.T) {
	s := newRejectingService(t)
	for range 10 {
		s.send(true, true)
		s.send(true, false)
	}
	for range 10 {
		s.send(false, false)
	}
	held := s.send(false, true)
	assert.Equal(t, held.NotRetried, retry.ReasonHeld)
	assert.Equal(t, len(held.Tries), 1)
	assert.Assert(t, held.Retry.Rank == retry.RankOf(false, 2) && held.Retry.RejectedShare > 0.1 && held.Retry.Held > 1)
	assert.Equal(t, len(s.send(true, true).Tries), 2)
}

// Guards against tries that cannot end before the deadline of the request, which is a
// second after its arrival.
func TestNoRetryWithoutTimeToRun(t *testing.T) {
	s := newRejectingService(t)
	s.runTimes = "2000000/3000000"
	assert.Equal(t, len(s.send(true, true).Tries), 2) // not yet rejecting
	s.send(true, true)
	for range 20 {
		s.send(true, false)
	}
	s.send(true, true)
	rec := s.send(true, true)
	assert.Equal(t, rec.NotRetried, retry.ReasonRunTime)
	assert.Equal(t, rec.Retry.TypicalRun, 2*time.Second)
}

// Guards against callers that are told to wait for a service that is as likely to reject
// them later, and against a change of Retry-After where few requests are rejected.
func TestCallersReturnSoonToARejectingService(t *testing.T) {
	s := newRejectingService(t)
	s.send(false, true)
	assert.Equal(t, s.response.Get(HeaderRetryAfterMs), "150")
	for range 5 {
		s.send(false, true)
	}
	assert.Equal(t, s.response.Get(HeaderRetryAfterMs), "20")
	s.load = "4/4/2/20000/10000" // no free slot
	s.send(false, true)
	assert.Equal(t, s.response.Get(HeaderRetryAfterMs), "150")
	s.load = "1/4/0/20000/0"
	for range 200 {
		s.send(false, false)
	}
	s.send(false, true)
	assert.Equal(t, s.response.Get(HeaderRetryAfterMs), "150")
}

// Guards against a service that counts as rejecting because an address answers for another
// instance, as after a restart.
func TestOtherInstanceIsNoRejection(t *testing.T) {
	for reason, retryAfter := range map[string]string{reasonWrongInstance: "150", reasonRejected: "20"} {
		s := newRejectingService(t)
		ex := &exchange{f: s.f, service: s.f.holder.Current().Service("s")}
		for range 6 {
			ex.observeArrival(retry.Rejected, &http.Response{Header: http.Header{HeaderReason: {reason}}})
		}
		s.send(false, true)
		assert.Equal(t, s.response.Get(HeaderRetryAfterMs), retryAfter, reason)
	}
}
