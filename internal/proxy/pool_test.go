package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/peer"
)

// hangingDialer does not answer until its context ends.
type hangingDialer struct{ dials int }

func (d *hangingDialer) DialRequests(ctx context.Context, _ string, _ netip.AddrPort) (*http3.ClientConn, error) {
	d.dials++
	<-ctx.Done()
	return nil, errors.Wrap(ctx.Err(), "dead")
}

// Requests to a dead node wait for at most one handshake; further ones are refused at
// once.
func TestPoolRemembersFailedDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &hangingDialer{}
		p := NewPool(DefaultPoolConfig(), d, "self")
		in := membership.Instance{Name: "dead", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
		start := time.Now()
		_, err := p.TransportTo(t.Context(), in)
		assert.ErrorContains(t, err, "dead")
		first := time.Since(start)
		assert.Equal(t, first, p.cfg.DialTimeout)
		for range 100 {
			_, err = p.TransportTo(t.Context(), in)
			assert.ErrorContains(t, err, "dead")
		}
		assert.Equal(t, time.Since(start), first)
		assert.Equal(t, d.dials, 1)
		time.Sleep(p.cfg.DialFailureTTL)
		_, err = p.TransportTo(t.Context(), in)
		assert.ErrorContains(t, err, "dead")
		assert.Equal(t, d.dials, 2)
	})
}

// Guards against a status of another node that is none, taken for that of a response.
func TestInvalidStatusOfANodeIsNoResponse(t *testing.T) {
	authority, err := peer.NewAuthority()
	assert.NilError(t, err)
	listen := func(name string, h http.Handler) *peer.Endpoint {
		id, err := authority.Issue(name)
		assert.NilError(t, err)
		e, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), id, h, nil)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = e.Close() })
		return e
	}
	server := listen("server", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, err := strconv.Atoi(r.URL.Path[1:])
		assert.NilError(t, err)
		w.WriteHeader(status)
	}))
	pool := NewPool(DefaultPoolConfig(), listen("client", nil), "client")
	defer pool.Close()
	for status, valid := range map[int]bool{200: true, 299: true, 599: true, 101: false, 600: false, 999: false} {
		transport, err := pool.TransportTo(t.Context(), membership.Instance{Name: "server", Peer: server.Addr()})
		assert.NilError(t, err)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://server/"+strconv.Itoa(status), nil)
		assert.NilError(t, err)
		resp, err := transport.RoundTrip(req)
		assert.Equal(t, err == nil, valid, "%d: %v", status, err)
		if valid {
			assert.Equal(t, resp.StatusCode, status)
			assert.NilError(t, resp.Body.Close())
			continue
		}
		assert.Assert(t, errors.Is(err, http1.ErrMalformedResponse), "%d: %v", status, err)
	}
}
