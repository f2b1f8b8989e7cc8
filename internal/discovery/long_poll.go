package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// PeerUpdateAfter returns the known state that the requesting node lacks, as soon as
// there is any or this node learns that there is none. After Config.PeerHoldTime it
// returns what there is.
func (f *Follower) PeerUpdateAfter(ctx context.Context, req PeerRequest) (PeerUpdate, error) {
	receivedAt := clock.Now()
	timer := time.NewTimer(f.cfg.PeerHoldTime)
	defer timer.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mergeLinks(slices.Concat(req.Links, []NodeLink{req.Link})...)
	if req.LinksOnly {
		return PeerUpdate{Age: unknownStaleness, Links: f.links.shared, LinksHash: f.links.hash}, nil
	}
	f.lastPeerRequest = receivedAt
	peerSyncedAt := receivedAt.Add(-req.Age)
	for waited := false; !waited && !f.hasChanges(req) && !f.isFresher(peerSyncedAt); {
		updated := f.updated
		f.mu.Unlock()
		select {
		case <-updated:
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
	update, err := f.buildPeerUpdate(now, req)
	update.HoldTime = now.Sub(receivedAt)
	return update, err
}

// minStalenessGain is the share of Config.WatchWait by which this node's state has to be
// fresher than that of the requesting node before it sends an update for that alone. A
// node that follows two readers learns twice as often as a reader that nothing has
// changed, and its own followers would poll it twice as often: 4.0 requests per second
// and node in place of 2.9.
const minStalenessGain = 0.85

// isFresher reports whether this node knows a state of the store that is worth sending to
// a peer which knows the state as of the given time. The lock is held.
func (f *Follower) isFresher(peerSyncedAt time.Time) bool {
	return f.syncedAt.Sub(peerSyncedAt) >= time.Duration(minStalenessGain*float64(f.cfg.WatchWait))
}

// hasChanges reports whether the requesting node lacks something. The lock is held.
func (f *Follower) hasChanges(req PeerRequest) bool {
	return req.After.Epoch != f.runID || req.After.Sequence < f.registry.Sequence() || f.tableVersionLocked().Newer(req.Table)
}

// buildPeerUpdate builds the response to a peer request. The lock is held.
func (f *Follower) buildPeerUpdate(now time.Time, req PeerRequest) (PeerUpdate, error) {
	u, full := f.changesSince(now, req)
	update := PeerUpdate{
		Cursor:    Cursor{Epoch: f.runID, Sequence: f.registry.Sequence()},
		Revision:  u.Revision,
		Age:       now.Sub(f.syncedAt),
		Table:     f.tableVersionLocked(),
		Full:      full,
		Upstreams: u.Upstreams,
		Removed:   u.Removed,
		Outage:    f.registry.InOutage(now),

		Evacuations:    u.Evacuations,
		HasEvacuations: u.HasEvacuations,
	}
	update.LinksHash = f.links.hash
	if req.LinksHash != update.LinksHash {
		update.Links = f.links.shared
	}
	if f.syncedAt.IsZero() {
		update.Age = unknownStaleness
	}
	if !req.IncludeTable || !update.Table.Newer(req.Table) {
		return update, nil
	}
	if req.AcceptPatch {
		patch, err := f.patch(req.Table)
		if err != nil {
			return PeerUpdate{}, err
		}
		if patch != nil {
			update.Patch, update.Base = patch, req.Table
			return update, nil
		}
	}
	if f.deflatedDocument == nil {
		var err error
		if f.deflatedDocument, err = deflate(f.document.Raw); err != nil {
			return PeerUpdate{}, err
		}
	}
	update.Document = f.deflatedDocument
	return update, nil
}

// changesSince returns what the requesting node lacks: by its cursor or, if the cursor is
// from another node or run, by the revision that it knows. Many nodes start or change
// their sources together, and the full state grows with the fleet, so it is sent only
// where it must be. The lock is held.
func (f *Follower) changesSince(now time.Time, req PeerRequest) (u Update, full bool) {
	if req.After.Epoch == f.runID && req.After.Sequence > 0 {
		return f.registry.Since(now, req.After.Sequence)
	}
	return f.registry.SinceRevision(now, req.Revision)
}
