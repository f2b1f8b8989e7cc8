package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
)

// fixedResponse answers every request with a status and headers.
type fixedResponse struct {
	status int
	header http.Header
}

func (f *fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: f.status, Header: f.header.Clone(), Body: http.NoBody}, nil
}

// What the expected instance itself says of its leaving closes it, for itself alone.
func TestWhichResponsesAnnounceALeaving(t *testing.T) {
	dialect := Dialect{Deadline: HeaderTimeout, Signature: "Signature", ExpectedInstance: "Instance", Leaving: "Leaving"}
	for _, c := range []struct {
		name    string
		status  int
		header  http.Header
		leaving bool
	}{
		{"success", http.StatusOK, http.Header{"Signature": {"s"}, "Leaving": {"1"}}, true},
		{"failure", http.StatusInternalServerError, http.Header{"Signature": {"s"}, "Leaving": {"1"}}, true},
		{"another value", http.StatusOK, http.Header{"Signature": {"s"}, "Leaving": {"0"}}, false},
		{"unsigned", http.StatusInternalServerError, http.Header{"Leaving": {"1"}}, false},
		{"another instance", http.StatusMisdirectedRequest, http.Header{"Signature": {"s"}, "Leaving": {"1"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			transport := &fixedResponse{status: c.status, header: c.header}
			b := receivingBackend(transport)
			b.cfg.Dialect = dialect
			send := func(target string) *http.Response {
				req := httptest.NewRequest("GET", "/", nil)
				Envelope{Target: target, Kind: "k", KindWeight: 1, Idempotent: true, Timeout: time.Second, EmptyBody: true}.write(req.Header)
				resp, err := b.RoundTrip(req)
				assert.NilError(t, err)
				_ = resp.Body.Close()
				return resp
			}
			assert.Equal(t, readLoadReport(send("u").Header).Leaving, c.leaving)
			if !c.leaving {
				assert.Assert(t, !b.isLeaving("u"))
				return
			}
			transport.status, transport.header = http.StatusOK, http.Header{"Signature": {"s"}}
			refused := send("u")
			assert.Equal(t, refused.Header.Get(HeaderReason), string(admission.ReasonDraining))
			assert.Assert(t, readLoadReport(refused.Header).Leaving)
			assert.Equal(t, send("next").StatusCode, http.StatusOK, "the next instance at the address does not leave")
			b.UpstreamReplaced("u")
			assert.Assert(t, b.isLeaving("u"))
			b.UpstreamReplaced("next")
			assert.Assert(t, !b.isLeaving("u"))
		})
	}
}
