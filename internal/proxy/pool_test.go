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

// deadDialer answers nothing until its context ends.
type deadDialer struct{ dials int }

func (d *deadDialer) DialRequests(ctx context.Context, _ string, _ netip.AddrPort) (*http3.ClientConn, error) {
	d.dials++
	<-ctx.Done()
	return nil, errors.Wrap(ctx.Err(), "dead")
}

// Requests to a dead node wait for one handshake at most; the rest are refused
// at once.
func TestPoolRemembersDeadNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &deadDialer{}
		p := NewPool(DefaultPoolConfig(), d, "self")
		in := membership.Instance{Name: "dead", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
		begin := time.Now()
		_, err := p.TransportTo(t.Context(), in)
		assert.ErrorContains(t, err, "dead")
		first := time.Since(begin)
		assert.Equal(t, first, p.cfg.DialTimeout)
		for range 100 {
			_, err = p.TransportTo(t.Context(), in)
			assert.ErrorContains(t, err, "dead")
		}
		assert.Equal(t, time.Since(begin), first)
		assert.Equal(t, d.dials, 1)
		time.Sleep(p.cfg.DialFailureTTL)
		_, err = p.TransportTo(t.Context(), in)
		assert.ErrorContains(t, err, "dead")
		assert.Equal(t, d.dials, 2)
	})
}
