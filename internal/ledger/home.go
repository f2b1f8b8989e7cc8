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

// Home returns the upstream that alone may run the request of a key: weighted
// rendezvous hashing over the table's upstreams of the service. It does not
// depend on who is live, so two sides of a partition agree. A changed weight
// moves only its part of the keys.
func Home(svc *snapshot.Service, k Key) string { return home(sharesOf(svc), k) }

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

// maxMappings bounds the mappings kept for one service. If more were in force
// within the window, the oldest stands for all before it.
const maxMappings = 32

type mapping struct {
	since  time.Time
	shares []share
}

// History remembers which homes the table gave within the window, so that a
// new home can ask the earlier ones before it runs a key. Not safe for
// concurrent use.
type History struct {
	window   time.Duration
	services map[string][]mapping // oldest first; the last is in force
}

// NewHistory returns an empty history.
func NewHistory(window time.Duration) *History {
	return &History{window: window, services: make(map[string][]mapping)}
}

// Add takes over the snapshot that came into force at the given time.
func (h *History) Add(now time.Time, snap *snapshot.Snapshot) {
	for _, row := range snap.Table.Services {
		next := sharesOf(snap.Service(row.Name))
		old := h.services[row.Name]
		if len(old) > 0 && slices.Equal(old[len(old)-1].shares, next) {
			continue
		}
		old = append(old, mapping{since: now, shares: next})
		h.services[row.Name] = h.prune(now, old)
	}
}

// prune drops the mappings that were replaced before the window began.
func (h *History) prune(now time.Time, all []mapping) []mapping {
	for len(all) > 1 && now.Sub(all[1].since) > h.window {
		all = all[1:]
	}
	for len(all) > maxMappings {
		all = all[1:]
	}
	return all
}

// Earlier returns the homes of the key within the window other than self, most
// recent first.
func (h *History) Earlier(now time.Time, k Key, self string) []string {
	all := h.prune(now, h.services[k.Service])
	h.services[k.Service] = all
	var out []string
	for _, m := range slices.Backward(all) {
		name := home(m.shares, k)
		if name != self && name != "" && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
