package proxy

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
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
