package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/telemetry"
)

func TestAdvertisedLimitValues(t *testing.T) {
	d := Dialect{RateLimit: "Limit"}
	for _, c := range []struct {
		value string
		limit admission.AdvertisedLimit
		ok    bool
	}{
		{"3.5", admission.AdvertisedLimit{InForce: true, PerSecond: 3.5}, true},
		{"0", admission.AdvertisedLimit{InForce: true}, true},
		{"1e12", admission.AdvertisedLimit{InForce: true, PerSecond: 1e12}, true},
		{"-1", admission.AdvertisedLimit{}, false},
		{"NaN", admission.AdvertisedLimit{}, false},
		{"Inf", admission.AdvertisedLimit{}, false},
		{"1e999", admission.AdvertisedLimit{}, false},
		{"few", admission.AdvertisedLimit{}, false},
		{"", admission.AdvertisedLimit{}, false},
	} {
		limit, ok := d.advertisedLimit(http.Header{"Limit": {c.value}})
		assert.Equal(t, ok, c.ok, "%q", c.value)
		assert.Equal(t, limit, c.limit, "%q", c.value)
	}
	limit, ok := d.advertisedLimit(http.Header{})
	assert.Assert(t, ok && !limit.InForce, "a response without the header ends the limit")
}

// limitDialect is the dialect of the upstream of these tests.
var limitDialect = Dialect{Deadline: HeaderTimeout, RequestID: "Id", Signature: "Signature", ExpectedInstance: "Instance", NotExecuted: "Not-Executed", RateLimit: "Limit"}

// Only a complete response that the expected instance itself made changes its limit, but
// one that advertises a limit counts as soon as its head has arrived.
func TestWhichResponsesChangeALimit(t *testing.T) {
	limited := func(w http.ResponseWriter) { w.Header().Set("Limit", "50") }
	for _, c := range []struct {
		name    string
		before  bool // a limit is in force
		respond func(http.ResponseWriter)
		after   bool
		invalid string // reported as no limit
	}{
		{"with a limit", false, limited, true, ""},
		{"without a limit", true, func(http.ResponseWriter) {}, false, ""},
		{"a failure with a limit", false, func(w http.ResponseWriter) { limited(w); w.WriteHeader(http.StatusInternalServerError) }, true, ""},
		{"a refusal with a limit", false, func(w http.ResponseWriter) {
			limited(w)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true, ""},
		{"unreadable, with a limit before", true, func(w http.ResponseWriter) { w.Header().Set("Limit", "-1") }, true, "-1"},
		{"unreadable, without a limit before", false, func(w http.ResponseWriter) { w.Header().Set("Limit", "NaN") }, false, "NaN"},
		{"unsigned, with a limit", false, func(w http.ResponseWriter) { limited(w); w.Header().Del("Signature") }, false, ""},
		{"unsigned, without a limit", true, func(w http.ResponseWriter) {
			w.Header().Del("Signature")
			w.WriteHeader(http.StatusInternalServerError)
		}, true, ""},
		{"of another instance", false, func(w http.ResponseWriter) { limited(w); w.WriteHeader(http.StatusMisdirectedRequest) }, false, ""},
		{"truncated, without a limit", true, func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "part")
		}, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			respond := limited
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Signature", "made-by-u")
				respond(w)
			}))
			defer server.Close()
			address, err := url.Parse(server.URL)
			assert.NilError(t, err)
			invalid := ""
			b := NewBackend(BackendConfig{OnInvalidLimit: func(text string) { invalid = text }, Upstream: address, Slots: 10, QueueLimit: 10, Dialect: limitDialect, ResponseBufferLimit: 1 << 10}, &snapshot.Holder{}, nil, NewMetrics(telemetry.NewMetrics().Scope), time.Time{})
			send := func() {
				req := httptest.NewRequest("GET", "/", nil)
				req.Header.Set("Id", "1")
				Envelope{Target: "u", Kind: "k", KindWeight: 1, Idempotent: true, Timeout: time.Second, EmptyBody: true}.write(req.Header)
				resp, err := b.RoundTrip(req)
				assert.NilError(t, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if c.before {
				send()
				assert.Assert(t, b.advertisedLimit().InForce)
			}
			respond = c.respond
			send()
			assert.Equal(t, b.advertisedLimit().InForce, c.after)
			assert.Equal(t, invalid, c.invalid)
		})
	}
}

// A node that has started beside a limited upstream learns the limit with the first
// request, keeps it while it is not contradicted, and tells it in its load reports.
func TestLimitIsHintedBySender(t *testing.T) {
	b := NewBackend(BackendConfig{Upstream: &url.URL{Scheme: "http", Host: "127.0.0.1:1"}, Slots: 10, QueueLimit: 10, Dialect: limitDialect}, &snapshot.Holder{}, nil, NewMetrics(telemetry.NewMetrics().Scope), clock.Now())
	known := admission.AdvertisedLimit{InForce: true, PerSecond: 3.5}
	h := http.Header{}
	Envelope{Target: "u", Kind: "k", KindWeight: 1, Timeout: time.Second, KnownLimit: known}.write(h)
	env, err := readEnvelope(h)
	assert.NilError(t, err)
	assert.Equal(t, env.KnownLimit, known)
	reported := func() *admission.AdvertisedLimit {
		h := http.Header{}
		b.setReportHeaders(h, env, false)
		return readLoadReport(h).Limit
	}
	assert.Assert(t, reported() == nil, "nothing is known of the upstream")
	req := httptest.NewRequest("GET", "/", nil)
	req.Header = h
	_, err = b.RoundTrip(req) // refused: nothing listens at the upstream's address
	assert.NilError(t, err)
	assert.Equal(t, b.advertisedLimit(), known)
	assert.Equal(t, *reported(), known)
	b.advertised.Observe("u", clock.Now(), clock.Now(), admission.AdvertisedLimit{})
	assert.Assert(t, !reported().InForce, "the sender learns that the limit has ended")
	env.KnownLimit = admission.AdvertisedLimit{}
	assert.Assert(t, reported() == nil)
	b.advertised.Observe("u", clock.Now(), clock.Now(), known)
	b.UpstreamReplaced("u")
	assert.Equal(t, b.advertisedLimit(), known)
	b.UpstreamReplaced("next")
	assert.Assert(t, !b.advertisedLimit().InForce)
}
