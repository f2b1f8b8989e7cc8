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

// siblingsOf are the sidecars of one service that tell each other of falls.
type siblingsOf struct {
	mu   sync.Mutex
	all  map[netip.AddrPort]*heldRequests
	sent map[netip.Addr]int // messages by sender
	dead map[netip.AddrPort]bool
}

// wayFrom is the way of one sidecar to the others.
type wayFrom struct {
	*siblingsOf
	self netip.Addr
}

func (w wayFrom) RoundTrip(r *http.Request) (*http.Response, error) {
	to := netip.MustParseAddrPort(r.URL.Host)
	w.mu.Lock()
	w.sent[w.self]++
	dead := w.dead[to]
	w.mu.Unlock()
	if dead {
		return nil, io.ErrUnexpectedEOF
	}
	rec := httptest.NewRecorder()
	w.all[to].answer(rec, r)
	return rec.Result(), nil
}

func newSiblings(n int) *siblingsOf {
	s := &siblingsOf{all: make(map[netip.AddrPort]*heldRequests), sent: make(map[netip.Addr]int), dead: make(map[netip.AddrPort]bool)}
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81)
	}
	var members []membership.Member
	for i := range n {
		members = append(members, membership.Member{Instance: membership.Instance{Service: "s", Peer: at(i)}})
	}
	for i := range n {
		self := at(i).Addr()
		s.all[at(i)] = &heldRequests{
			log:   log.New(io.Discard),
			lines: newLineBudget(),
			others: &heldPeers{
				client:  wayFrom{s, self},
				members: func() []membership.Member { return members },
				self:    self,
				service: func() string { return "s" },
			},
			urgent: make(chan struct{}, 1),
			soon:   make(chan struct{}, 1),
			told:   make(chan struct{}, 1),
			book:   quarantine.NewTracker(quarantine.DefaultConfig()),
		}
	}
	return s
}

// tellAll has one sidecar tell a fall, and waits until all that are alive know of it.
func (s *siblingsOf) tellAll(t *testing.T, teller *heldRequests) {
	t.Helper()
	teller.book.UpstreamCrashed(time.Now(), 1, "s", []quarantine.Fingerprint{7})
	teller.tellSiblings(context.Background())
	deadline := time.Now().Add(10 * time.Second)
	for knowing := 0; knowing < len(s.all)-len(s.dead); {
		assert.Assert(t, time.Now().Before(deadline), "%d of %d know", knowing, len(s.all))
		knowing = 0
		for at, h := range s.all {
			h.mu.Lock()
			if !s.dead[at] && !h.book.Empty() {
				knowing++
			}
			h.mu.Unlock()
		}
	}
}

func (s *siblingsOf) any() *heldRequests {
	for at, h := range s.all {
		if !s.dead[at] {
			return h
		}
	}
	return nil
}

// When an upstream of a large service fell, the sidecar beside it told each of its siblings
// by itself, 547 at 985 nodes. It tells a few, which pass it on: all still know at once, and
// nobody sends more than the root of their number.
func TestAFallIsPassedOnAmongMany(t *testing.T) {
	for _, n := range []int{20, 548, 1280} {
		s := newSiblings(n)
		s.tellAll(t, s.any())
		root := 1
		for root*root < n {
			root++
		}
		s.mu.Lock()
		for _, sent := range s.sent {
			assert.Assert(t, sent <= max(directly, root), "%d sent by one of %d", sent, n)
		}
		s.mu.Unlock()
	}
}

// Where some of those that would pass it on are gone, the others still know at once.
func TestAFallIsPassedOnThoughRelaysAreGone(t *testing.T) {
	s := newSiblings(548)
	for at := range s.all {
		if s.dead[at] = true; len(s.dead) == 100 {
			break
		}
	}
	s.tellAll(t, s.any())
}
