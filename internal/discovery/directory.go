package discovery

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// Directory is one immutable state of the discovered upstreams.
type Directory struct {
	members   map[string]membership.Member
	byAddress map[netip.AddrPort]Known
	evacuated map[string]bool // data centres whose upstreams get nothing
}

// At returns the upstream published at an address.
func (d *Directory) At(a netip.AddrPort) (Known, bool) {
	k, ok := d.byAddress[a]
	return k, ok
}

// Evacuated reports whether the upstreams of a data centre are to get nothing.
func (d *Directory) Evacuated(centre string) bool { return d.evacuated[centre] }

// directoryOf returns the directory of what is believed. The lock is held.
func (f *Follower) directoryOf(known []Known) *Directory {
	dir := &Directory{
		members:   make(map[string]membership.Member, len(known)),
		byAddress: make(map[netip.AddrPort]Known, len(known)),
		evacuated: make(map[string]bool),
	}
	for _, e := range f.registry.Evacuated() {
		dir.evacuated[e.DataCentre] = true
	}
	for _, k := range known {
		k = f.mayBeCold(k)
		dir.byAddress[k.Address] = k
		if f.services == nil || f.services[k.Service] {
			m := f.member(k)
			m.ColdRate = f.coldShare(k.Service, len(known))
			m.Evacuated = dir.evacuated[k.DataCentre]
			dir.members[k.ID] = m
		}
	}
	return dir
}

// changed puts a changed belief in force. from is SourceStore or the node that
// told of the change, empty if only time has passed. The lock is held.
func (f *Follower) changed(from string) {
	known := f.registry.UpstreamsOf(f.services)
	dir := f.directoryOf(known)
	f.logChanges(f.dir.Load(), dir, from)
	f.dir.Store(dir)
	f.chooseRole(dir)
	f.onChange(dir)
	if f.document == nil {
		return
	}
	f.builds++
	snap, err := snapshotOf(f.document, f.services, known)
	if err != nil {
		if f.refuse(err) {
			f.changed(from)
		}
		return
	}
	f.before = nil
	snap.Directory = f.builds
	f.holder.Advance(snap)
}

// chooseRole computes whether this node reads the store for others, and whose
// news it follows.
func (f *Follower) chooseRole(dir *Directory) {
	if f.peers == nil {
		return
	}
	self := membership.Instance{DataCentre: f.cfg.DataCentre}
	if own, ok := dir.At(f.cfg.Self); ok {
		self.Name = own.ID
		f.links.hear(dir.members, []NodeLink{f.ownLink()})
	}
	f.links.prune(dir.members)
	members := slices.Collect(maps.Values(dir.members))
	for i := range members {
		members[i].Link = f.links.rates[members[i].Name]
	}
	f.links.tell(membership.ReaderCandidates(members, f.cfg.NodesPerReader))
	reader := slices.Contains(membership.StoreReaders(members), self.Name)
	f.sources = nil
	for _, name := range membership.NewsSources(self, members, f.cfg.NodesPerReader) {
		f.sources = append(f.sources, dir.members[name].Instance)
	}
	reader = reader || len(f.sources) == 0
	if reader != f.reader {
		f.reader = reader
		f.log.Info("reader of the store", "reader", reader, "sources", names(f.sources))
	}
}

func names(ins []membership.Instance) []string {
	out := make([]string, len(ins))
	for i, in := range ins {
		out[i] = in.Name
	}
	return out
}

// logChanges writes a line for each upstream that is believed otherwise than
// before, with the age of the news that requests were decided by until then.
func (f *Follower) logChanges(before, after *Directory, from string) {
	heard := f.log.With("from", from, "news_age", f.newsAge(clock.Now()), "revision", f.registry.Revision())
	for id, m := range after.members {
		old, ok := before.members[id]
		switch {
		case !ok:
			heard.Info("upstream joined", "upstream", id, "service", m.Service, "status", m.Status, "peer", m.Peer)
		case old.Generation != m.Generation:
			heard.Info("upstream restarted", "upstream", id, "service", m.Service, "status", m.Status, "born", m.Generation, "before", old.Generation)
		case old.Status != m.Status:
			heard.Info("upstream changed", "upstream", id, "service", m.Service, "status", m.Status)
		}
	}
	for centre := range after.evacuated {
		if !before.evacuated[centre] {
			heard.Info("data centre evacuated", "data_centre", centre)
		}
	}
	for centre := range before.evacuated {
		if !after.evacuated[centre] {
			heard.Info("evacuation over", "data_centre", centre)
		}
	}
	for id, m := range before.members {
		if _, ok := after.members[id]; !ok {
			heard.Info("upstream gone", "upstream", id, "service", m.Service)
		}
	}
}

func (f *Follower) member(k Known) membership.Member {
	m := membership.Member{Instance: membership.Instance{
		Name:       k.ID,
		Service:    k.Service,
		DataCentre: k.DataCentre,
		Peer:       netip.AddrPortFrom(k.Address.Addr(), f.cfg.PeerPort),
		State:      membership.Live,
		Generation: k.Born,
	}}
	m.ColdFrom, m.ColdUntil = k.ColdFrom, k.ColdUntil
	if k.Cold > 0 {
		m.ColdSince = k.Seen
	}
	if k.Leaving {
		m.State, m.Status = membership.Leaving, membership.Departing
	}
	return m
}

// snapshotOf builds the snapshot of a table with the upstreams of its services, all
// with the same weight.
func snapshotOf(d *Document, services map[string]bool, known []Known) (*snapshot.Snapshot, error) {
	t := *d.Table
	t.Upstreams = make([]table.Upstream, 0, len(known))
	for _, k := range known {
		if services[k.Service] {
			t.Upstreams = append(t.Upstreams, table.Upstream{Name: k.ID, Service: k.Service, Weight: 1, Concurrency: k.Slots})
		}
	}
	return snapshot.FromTable(&t, d.ID, d.Raw)
}

// servicesOf returns the services that a table names.
func servicesOf(t *table.Table) map[string]bool {
	out := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		out[s.Name] = true
	}
	return out
}
