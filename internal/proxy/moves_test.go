package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

type script = []func(*http.Request) (*http.Response, error)

// withLoad adds a load report to the responses.
func withLoad(respond func(*http.Request) (*http.Response, error), load string) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		resp, err := respond(r)
		if err == nil {
			resp.Header.Set(headerLoad, load)
		}
		return resp, err
	}
}

const (
	idleLoad = "0/4/0/20000/0/slowdown:100:0"
	fullLoad = "4/4/8/20000/60000/slowdown:250:0"
)

// newMovingFrontend returns a frontend that knows all upstreams of a service as idle and
// as reporting slowdowns if moves is set, and the records of its requests.
func newMovingFrontend(t *testing.T, s *scripted, service string, moves bool) (*Frontend, *[]Record) {
	t.Helper()
	var records []Record
	member := func(name string) (membership.Member, bool) {
		m, ok := everyMember(name)
		m.Service = service
		return m, ok
	}
	f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), Record: func(r *Record) { records = append(records, *r) }}, member, s)
	f.cfg.Routing.ByExpectedTime = true
	f.router = routing.NewRouter(f.cfg.Routing, f.cfg.Self)
	load := idleLoad
	if !moves {
		load, _, _ = strings.Cut(load, "/slowdown")
	}
	f.pick(routing.Request{Service: f.holder.Current().Service(service)})
	for _, u := range f.holder.Current().Service(service).Upstreams {
		m, _ := member(u.Name)
		f.tryStarted(m.Instance)
		f.tryEnded(u.Name, routing.Outcome{Load: readLoadReport(http.Header{headerLoad: {load}}), NetworkTime: time.Millisecond})
	}
	return f, &records
}

// A request that is returned goes to another upstream, at most twice; then it queues. The
// moves leave it all its tries, and a refusal in the end says that it has not run.
func TestMovedRequestGoesToAnotherUpstream(t *testing.T) {
	moved := withLoad(refuse(admission.ReasonMoved), fullLoad)
	rejected := func(r *http.Request) (*http.Response, error) {
		return notRun(http.StatusServiceUnavailable, retry.Rejected, reasonRejected, 0).response(r), nil
	}
	for _, c := range []struct {
		name    string
		script  script
		bounded []bool
		status  int
		outcome string
	}{
		{"answered by the next choice", script{moved, respondOK}, []bool{true, true}, http.StatusOK, ""},
		{"third choice queues", script{moved, moved, respondOK}, []bool{true, true, false}, http.StatusOK, ""},
		{"moves are no tries", script{moved, moved, rejected, respondOK}, []bool{true, true, false, false}, http.StatusOK, ""},
		{"refused in the end", script{moved, moved, refuse(admission.ReasonTooLate), refuse(admission.ReasonTooLate)}, []bool{true, true, false, false}, http.StatusServiceUnavailable, string(OutcomeNotRun)},
		{"an earlier try may have run", script{failConnection, moved, moved, refuse(admission.ReasonTooLate)}, []bool{true, true, true, false}, http.StatusBadGateway, string(OutcomeUnknown)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scripted{script: c.script}
			f, records := newMovingFrontend(t, s, "tariff", true)
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, w.Header().Get(HeaderOutcome), c.outcome)
			var bounded []bool
			for _, env := range s.seen {
				bounded = append(bounded, env.WaitBound.Worthwhile > 0)
			}
			assert.DeepEqual(t, bounded, c.bounded)
			assert.Equal(t, len((*records)[0].Tries), len(s.seen), "each move is in the request log")
			for i, try := range (*records)[0].Tries {
				assert.Equal(t, try.Upstream, s.seen[i].Target)
				assert.Equal(t, try.WaitBound > 0, c.bounded[i])
			}
		})
	}
}

