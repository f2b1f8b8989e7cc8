package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/version"
)

// sourceState is the state of polling one update source.
type sourceState struct {
	source       membership.Instance
	cursor       Cursor
	includeTable bool
	// requestFull asks for a full table after a patch could not be applied.
	requestFull bool
	failing     bool
	linksHash   uint64 // PeerUpdate.LinksHash of the last update
}

// followPeers polls the update source of a slot until ctx ends. The source may change
// over time.
func (f *Follower) followPeers(ctx context.Context, slot int) {
	var state sourceState
	for ctx.Err() == nil {
		source, ok := f.sourceAt(slot)
		if !ok {
			sleepContext(ctx, rolePollInterval)
			continue
		}
		if source.Peer != state.source.Peer {
			state = sourceState{source: source}
			if slot > 0 && !f.hasCompleteState() {
				// The first source sends the full state; after that, this one need only
				// send later changes.
				sleepContext(ctx, f.cfg.SecondSourceDelay)
			}
		}
		sentAt := clock.Now()
		sourceVersion, err := f.pollSource(ctx, slot, &state)
		if err != nil {
			f.logSourceFailure(ctx, &state, clock.Since(sentAt), err)
			sleepContext(ctx, f.cfg.PeerRetryDelay+rand.N(f.cfg.PeerRetryDelay+1))
			continue
		}
		if sourceVersion.Newer(f.tableVersion()) && !state.includeTable {
			// The first source sends the table; this one sends it only if that fails.
			sleepContext(ctx, f.cfg.SecondSourceDelay)
		}
		state.includeTable = sourceVersion.Newer(f.tableVersion())
	}
}

// hasCompleteState reports whether this node knows everything that the store held at some
// time.
func (f *Follower) hasCompleteState() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.CompleteRevision() > 0
}

// sourceAt returns the node that a slot follows now; none at a reader with fresh store
// state. A node that has to list the whole store keeps polling peers: over a saturated
// link a listing took 23 s, in which the node would otherwise learn of no change.
func (f *Follower) sourceAt(slot int) (membership.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.unreachableSince.IsZero() && clock.Since(f.syncedAt) < f.cfg.PeerMaxStaleness
	if slot >= len(f.sources) || f.reader && fresh {
		return membership.Instance{}, false
	}
	return f.sources[slot], true
}

// pollSource requests a peer update and applies it. It returns the table version that the
// source holds.
func (f *Follower) pollSource(ctx context.Context, slot int, state *sourceState) (version.ID, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	sentAt := clock.Now()
	req := PeerRequest{After: state.cursor, Table: f.tableVersion(), IncludeTable: slot == 0 || state.includeTable, Age: f.Staleness(sentAt), AcceptPatch: !state.requestFull}
	f.addKnownState(&req, state)
	update, err := f.peers.Ask(callCtx, state.source.Peer, req)
	if err != nil {
		return version.ID{}, err
	}
	if state.failing {
		state.failing = false
		f.log.Info("news regained", "source", state.source.Name, "age", update.Age)
	}
	if err := f.applyPeerUpdate(ctx, sentAt.Add(update.HoldTime-update.Age), state.source.Name, update); err != nil {
		if len(update.Patch) > 0 {
			state.requestFull = true
			f.log.Warn("difference of tables not taken, asking for the whole", "source", state.source.Name, "base", update.Base, "version", update.Table, "err", err)
		}
		return version.ID{}, err
	}
	state.cursor, state.requestFull, state.linksHash = update.Cursor, false, update.LinksHash
	return update.Table, nil
}

func (f *Follower) logSourceFailure(ctx context.Context, state *sourceState, took time.Duration, err error) {
	if state.failing || ctx.Err() != nil {
		return
	}
	state.failing = true
	f.log.Warn("news lost", "source", state.source.Name, "took", took, "err", err)
}

// tableVersion returns the version of the table in force.
func (f *Follower) tableVersion() version.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tableVersionLocked()
}

func (f *Follower) tableVersionLocked() version.ID {
	if f.document == nil {
		return version.ID{}
	}
	return f.document.ID
}

// applyPeerUpdate merges the known state of another node, which was complete as of the
// given time. If that node holds a newer table than this one does afterwards, this node
// is not up to date as of that time.
func (f *Follower) applyPeerUpdate(ctx context.Context, asOf time.Time, from string, update PeerUpdate) error {
	now := clock.Now()
	doc, err := f.decodeDocument(ctx, update)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mergeLinks(update.Links...)
	changed := f.setDocument(doc, from)
	behind := update.Table.Newer(f.tableVersionLocked())
	if update.Outage {
		f.recordOutage(now, now) // other nodes could not reach the store either
	}
	u := Update{Revision: update.Revision, Upstreams: update.Upstreams, Removed: update.Removed, Evacuations: update.Evacuations, HasEvacuations: update.HasEvacuations}
	changed = f.registry.Merge(now, u, update.Full, !behind) || changed
	changed = f.registry.Expire(now) || changed
	if changed {
		f.refresh(from)
	}
	if !behind && update.Age != unknownStaleness {
		f.markSynced(asOf)
		// A peer update beyond the revision at which history was lost lets the node
		// continue from there without a listing.
		f.listed = f.listed || update.Revision > f.historyLostAt
	}
	f.notifyUpdated()
	return nil
}

// addKnownState adds to a request what this node knows of the store and of link rates.
func (f *Follower) addKnownState(req *PeerRequest, state *sourceState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	req.Revision = f.registry.CompleteRevision()
	req.Link, req.LinksHash = f.ownLink(), f.links.hash
	if req.LinksHash != state.linksHash {
		req.Links = f.links.shared
	}
}

// decodeDocument returns the table that came with a peer update; nil if there is none.
func (f *Follower) decodeDocument(ctx context.Context, update PeerUpdate) (*Document, error) {
	if len(update.Patch) > 0 {
		return f.decodePatch(ctx, update)
	}
	if len(update.Document) == 0 {
		return nil, nil
	}
	raw, err := inflate(update.Document)
	if err != nil {
		return nil, err
	}
	return f.source.Decode(ctx, raw)
}

// decodePatch is decodeDocument for a patch. It returns nil if another source has
// replaced the base of the patch in the meantime.
func (f *Follower) decodePatch(ctx context.Context, update PeerUpdate) (*Document, error) {
	f.mu.Lock()
	base := f.document
	f.mu.Unlock()
	if base == nil || base.ID != update.Base {
		return nil, nil
	}
	raw, err := applyPatch(base, update.Patch, update.Table)
	if err != nil {
		return nil, err
	}
	return f.source.Decode(ctx, raw)
}
