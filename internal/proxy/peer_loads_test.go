package proxy

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/telemetry"
)

// Peer load reports survive the header, which is bounded.
func TestPeerLoadsHeader(t *testing.T) {
	now := clock.Now()
	load := func(name string) routing.PeerLoad {
		return routing.PeerLoad{Upstream: name, Generation: 1785900000000, Age: 120 * time.Millisecond, InUse: 8, Slots: 9, Waiting: 3, Service: 91 * time.Millisecond, Slowdown: admission.Slowdown{Percent: 250, At: now.Add(-130 * time.Millisecond)}}
	}
	want := []routing.PeerLoad{load("i-1ab2d6c7f8"), load("i-8b188822c3"), {Upstream: "x", Slots: 1}}
	text := formatPeerLoads(now, want)
	got, malformed := parsePeerLoads(now, text)
	assert.Equal(t, malformed, 0)
	assert.DeepEqual(t, got, want)
	four := formatPeerLoads(now, []routing.PeerLoad{load("i-1ab2d6c7f8"), load("i-8b188822c3"), load("i-1ab2d6c7f9"), load("i-8b188822c4")})
	assert.Equal(t, strings.Count(four, ",")+1, routing.MaxPeerLoads, "four usual entries fit: %s", four)
	long := formatPeerLoads(now, []routing.PeerLoad{load("a,b"), load("a"), load(strings.Repeat("n", 300)), load("c")})
	got, malformed = parsePeerLoads(now, long)
	assert.Equal(t, malformed, 0)
	assert.DeepEqual(t, got, []routing.PeerLoad{load("a"), load("c")})
}

// Entries that can't be read are skipped, further figures of a newer node are ignored.
func TestMalformedPeerLoads(t *testing.T) {
	const good = "u1/7/20/3/4/0/80000/250/20"
	for _, c := range []struct {
		text            string
		read, malformed int
	}{
		{good, 1, 0},
		{good + "/further", 1, 0},
		{good + ",u2/7/20", 1, 1},
		{"/7/20/3/4/0/80000/250/20", 0, 1},
		{"u1/-/20/3/4/0/80000/250/20", 0, 1},
		{"u1/7/-20/3/4/0/80000/250/20", 0, 1},
		{"u1/7/20/3/0/0/80000/250/20", 0, 1},
		{"u1/7/20/99999999/4/0/80000/250/20", 0, 1},
		{"u1/7/20/3/4/0/99999999999999/250/20", 0, 1},
		{"u1/7/20/3/4/0/80000/250000/20", 0, 1},
		{strings.Repeat(good+",", 6) + good, 4, 0},
		{strings.Repeat("x", maxPeerLoadsLength+1), 0, 1},
	} {
		loads, malformed := parsePeerLoads(clock.Now(), c.text)
		assert.Equal(t, len(loads), c.read, c.text)
		assert.Equal(t, malformed, c.malformed, c.text)
	}
}

// Only responses to other nodes carry peer load reports, refusals included.
func TestWhichResponsesCarryPeerLoads(t *testing.T) {
	const loads = "u1/7/20/3/4/0/80000/250/20"
	var asked [2]string
	b := NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "127.0.0.1:1"}, Slots: 10, QueueLimit: 10, Dialect: loadDialect,
		PeerLoads: func(service, upstream string) string { asked = [2]string{service, upstream}; return loads },
	}, &snapshot.Holder{}, nil, NewMetrics(telemetry.NewMetrics().Scope), clock.Now())
	for _, remote := range []bool{true, false} {
		req := httptest.NewRequest("GET", "/", nil)
		Envelope{Target: "u", Service: "s", Kind: "k", KindWeight: 1, Timeout: time.Second}.write(req.Header)
		resp := b.admit(req, remote) // refused: nothing listens at the upstream's address
		assert.Equal(t, resp.Header.Get(headerPeerLoads) != "", remote)
	}
	assert.Equal(t, asked, [2]string{"s", "u"})
	h := http.Header{headerPeerLoads: {loads}}
	assert.Assert(t, !sentToCallers(headerPeerLoads))
	stripOwn(h)
	assert.Equal(t, len(h), 0, "an upstream's own header of this name is dropped")
}
