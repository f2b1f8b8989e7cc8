package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/telemetry"
)

// A load with figures out of range must not set a slowdown: NaN or a huge percentage would
// spoil all waits of the upstream.
func TestParseUpstreamLoad(t *testing.T) {
	for _, c := range []struct {
		text         string
		percent      float64
		slowdown, ok bool
	}{
		{"3,0,8", 0, false, true},
		{"3,0,8,250", 250, true, true},
		{"3, 0, 8, 87.5,later", 87.5, true, true},
		{"", 0, false, false},
		{"3,0", 0, false, false},
		{"3,0,8,", 0, false, false},
		{"3,0,8,slow", 0, false, false},
		{"3,0,8,-100", 0, false, false},
		{"3,0,8,0", 0, false, false},
		{"3,0,8,NaN", 0, false, false},
		{"3,0,8,1e300", 0, false, false},
		{"-1,0,8,250", 0, false, false},
		{"99999999999,0,8,250", 0, false, false},
		{"3,0,8,100" + strings.Repeat(" ", maxLoadLength), 0, false, false},
	} {
		percent, slowdown, ok := parseUpstreamLoad(c.text)
		assert.Equal(t, percent, c.percent, "%q", c.text)
		assert.Equal(t, slowdown, c.slowdown, "%q", c.text)
		assert.Equal(t, ok, c.ok, "%q", c.text)
	}
}

// loadDialect is the dialect of the upstream of these tests.
var loadDialect = Dialect{Deadline: HeaderTimeout, Signature: "Signature", Load: "Load"}

// A load report has the slowdown that the upstream last reported. Loads that can't be read
// change nothing and are reported once, and without any fourth figure nothing is added.
func TestSlowdownOfResponses(t *testing.T) {
	load, signature := "", "made-by-u"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", signature)
		w.Header().Set("Load", load)
	}))
	defer server.Close()
	address, err := url.Parse(server.URL)
	assert.NilError(t, err)
	var invalid []string
	b := NewBackend(BackendConfig{OnInvalidLoad: func(text string) { invalid = append(invalid, text) }, Upstream: address, Slots: 10, QueueLimit: 10, Dialect: loadDialect, ResponseBufferLimit: 1 << 10}, &snapshot.Holder{}, nil, NewMetrics(telemetry.NewMetrics().Scope), time.Time{})
	send := func(text string) string {
		load = text
		req := httptest.NewRequest("GET", "/", nil)
		Envelope{Target: "u", Kind: "k", KindWeight: 1, Idempotent: true, Timeout: time.Second, EmptyBody: true}.write(req.Header)
		resp, err := b.RoundTrip(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Header.Get(headerLoad)
	}
	for _, text := range []string{"", "3,0,8"} {
		assert.Assert(t, !strings.Contains(send(text), loadSlowdownPrefix), "%q", text)
	}
	assert.Equal(t, len(invalid), 0)
	for _, text := range []string{"3,0,8,250", "broken", "3,0,8", "3,0,8,1e9"} {
		assert.Assert(t, strings.Contains(send(text), "/slowdown:250:"), "%q", text)
	}
	assert.DeepEqual(t, invalid, []string{"broken"})
	signature = ""
	assert.Assert(t, strings.Contains(send("3,0,8,400"), "/slowdown:250:"), "the upstream did not make this one")
	signature = "made-by-u"
	assert.Assert(t, strings.Contains(send("3,0,8,120"), "/slowdown:120:"))
	send("")
	assert.DeepEqual(t, invalid, []string{"broken", ""})
	b.UpstreamRestarted()
	assert.Assert(t, !strings.Contains(send("3,0,8"), loadSlowdownPrefix))
}

// A load report whose slowdown can't be read still counts, without the slowdown.
func TestReadSlowdown(t *testing.T) {
	for text, percent := range map[string]float64{"slowdown:250:40": 250, "slowdown:250": 0, "slowdown:x:1": 0, "slowdown:250:-1": 0, "other": 0} {
		report := readLoadReport(http.Header{headerLoad: {"1/8/0/100000/0/" + text}})
		assert.Assert(t, report != nil)
		assert.Equal(t, report.Slowdown.Percent, percent, text)
	}
}
