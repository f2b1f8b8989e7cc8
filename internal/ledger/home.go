package ledger

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// share is an upstream with its weight, as one table version gives it.
type share struct {
	name   string
	weight float64
}

func sharesOf(svc *snapshot.Service) []share {
	out := make([]share, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		if u.Weight > 0 {
			out = append(out, share{u.Name, u.Weight})
		}
	}
	return out
}

// Owner returns the upstream that alone may run the request of a key: weighted
// rendezvous hashing over the table's upstreams of the service. It does not
// depend on who is live, so two sides of a partition agree. A changed weight
// moves only its part of the keys.
func Owner(svc *snapshot.Service, k Key) string { return home(sharesOf(svc), k) }

func home(shares []share, k Key) string {
	best, name := math.Inf(-1), ""
	for _, s := range shares {
		h := xxhash.New()
		for _, part := range []string{s.name, k.Service, k.Tenant, k.Value} {
			_, _ = h.WriteString(part)
			_, _ = h.Write([]byte{0})
		}
		// Uniform in (0,1): the 53 high bits, moved off zero.
		u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
		if score := -s.weight / math.Log(u); score > best {
			best, name = score, s.name
		}
	}
	return name
}

// maxNames bounds the earlier upstreams of a service that are remembered.
const maxNames = 256

// mapping is what this node knows of the homes of one service.
type mapping struct {
	since  time.Time // when the present shares came into force here
	shares []share
	// names holds every upstream of the service that the table has shown
	// within the window, and when it last did.
	names map[string]time.Time
}

// OwnerHistory remembers when the homes of each service last changed here. While
// other nodes may still hold earlier homes, or have already held later ones,
// a home asks all upstreams of the service before it runs a key. It must ask
// all, not only the homes that its own versions gave: a node that starts, or
// that skips a version, never saw the others. Not safe for concurrent use.
type OwnerHistory struct {
	cfg      Config
	services map[string]*mapping
}

// NewOwnerHistory returns an empty history.
func NewOwnerHistory(cfg Config) *OwnerHistory {
	return &OwnerHistory{cfg: cfg, services: make(map[string]*mapping)}
}

// Add takes over the snapshot that came into force at the given time.
func (h *OwnerHistory) Add(now time.Time, snap *snapshot.Snapshot) {
	for _, row := range snap.Table.Services {
		svc := snap.Service(row.Name)
		next := sharesOf(svc)
		m := h.services[row.Name]
		if m == nil {
			m = &mapping{since: now, shares: next, names: make(map[string]time.Time)}
			h.services[row.Name] = m
		}
		if !slices.Equal(m.shares, next) {
			m.since, m.shares = now, next
		}
		for name, last := range m.names {
			if now.Sub(last) > h.cfg.Window || len(m.names) > maxNames {
				delete(m.names, name)
			}
		}
		for _, u := range svc.Upstreams {
			m.names[u.Name] = now
		}
	}
}

// OwnersToClaimFrom returns the upstreams to ask before the key is run at self, sorted; none
// once every node must hold these homes.
func (h *OwnerHistory) OwnersToClaimFrom(now time.Time, k Key, self string) []string {
	m := h.services[k.Service]
	if m == nil || h.settled(now, k, m.since) {
		return nil
	}
	var out []string
	for name := range m.names {
		if name != self {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// settled reports whether the key cannot have been run under other homes than
// those in force here since the given time: it was born after all nodes had
// them, or, for a key without a time, its repeats have ended.
func (h *OwnerHistory) settled(now time.Time, k Key, since time.Time) bool {
	if birth, timed := k.CreatedAt(); timed {
		return birth.After(since.Add(h.cfg.Settle + h.cfg.Skew))
	}
	return now.After(since.Add(h.cfg.Window))
}
