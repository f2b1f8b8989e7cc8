package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// siblingGroup is the sidecars of one service, which push crash records to each other.
type siblingGroup struct {
	mu          sync.Mutex
	all         map[netip.AddrPort]*sharedQuarantine
	sent        map[netip.Addr]int // messages by sender
	unreachable map[netip.AddrPort]bool
}

// siblingTransport is the transport of one sidecar to the others.
type siblingTransport struct {
	*siblingGroup
	self netip.Addr
}

func (t siblingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	to := netip.MustParseAddrPort(r.URL.Host)
	t.mu.Lock()
	t.sent[t.self]++
	unreachable := t.unreachable[to]
	t.mu.Unlock()
	if unreachable {
		return nil, io.ErrUnexpectedEOF
	}
	rec := httptest.NewRecorder()
	t.all[to].serve(rec, r)
	return rec.Result(), nil
}

func newSiblingGroup(n int) *siblingGroup {
	s := &siblingGroup{all: make(map[netip.AddrPort]*sharedQuarantine), sent: make(map[netip.Addr]int), unreachable: make(map[netip.AddrPort]bool)}
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81)
	}
	var members []membership.Member
	for i := range n {
		members = append(members, membership.Member{Instance: membership.Instance{Service: "s", Peer: at(i)}})
	}
	for i := range n {
		self := at(i).Addr()
		s.all[at(i)] = &sharedQuarantine{
			log:     log.New(io.Discard),
			limiter: newLogLimiter(),
			peers: &quarantinePeers{
				client:  siblingTransport{s, self},
				members: func() []membership.Member { return members },
				self:    self,
				service: func() string { return "s" },
			},
			pushNow:  make(chan struct{}, 1),
			pushSoon: make(chan struct{}, 1),
			pushed:   make(chan struct{}, 1),
			tracker:  quarantine.NewTracker(quarantine.DefaultConfig()),
		}
	}
	return s
}

// pushAndAwait pushes a crash from one sidecar and waits until all reachable ones have its
// record.
func (s *siblingGroup) pushAndAwait(t *testing.T, pusher *sharedQuarantine) {
	t.Helper()
	pusher.tracker.UpstreamCrashed(time.Now(), 1, "s", []quarantine.Fingerprint{7})
	pusher.pushToSiblings(context.Background())
	deadline := time.Now().Add(10 * time.Second)
	for informed := 0; informed < len(s.all)-len(s.unreachable); {
		assert.Assert(t, time.Now().Before(deadline), "%d of %d know", informed, len(s.all))
		informed = 0
		for at, q := range s.all {
			q.mu.Lock()
			if !s.unreachable[at] && !q.tracker.Empty() {
				informed++
			}
			q.mu.Unlock()
		}
	}
}

func (s *siblingGroup) any() *sharedQuarantine {
	for at, q := range s.all {
		if !s.unreachable[at] {
			return q
		}
	}
	return nil
}

// In a large service a sidecar does not push a crash to each of its siblings itself, 547
// in a fleet of 985 nodes, but to a few that relay it. All siblings still get the record
// at once, and no sidecar sends more messages than the square root of their number.
func TestCrashIsRelayedInLargeServices(t *testing.T) {
	for _, n := range []int{20, 548, 1280} {
		s := newSiblingGroup(n)
		s.pushAndAwait(t, s.any())
		root := 1
		for root*root < n {
			root++
		}
		s.mu.Lock()
		for _, sent := range s.sent {
			assert.Assert(t, sent <= max(maxDirectPushes, root), "%d sent by one of %d", sent, n)
		}
		s.mu.Unlock()
	}
}

// If some of the relays are gone, the other siblings still get the record at once.
func TestCrashIsPushedThoughRelaysAreGone(t *testing.T) {
	s := newSiblingGroup(548)
	for at := range s.all {
		if s.unreachable[at] = true; len(s.unreachable) == 100 {
			break
		}
	}
	s.pushAndAwait(t, s.any())
}
