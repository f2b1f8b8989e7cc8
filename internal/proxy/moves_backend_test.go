package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/membership"
)

// timedUpstream answers after a time and counts the requests that it got from a caller.
type timedUpstream struct {
	takes   time.Duration
	counted atomic.Int32
}

func (u *timedUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/enforcement/counted" {
		u.counted.Add(1)
	}
	time.Sleep(u.takes)
	return respondOK(r)
}

// backends is the dispatcher to the backends of a service, by upstream.
type backends map[string]*Backend

func (b backends) TransportTo(_ context.Context, in membership.Instance) (http.RoundTripper, error) {
	return b[in.Name], nil
}

// The frontend takes an upstream for the fastest one that meanwhile is slow and full. A
// request that it sends there must be answered in time by a free one, and run once.
func TestRequestLeavesSlowUpstream(t *testing.T) {
	for _, moves := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f, records := newMovingFrontend(t, nil, "enforcement", moves)
			all, ups := make(backends), make(map[string]*timedUpstream)
			f.dispatcher = all
			names := f.holder.Current().Service("enforcement").Upstreams
			for i, u := range names {
				ups[u.Name] = &timedUpstream{takes: 20 * time.Millisecond}
				if i == 0 {
					ups[u.Name].takes = 400 * time.Millisecond
				} else {
					for range 3 { // busier than the first one
						f.tryStarted(membership.Instance{Name: u.Name})
					}
				}
				all[u.Name] = receivingBackend(ups[u.Name])
			}
			slow := all[names[0].Name]
			for range 4 { // one has run, one runs and two wait when the counted one arrives
				go forward(t.Context(), slow, nil, 0, Envelope{})
			}
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, slow.Load().Waiting, 2)
			begin := time.Now()
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/enforcement/counted", nil))
			took, runs := time.Since(begin), int32(0)
			for _, up := range ups {
				runs += up.counted.Load()
			}
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, runs, int32(1))
			assert.Equal(t, took == 20*time.Millisecond, moves, "answered after %v", took)
			assert.Equal(t, slow.Load().Waiting > 1, moves, "the request waits where it isn't moved")
			assert.Equal(t, len(*records) == 1 && len((*records)[0].Tries) == 2, moves, "%v", *records)
			time.Sleep(2 * time.Second)
		})
	}
}

// A long body that would wait too long for a slot must not cross the link before its
// request is returned.
func TestMovedBodyIsNotReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := receivingBackend(&timedUpstream{takes: 100 * time.Millisecond})
		forward(t.Context(), b, nil, 0, Envelope{})
		go forward(t.Context(), b, nil, 0, Envelope{})
		synctest.Wait()
		begin := time.Now()
		bound := admission.WaitBound{Worthwhile: 10 * time.Millisecond}
		_, header := forward(t.Context(), b, slowLongBody(500*time.Millisecond), longBodySize, Envelope{WaitBound: bound})
		assert.Equal(t, header.Get(HeaderReason), string(admission.ReasonMoved))
		assert.Equal(t, time.Since(begin), time.Duration(0))
		time.Sleep(time.Second)
	})
}
