package ledger

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// weightedUpstream is an upstream with its weight in one table version.
type weightedUpstream struct {
	name   string
	weight float64
}

func weightedUpstreams(svc *snapshot.Service) []weightedUpstream {
	out := make([]weightedUpstream, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		if u.Weight > 0 {
			out = append(out, weightedUpstream{u.Name, u.Weight})
		}
	}
	return out
}

// Owner returns the upstream that alone may run the request of a key. It uses weighted
// rendezvous hashing over the table's upstreams of the service and doesn't depend on
// which of them are live, so that both sides of a partition agree. A changed weight moves
// only its share of the keys.
func Owner(svc *snapshot.Service, k Key) string { return ownerOf(weightedUpstreams(svc), k) }

func ownerOf(upstreams []weightedUpstream, k Key) string {
	best, name := math.Inf(-1), ""
	for _, s := range upstreams {
		h := xxhash.New()
		for _, part := range []string{s.name, k.Service, k.Tenant, k.Value} {
			_, _ = h.WriteString(part)
			_, _ = h.Write([]byte{0})
		}
		// Uniform in (0,1): the 53 high bits, shifted by one half so that u isn't 0.
		u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
		if score := -s.weight / math.Log(u); score > best {
			best, name = score, s.name
		}
	}
	return name
}

// maxPastUpstreams bounds the earlier upstreams of a service that are remembered.
const maxPastUpstreams = 256

// serviceOwners is what this node knows of the possible owners of one service's keys.
type serviceOwners struct {
	changedAt time.Time // when the present weights came into force at this node
	upstreams []weightedUpstream
	// lastSeen holds every upstream of the service that was in the table within the
	// window, and when it last was.
	lastSeen map[string]time.Time
}

// OwnerHistory remembers when the owners of each service's keys last changed at this
// node. While other nodes may still use earlier owners, or may already have used later
// ones, an owner must send claims to all upstreams of the service before it runs a key.
// Owners by this node's own table versions aren't enough: a node that starts, or that
// skips a version, never saw the others. It is not safe for concurrent use.
type OwnerHistory struct {
	cfg      Config
	services map[string]*serviceOwners
}

// NewOwnerHistory returns an empty history.
func NewOwnerHistory(cfg Config) *OwnerHistory {
	return &OwnerHistory{cfg: cfg, services: make(map[string]*serviceOwners)}
}

// Add records the snapshot that came into force at the given time.
func (h *OwnerHistory) Add(now time.Time, snap *snapshot.Snapshot) {
	for _, row := range snap.Table.Services {
		svc := snap.Service(row.Name)
		next := weightedUpstreams(svc)
		m := h.services[row.Name]
		if m == nil {
			m = &serviceOwners{changedAt: now, upstreams: next, lastSeen: make(map[string]time.Time)}
			h.services[row.Name] = m
		}
		if !slices.Equal(m.upstreams, next) {
			m.changedAt, m.upstreams = now, next
		}
		for name, last := range m.lastSeen {
			if now.Sub(last) > h.cfg.Window || len(m.lastSeen) > maxPastUpstreams {
				delete(m.lastSeen, name)
			}
		}
		for _, u := range svc.Upstreams {
			m.lastSeen[u.Name] = now
		}
	}
}

// OwnersToClaimFrom returns the upstreams that must be asked before the key is run at
// self, sorted. It returns none once every node must have the present owners.
func (h *OwnerHistory) OwnersToClaimFrom(now time.Time, k Key, self string) []string {
	m := h.services[k.Service]
	if m == nil || h.settled(now, k, m.changedAt) {
		return nil
	}
	var out []string
	for name := range m.lastSeen {
		if name != self {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// settled reports whether the key can't have been run under other owners than those in
// force at this node since the given time: either it was created after all nodes had
// them, or it has no creation time and its repeats have ended.
func (h *OwnerHistory) settled(now time.Time, k Key, since time.Time) bool {
	if created, timed := k.CreatedAt(); timed {
		return created.After(since.Add(h.cfg.Settle + h.cfg.Skew))
	}
	return now.After(since.Add(h.cfg.Window))
}
