package discovery

import (
	"maps"
	"slices"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// views is the state derived from the registry and the table for readers. It is updated
// incrementally for a change of single upstreams, and rebuilt for a change that affects
// all.
//
// A release, or a start of the whole fleet, changes every upstream within seconds, and
// each node sees all these changes. With a rebuild for each, the total cost would grow
// with the square of the fleet.
type views struct {
	layout *snapshot.IndexedTable
	groups map[string]*snapshot.Service
	roster *membership.Roster

	// What the views were built for.
	document      *Document
	services      map[string]bool
	coldStarts    map[string]ColdStart
	evacuations   uint64 // Registry.evacuationChanges
	upstreamCount int    // number of known upstreams
}

// rebuildDivisor is the fraction, as a divisor, by which the number of upstreams may
// change before a rebuild: the rate per node of cold upstreams depends on that number.
const rebuildDivisor = 8

// needsRebuild reports whether something has changed that affects all upstreams. The lock
// is held.
func (f *Follower) needsRebuild() bool {
	v, size := &f.views, len(f.registry.entries)
	switch {
	case v.roster == nil, v.evacuations != f.registry.evacuationChanges, !maps.Equal(v.services, f.services):
		return true
	case f.document != nil && !maps.Equal(v.coldStarts, f.document.ColdStarts):
		return true
	}
	return max(size, v.upstreamCount)-min(size, v.upstreamCount) > v.upstreamCount/rebuildDivisor
}

// refresh puts the changed state in force. from is SourceStore or the node that sent the
// change, empty if only time has passed. The lock is held.
func (f *Follower) refresh(from string) {
	before, touched := f.dir.Load(), f.registry.takeDirty()
	var change *directoryChange
	if f.needsRebuild() {
		change = f.fullChange(before)
		f.resetViews()
	} else {
		change = f.incrementalChange(before, touched)
	}
	dir := change.apply(before)
	f.logChanges(before, change, from)
	f.dir.Store(dir)
	f.updateGroups(before, change)
	f.updateRoster(dir, change)
	f.onChange(dir)
	if err := f.publishSnapshot(); err != nil && f.revertDocument(err) {
		f.refresh(from)
	}
}

// resetViews resets the views to empty ones for the current document and services. The
// lock is held.
func (f *Follower) resetViews() {
	f.views = views{
		layout:        f.views.layout,
		roster:        membership.NewRoster(f.cfg.NodesPerReader, nil),
		document:      f.views.document,
		services:      f.services,
		evacuations:   f.registry.evacuationChanges,
		upstreamCount: len(f.registry.entries),
		groups:        make(map[string]*snapshot.Service, len(f.services)),
	}
	for name := range f.services {
		f.views.groups[name] = snapshot.NewService(table.Service{Name: name})
	}
	if f.document != nil {
		f.views.coldStarts = f.document.ColdStarts
	}
}

// updateGroups applies a change to the upstreams of the services. Snapshots in force keep
// theirs. The lock is held.
func (f *Follower) updateGroups(before *Directory, c *directoryChange) {
	set, gone := make(map[string][]*snapshot.Upstream), make(map[string][]string)
	for id, m := range c.set {
		if old, ok := before.members.Get(id); ok && old.Service != m.Service {
			gone[old.Service] = append(gone[old.Service], id)
		}
		set[m.Service] = append(set[m.Service], &snapshot.Upstream{Upstream: table.Upstream{Name: id, Service: m.Service, Weight: 1, Concurrency: f.registry.entries[id].Slots}, DataCentre: m.DataCentre})
	}
	for _, id := range c.removed {
		old, _ := before.members.Get(id)
		gone[old.Service] = append(gone[old.Service], id)
	}
	next := maps.Clone(f.views.groups)
	for name, group := range next {
		if len(set[name])+len(gone[name]) > 0 {
			next[name] = group.WithChanges(set[name], gone[name])
		}
	}
	f.views.groups = next
}

// publishSnapshot puts a snapshot of the table and the current upstreams in force. The
// lock is held.
func (f *Follower) publishSnapshot() error {
	if f.document == nil {
		return nil
	}
	f.builds++
	if f.views.document != f.document {
		layout, err := snapshot.NewIndexedTable(f.document.Table, f.document.ID, f.document.Raw)
		if err != nil {
			return err
		}
		f.views.layout, f.views.document = layout, f.document
	}
	f.previousDocument = nil
	f.holder.Advance(f.views.layout.Snapshot(f.builds, f.views.groups))
	return nil
}

// updateRoster applies a change to the roster, from which the readers of the store are
// chosen. The lock is held.
func (f *Follower) updateRoster(dir *Directory, c *directoryChange) {
	if f.peers == nil {
		return
	}
	changed := false
	for _, id := range c.removed {
		changed = f.views.roster.Remove(id) || changed
		f.links.forget(id)
	}
	for id, m := range c.set {
		m.LinkMbps = f.links.rates[id]
		changed = f.views.roster.Set(m) || f.isChangedSource(m) || changed
	}
	own := f.ownLink()
	if own.Node != "" {
		changed = f.mergeLinkRates(dir, own) || changed
	}
	if changed || f.roleComputedFor == nil || *f.roleComputedFor != own.Node {
		f.chooseRole(dir)
	}
}

// isChangedSource reports whether a node is an update source whose data have changed. The
// lock is held.
func (f *Follower) isChangedSource(m membership.Member) bool {
	return slices.ContainsFunc(f.sources, func(in membership.Instance) bool { return in.Name == m.Name && in != m.Instance })
}

// mergeLinkRates applies received link rates and reports whether that changes the roster.
// The lock is held.
func (f *Follower) mergeLinkRates(dir *Directory, received ...NodeLink) bool {
	changed := false
	for _, link := range received {
		m, ok := dir.members.Get(link.Node)
		if !ok || !f.links.set(link) {
			continue
		}
		m.LinkMbps = link.Mbps
		changed = f.views.roster.Set(m) || changed
	}
	return changed
}

// chooseRole computes whether this node reads the store for others, and its update
// sources. The lock is held.
func (f *Follower) chooseRole(dir *Directory) {
	self := membership.Instance{DataCentre: f.cfg.DataCentre}
	if own, ok := dir.At(f.cfg.Self); ok {
		self.Name = own.ID
	}
	f.roleComputedFor = &self.Name
	roster := f.views.roster
	f.links.updateShared(roster.ReaderCandidates())
	reader := slices.Contains(roster.StoreReaders(), self.Name)
	f.sources = nil
	for _, name := range roster.UpdateSources(self) {
		m, _ := dir.members.Get(name)
		f.sources = append(f.sources, m.Instance)
	}
	reader = reader || len(f.sources) == 0
	if reader != f.reader {
		f.reader = reader
		f.log.Info("reader of the store", "reader", reader, "sources", instanceNames(f.sources))
	}
}

func instanceNames(ins []membership.Instance) []string {
	out := make([]string, len(ins))
	for i, in := range ins {
		out[i] = in.Name
	}
	return out
}

// maxUpstreamLines is the number of changed upstreams up to which each is logged
// separately. Beyond it one line sums them up, because every node logs them.
const maxUpstreamLines = 8

// logChanges logs upstreams whose known state has changed, with the staleness of the
// state that requests were routed by until then. The lock is held.
func (f *Follower) logChanges(before *Directory, c *directoryChange, from string) {
	logger := f.log.With("from", from, "news_age", f.stalenessText(clock.Now()), "revision", f.registry.Revision())
	for centre := range c.evacuated {
		if !before.evacuated[centre] {
			logger.Info("data centre evacuated", "data_centre", centre)
		}
	}
	for centre := range before.evacuated {
		if !c.evacuated[centre] {
			logger.Info("evacuation over", "data_centre", centre)
		}
	}
	lines := upstreamLines(before, c)
	if len(lines) > maxUpstreamLines {
		logger.Info("upstreams changed", "upstreams", len(lines), "gone", len(c.removed), "believed", before.members.Len())
		return
	}
	for _, l := range lines {
		logger.Info(l.message, l.fields...)
	}
}

// upstreamLine is a log line about an upstream.
type upstreamLine struct {
	message string
	fields  []any
}

// upstreamLines returns a line for each upstream whose known state has changed.
func upstreamLines(before *Directory, c *directoryChange) []upstreamLine {
	var lines []upstreamLine
	add := func(message, id, service string, more ...any) {
		lines = append(lines, upstreamLine{message, append([]any{"upstream", id, "service", service}, more...)})
	}
	for id, m := range c.set {
		old, ok := before.members.Get(id)
		switch {
		case !ok:
			add("upstream joined", id, m.Service, "status", m.Status, "peer", m.Peer)
		case old.Generation != m.Generation:
			add("upstream restarted", id, m.Service, "status", m.Status, "born", m.Generation, "before", old.Generation)
		case old.Status != m.Status:
			add("upstream changed", id, m.Service, "status", m.Status)
		}
	}
	for _, id := range c.removed {
		old, _ := before.members.Get(id)
		add("upstream gone", id, old.Service)
	}
	return lines
}

// servicesOf returns the services that a table names.
func servicesOf(t *table.Table) map[string]bool {
	out := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		out[s.Name] = true
	}
	return out
}
