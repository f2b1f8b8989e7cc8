package discovery

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// slowPeers respond after a hold time and a network time, with updates of a given
// staleness.
type slowPeers struct{ networkTime, holdTime, staleness time.Duration }

func (p slowPeers) Ask(context.Context, netip.AddrPort, PeerRequest) (PeerUpdate, error) {
	time.Sleep(p.holdTime + p.networkTime)
	return PeerUpdate{HoldTime: p.holdTime, Age: p.staleness}, nil
}

// The staleness of a peer update counts from when it was sent, so all of its network time
// adds to it.
func TestNetworkTimeAddsToStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := slowPeers{networkTime: 1200 * time.Millisecond, holdTime: 200 * time.Millisecond, staleness: 100 * time.Millisecond}
		f := NewFollower(DefaultConfig(), nil, peers, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
		_, err := f.pollSource(t.Context(), 0, &sourceState{})
		assert.NilError(t, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, time.Since(f.syncedAt), peers.networkTime+peers.staleness)
	})
}
