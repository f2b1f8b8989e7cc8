package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/version"
)

// peerLink is what one slot knows of the node that it follows.
type peerLink struct {
	source    membership.Instance
	cursor    Cursor
	wantTable bool
	// wantWhole asks for a whole table, as a difference could not be taken.
	wantWhole bool
	failing   bool
	linksHash uint64 // News.LinksHash of the last news
}

// followPeers asks one source after another for its news, until ctx ends.
func (f *Follower) followPeers(ctx context.Context, slot int) {
	var link peerLink
	for ctx.Err() == nil {
		source, ok := f.sourceAt(slot)
		if !ok {
			wait(ctx, rolePoll)
			continue
		}
		if source.Peer != link.source.Peer {
			link = peerLink{source: source}
			if slot > 0 && !f.sure() {
				// The first source tells all; this one then tells what came after it.
				wait(ctx, f.cfg.SecondSourceDelay)
			}
		}
		asked := clock.Now()
		announced, err := f.askOnce(ctx, slot, &link)
		if err != nil {
			f.peerFailed(ctx, &link, clock.Since(asked), err)
			wait(ctx, f.cfg.PeerRetryDelay+rand.N(f.cfg.PeerRetryDelay+1))
			continue
		}
		if announced.Newer(f.holds()) && !link.wantTable {
			// The first source sends the table; this one does if that fails.
			wait(ctx, f.cfg.SecondSourceDelay)
		}
		link.wantTable = announced.Newer(f.holds())
	}
}

// sure reports whether this node knows all that the store held at some time.
func (f *Follower) sure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.CompleteRevision() > 0
}

// sourceAt returns the node that a slot follows now; none for a reader that
// hears the store in time. A node that has to list all anew goes on by news: a
// listing took 23 s behind a full link, in which it heard of nothing.
func (f *Follower) sourceAt(slot int) (membership.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inTime := f.awaySince.IsZero() && clock.Since(f.current) < f.cfg.PeerMaxStaleness
	if slot >= len(f.sources) || f.reader && inTime {
		return membership.Instance{}, false
	}
	return f.sources[slot], true
}

// askOnce asks for news and takes them over. It returns the version of the table
// that the source holds.
func (f *Follower) askOnce(ctx context.Context, slot int, link *peerLink) (version.ID, error) {
	call, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	sent := clock.Now()
	ask := PeerRequest{After: link.cursor, Table: f.holds(), IncludeTable: slot == 0 || link.wantTable, Age: f.knownAge(sent), AcceptPatch: !link.wantWhole}
	f.tellKnown(&ask, link)
	n, err := f.peers.Ask(call, link.source.Peer, ask)
	if err != nil {
		return version.ID{}, err
	}
	if link.failing {
		link.failing = false
		f.log.Info("news regained", "source", link.source.Name, "age", n.Age)
	}
	if err := f.takeNews(ctx, sent.Add(n.HoldTime-n.Age), link.source.Name, n); err != nil {
		if len(n.Patch) > 0 {
			link.wantWhole = true
			f.log.Warn("difference of tables not taken, asking for the whole", "source", link.source.Name, "base", n.Base, "version", n.Table, "err", err)
		}
		return version.ID{}, err
	}
	link.cursor, link.wantWhole, link.linksHash = n.Cursor, false, n.LinksHash
	return n.Table, nil
}

func (f *Follower) peerFailed(ctx context.Context, link *peerLink, took time.Duration, err error) {
	if link.failing || ctx.Err() != nil {
		return
	}
	link.failing = true
	f.log.Warn("news lost", "source", link.source.Name, "took", took, "err", err)
}

// holds returns the version of the table in force.
func (f *Follower) holds() version.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdsLocked()
}

func (f *Follower) holdsLocked() version.ID {
	if f.document == nil {
		return version.ID{}
	}
	return f.document.ID
}

// takeNews takes over what another node believes and knew to be all at a time.
// Where that node holds a newer table than this one does then, this one is not
// current.
func (f *Follower) takeNews(ctx context.Context, at time.Time, from string, n PeerUpdate) error {
	now := clock.Now()
	doc, err := f.restore(ctx, n)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearLinks(n.Links...)
	changed := f.takeDocument(doc, from)
	behind := n.Table.Newer(f.holdsLocked())
	if n.Outage {
		f.noteOutage(now, now) // others did not reach the store either
	}
	u := Update{Revision: n.Revision, Upstreams: n.Upstreams, Removed: n.Removed, Evacuations: n.Evacuations, HasEvacuations: n.HasEvacuations}
	changed = f.registry.Merge(now, u, n.Full, !behind) || changed
	changed = f.registry.Expire(now) || changed
	if changed {
		f.changed(from)
	}
	if !behind && n.Age != unknownAge {
		f.know(at)
		// Whoever knows a later state than the one from which the changes are
		// dropped goes on from there.
		f.listed = f.listed || n.Revision > f.dropped
	}
	f.announce()
	return nil
}

// tellKnown adds to a question what this node knows of the store and of links.
func (f *Follower) tellKnown(ask *PeerRequest, link *peerLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ask.Revision = f.registry.CompleteRevision()
	ask.Link, ask.LinksHash = f.ownLink(), f.links.hash
	if ask.LinksHash != link.linksHash {
		ask.Links = f.links.told
	}
}

// restore returns the table that came with news; nil if none did.
func (f *Follower) restore(ctx context.Context, n PeerUpdate) (*Document, error) {
	if len(n.Patch) > 0 {
		return f.restorePatch(ctx, n)
	}
	if len(n.Document) == 0 {
		return nil, nil
	}
	raw, err := inflate(n.Document)
	if err != nil {
		return nil, err
	}
	return f.source.Decode(ctx, raw)
}

// restorePatch is restore for a difference. Where another source has brought a newer
// table meanwhile, there is nothing to restore.
func (f *Follower) restorePatch(ctx context.Context, n PeerUpdate) (*Document, error) {
	f.mu.Lock()
	base := f.document
	f.mu.Unlock()
	if base == nil || base.ID != n.Base {
		return nil, nil
	}
	raw, err := applyPatch(base, n.Patch, n.Table)
	if err != nil {
		return nil, err
	}
	return f.source.Decode(ctx, raw)
}
