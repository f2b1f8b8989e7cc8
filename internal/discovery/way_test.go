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

// slowPeers answer after a way, with news of an age that were held for a while.
type slowPeers struct{ way, held, age time.Duration }

func (p slowPeers) Ask(context.Context, netip.AddrPort, PeerRequest) (PeerUpdate, error) {
	time.Sleep(p.held + p.way)
	return PeerUpdate{HoldTime: p.held, Age: p.age}, nil
}

// The way of an answer is no knowledge: the news are as old as they were when they
// were given, and the whole way older.
func TestWayOfAnAnswerMakesItsNewsOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := slowPeers{way: 1200 * time.Millisecond, held: 200 * time.Millisecond, age: 100 * time.Millisecond}
		f := NewFollower(DefaultConfig(), nil, peers, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
		_, err := f.askOnce(t.Context(), 0, &peerLink{})
		assert.NilError(t, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, time.Since(f.current), peers.way+peers.age)
	})
}