// An upstream that has returned a request may get it again if its report is still the
// best, with a bound beyond the wait that it has reported.
func TestMovedRequestDoesNotBounce(t *testing.T) {
	s := &scripted{script: script{withLoad(refuse(admission.ReasonMoved), "4/4/1/20000/8000/slowdown:100:0"), respondOK}}
	f, _ := newMovingFrontend(t, s, "enforcement", true)
	busy := readLoadReport(http.Header{headerLoad: {fullLoad}})
	for _, u := range f.holder.Current().Service("enforcement").Upstreams[1:] {
		m, _ := f.members(u.Name)
		f.tryStarted(m.Instance)
		f.tryEnded(u.Name, routing.Outcome{Load: busy})
	}
	f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/enforcement/x", nil))
	assert.Equal(t, len(s.seen), 2)
	assert.Equal(t, s.seen[0].Target, s.seen[1].Target)
	assert.Assert(t, s.seen[1].WaitBound.Worthwhile > 8*time.Millisecond, "%v", s.seen[1].WaitBound)
}

// Guards against moves where no upstream reports a slowdown, against requests that keep
// their token although they weren't moved, and against moves beyond the budget.
func TestMovesAreBounded(t *testing.T) {
	moved := withLoad(refuse(admission.ReasonMoved), fullLoad)
	s := &scripted{script: script{moved, respondOK}}
	f, _ := newMovingFrontend(t, s, "tariff", false)
	f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
	assert.Equal(t, s.seen[0].WaitBound, admission.WaitBound{})

	s = &scripted{script: script{withLoad(respondOK, idleLoad)}}
	f, _ = newMovingFrontend(t, s, "tariff", true)
	for range 100 {
		f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
	}
	for _, env := range s.seen {
		assert.Assert(t, env.WaitBound.Worthwhile > 0, "a request that isn't moved returns its token")
	}

	const requests = 400
	moves := 0
	s = &scripted{script: script{func(r *http.Request) (*http.Response, error) {
		if r.Header.Get(headerWorthwhileWait) == "" {
			return withLoad(respondOK, idleLoad)(r)
		}
		moves++
		return withLoad(refuse(admission.ReasonMoved), idleLoad)(r)
	}}}
	f, _ = newMovingFrontend(t, s, "tariff", true)
	for range requests {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
		assert.Equal(t, w.Code, http.StatusOK)
	}
	assert.Assert(t, moves <= requests/2+20 && moves >= requests/2, "%d moves of %d requests", moves, requests)
}

// Only a request that any upstream may run and that can be sent again is moved.
func TestWhichRequestsAreMovable(t *testing.T) {
	several := &snapshot.Service{Upstreams: make([]*snapshot.Upstream, 2)}
	for _, c := range []struct {
		name string
		ex   *exchange
		want bool
	}{
		{"usual", &exchange{}, true},
		{"second move", &exchange{moves: 1}, true},
		{"third move", &exchange{moves: 2}, false},
		{"streamed body", &exchange{body: &requestBody{stream: strings.NewReader("x")}}, false},
		{"pinned", &exchange{route: &snapshot.Route{Route: table.Route{Upstream: "u"}}}, false},
		{"key owner", &exchange{env: Envelope{Key: "k"}}, false},
		{"single upstream", &exchange{service: &snapshot.Service{Upstreams: make([]*snapshot.Upstream, 1)}}, false},
	} {
		if c.ex.body == nil {
			c.ex.body = &requestBody{}
		}
		if c.ex.route == nil {
			c.ex.route = &snapshot.Route{}
		}
		if c.ex.service == nil {
			c.ex.service = several
		}
		assert.Equal(t, c.ex.movable(), c.want, c.name)
	}
}

// Guards against a full link that uses up the move budget: a request that is refused after
// its bound was set, but before it is sent, returns its token.
func TestRefusalBeforeSendingReturnsMoveToken(t *testing.T) {
	f, _ := newMovingFrontend(t, &scripted{script: script{respondOK}}, "tariff", true)
	f.cfg.Links = NewLinks(narrowMbps, f.metrics)
	route := f.holder.Current().Match("", http.MethodGet, "/tariff/x")
	route.Objective = 100 * time.Millisecond
	f.awaited.observe(route.Name, &http.Response{ContentLength: longResponseSize})
	f.cfg.Links.receive.admit(exactly(100*longResponseSize), 0, 0, false)
	for range 100 {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
		assert.Equal(t, w.Header().Get(HeaderReason), string(admission.ReasonLink))
	}
	for range int(movePolicy.Reserve) {
		assert.Assert(t, f.withdrawMoveToken())
	}
}
