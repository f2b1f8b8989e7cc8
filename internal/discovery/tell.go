package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// PeerUpdateAfter returns what is believed here and not known to the asking node, as
// soon as there is anything, or this node learns that there is not. After
// Config.NewsWait it returns what there is.
func (f *Follower) PeerUpdateAfter(ctx context.Context, ask PeerRequest) (PeerUpdate, error) {
	began := clock.Now()
	timer := time.NewTimer(f.cfg.PeerHoldTime)
	defer timer.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearLinks(slices.Concat(ask.Links, []NodeLink{ask.Link})...)
	if ask.LinksOnly {
		return PeerUpdate{Age: unknownAge, Links: f.links.told, LinksHash: f.links.hash}, nil
	}
	f.asked = began
	known := began.Add(-ask.Age)
	for waited := false; !waited && !f.hasNews(ask) && !f.knowsLater(known); {
		tick := f.tick
		f.mu.Unlock()
		select {
		case <-tick:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
		}
		f.mu.Lock()
		if err := ctx.Err(); err != nil {
			return PeerUpdate{}, err
		}
	}
	now := clock.Now()
	n, err := f.news(now, ask)
	n.HoldTime = now.Sub(began)
	return n, err
}

// holdShare is the part of Config.WatchWait by which a node's knowledge has to be
// newer than that of the asking one, before it tells that alone. One that hears from
// two readers learns twice as often as a reader that there is nothing, and whoever
// follows it would ask it twice as often: 4.0 questions a second and node in place
// of 2.9, measured in fake time.
const holdShare = 0.85

// knowsLater reports whether this node knows a state of the store that is worth
// telling to one who knows that of a time. The lock is held.
func (f *Follower) knowsLater(known time.Time) bool {
	return f.current.Sub(known) >= time.Duration(holdShare*float64(f.cfg.WatchWait))
}

// hasNews reports whether the asking node lacks something. The lock is held.
func (f *Follower) hasNews(ask PeerRequest) bool {
	return ask.After.Epoch != f.epoch || ask.After.Sequence < f.registry.Sequence() || f.holdsLocked().Newer(ask.Table)
}

// news builds the news for a question. The lock is held.
func (f *Follower) news(now time.Time, ask PeerRequest) (PeerUpdate, error) {
	u, whole := f.changesSince(now, ask)
	n := PeerUpdate{
		Cursor:    Cursor{Epoch: f.epoch, Sequence: f.registry.Sequence()},
		Revision:  u.Revision,
		Age:       now.Sub(f.current),
		Table:     f.holdsLocked(),
		Full:      whole,
		Upstreams: u.Upstreams,
		Removed:   u.Removed,
		Outage:    f.registry.InOutage(now),

		Evacuations:    u.Evacuations,
		HasEvacuations: u.HasEvacuations,
	}
	n.LinksHash = f.links.hash
	if ask.LinksHash != n.LinksHash {
		n.Links = f.links.told
	}
	if f.current.IsZero() {
		n.Age = unknownAge
	}
	if !ask.IncludeTable || !n.Table.Newer(ask.Table) {
		return n, nil
	}
	if ask.AcceptPatch {
		patch, err := f.patch(ask.Table)
		if err != nil {
			return PeerUpdate{}, err
		}
		if patch != nil {
			n.Patch, n.Base = patch, ask.Table
			return n, nil
		}
	}
	if f.deflated == nil {
		var err error
		if f.deflated, err = deflate(f.document.Raw); err != nil {
			return PeerUpdate{}, err
		}
	}
	n.Document = f.deflated
	return n, nil
}

// changesSince returns what the asking node lacks: by its cursor or, where that is of
// another node or run, by the revision that it knows: many nodes start or change their
// sources together, and all that is believed grows with the fleet. The lock is held.
func (f *Follower) changesSince(now time.Time, ask PeerRequest) (u Update, whole bool) {
	if ask.After.Epoch == f.epoch && ask.After.Sequence > 0 {
		return f.registry.Since(now, ask.After.Sequence)
	}
	return f.registry.SinceRevision(now, ask.Revision)
}
