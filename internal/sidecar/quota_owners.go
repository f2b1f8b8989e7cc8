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

// quotaOwners finds the owners of customers' token buckets among the alive nodes.
type quotaOwners struct {
	members func() []membership.Member
	self    netip.Addr

	mu           sync.Mutex      // guards the fields below
	alive        map[string]bool // addresses of all alive nodes
	generation   uint64          // counts the refreshes of alive
	lastLossAt   time.Time       // when a node was last lost; at first the start of this node
	lastChangeAt time.Time       // when alive may last have changed
	stale        bool            // alive has to be refreshed
	byCustomer   map[string]quotaOwner
}

// quotaOwner is the node that owns the token bucket of a customer, with its standby.
type quotaOwner struct {
	peer, standby netip.AddrPort
	self          bool      // this node is the owner
	since         time.Time // when this node became the owner
	generation    uint64    // quotaOwners.generation when this was computed
}

func newQuotaOwners(members func() []membership.Member, self netip.Addr, now time.Time) *quotaOwners {
	return &quotaOwners{members: members, self: self, lastLossAt: now, lastChangeAt: now, stale: true, byCustomer: make(map[string]quotaOwner)}
}

// membersChanged notes that the members or their statuses have changed.
func (o *quotaOwners) membersChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stale, o.lastChangeAt = true, clock.Now()
}

// aliveCount returns the number of alive nodes.
func (o *quotaOwners) aliveCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	return len(o.alive)
}

// refresh lists the alive nodes again if they may have changed. The caller holds the lock.
func (o *quotaOwners) refresh() {
	if !o.stale {
		return
	}
	previous := o.alive
	o.stale, o.alive = false, make(map[string]bool, len(previous))
	o.generation++
	for _, m := range o.members() {
		if m.Status == membership.Alive {
			o.alive[m.Peer.String()] = true
		}
	}
	for peer := range previous {
		if !o.alive[peer] {
			o.lastLossAt = o.lastChangeAt
		}
	}
}

// ownerOf returns the owner of a customer's token bucket. A node that becomes an owner
// starts with an empty bucket, as the tokens that the earlier owner granted are still
// being spent. If this node has not looked up the customer's owner before, it may have
// become the owner when a node was last lost.
func (o *quotaOwners) ownerOf(customer string) quotaOwner {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	known, ok := o.byCustomer[customer]
	if ok && known.generation == o.generation {
		return known
	}
	owner, standby := quota.Owners(customer, maps.Keys(o.alive))
	next := quotaOwner{since: known.since, generation: o.generation}
	next.peer, _ = netip.ParseAddrPort(owner)
	next.standby, _ = netip.ParseAddrPort(standby)
	next.self = next.peer.Addr() == o.self
	switch {
	case !ok:
		next.since = o.lastLossAt
	case !known.self:
		next.since = o.lastChangeAt
	}
	o.byCustomer[customer] = next
	return next
}
