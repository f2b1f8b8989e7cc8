package sidecar

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/quota"
)

// customerHomes finds the homes of customers among the nodes that are believed alive.
type customerHomes struct {
	members func() []membership.Member
	self    netip.Addr

	mu      sync.Mutex      // guards what follows
	peers   map[string]bool // of all nodes alive
	listed  uint64          // counts the listings of peers
	lost    time.Time       // when one was lost last; the start of this node before
	changed time.Time       // when peers may have changed last
	stale   bool            // they have to be listed anew
	homes   map[string]customerHome
}

// customerHome is where the tokens of a customer are lent.
type customerHome struct {
	peer, deputy netip.AddrPort
	self         bool      // this node is the home
	since        time.Time // when it became that
	listed       uint64    // customerHomes.listed when this was worked out
}

func newCustomerHomes(members func() []membership.Member, self netip.Addr, now time.Time) *customerHomes {
	return &customerHomes{members: members, self: self, lost: now, changed: now, stale: true, homes: make(map[string]customerHome)}
}

// membersChanged notes that nodes came, left or went.
func (h *customerHomes) membersChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale, h.changed = true, clock.Now()
}

// count returns the number of nodes alive.
func (h *customerHomes) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list()
	return len(h.peers)
}

// list lists the nodes alive if they may have changed. The lock is held.
func (h *customerHomes) list() {
	if !h.stale {
		return
	}
	before := h.peers
	h.stale, h.peers = false, make(map[string]bool, len(before))
	h.listed++
	for _, m := range h.members() {
		if m.Status == membership.Alive {
			h.peers[m.Peer.String()] = true
		}
	}
	for peer := range before {
		if !h.peers[peer] {
			h.lost = h.changed
		}
	}
}

// of returns the home of a customer. A node that becomes the home of one begins with an
// empty bucket: what the home before it lent is still spent. One that did not look for the
// home before may have become it when a node was lost last.
func (h *customerHomes) of(customer string) customerHome {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list()
	known, ok := h.homes[customer]
	if ok && known.listed == h.listed {
		return known
	}
	home, deputy := quota.Owners(customer, maps.Keys(h.peers))
	next := customerHome{since: known.since, listed: h.listed}
	next.peer, _ = netip.ParseAddrPort(home)
	next.deputy, _ = netip.ParseAddrPort(deputy)
	next.self = next.peer.Addr() == h.self
	switch {
	case !ok:
		next.since = h.lost
	case !known.self:
		next.since = h.changed
	}
	h.homes[customer] = next
	return next
}
