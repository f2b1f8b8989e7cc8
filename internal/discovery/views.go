package discovery

import (
	"maps"
	"slices"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// views are what is built from belief and table for others to read. A change of an upstream
// costs what it touches; what concerns them all builds them from nothing.
//
// The load pattern: a release, or a start of all, changes each of a fleet's upstreams within
// seconds, at every node. Built from nothing each time, the sum grew with the square of the
// fleet.
type views struct {
	layout *snapshot.Layout
	groups map[string]*snapshot.Service
	roster *membership.Roster

	// What they were built for.
	document    *Document
	services    map[string]bool
	starts      map[string]ColdStart
	evacuations uint64 // Registry.evacuationChanges
	size        int    // number of upstreams
}

// resizeShare is the part by which the number of upstreams may change, as a divisor, until
// all are built anew: the shares of cold upstreams go by it.
const resizeShare = 8

// outdated reports whether something has changed that concerns all upstreams. The lock is
// held.
func (f *Follower) outdated() bool {
	v, size := &f.views, len(f.registry.known)
	switch {
	case v.roster == nil, v.evacuations != f.registry.evacuationChanges, !maps.Equal(v.services, f.services):
		return true
	case f.document != nil && !maps.Equal(v.starts, f.document.ColdStarts):
		return true
	}
	return max(size, v.size)-min(size, v.size) > v.size/resizeShare
}

// changed puts a changed belief in force. from is SourceStore or the node that
// told of the change, empty if only time has passed. The lock is held.
func (f *Follower) changed(from string) {
	before, touched := f.dir.Load(), f.registry.takeTouched()
	var change *directoryChange
	if f.outdated() {
		change = f.everything(before)
		f.renew()
	} else {
		change = f.differences(before, touched)
	}
	dir := change.apply(before)
	f.logChanges(before, change, from)
	f.dir.Store(dir)
	f.regroup(before, change)
	f.enroll(dir, change)
	f.onChange(dir)
	if err := f.publish(); err != nil && f.refuse(err) {
		f.changed(from)
	}
}

// renew empties the views for what is in force now. The lock is held.
func (f *Follower) renew() {
	f.views = views{
		layout:      f.views.layout,
		roster:      membership.NewRoster(f.cfg.NodesPerReader, nil),
		document:    f.views.document,
		services:    f.services,
		evacuations: f.registry.evacuationChanges,
		size:        len(f.registry.known),
		groups:      make(map[string]*snapshot.Service, len(f.services)),
	}
	for name := range f.services {
		f.views.groups[name] = snapshot.NewService(table.Service{Name: name})
	}
	if f.document != nil {
		f.views.starts = f.document.ColdStarts
	}
}

// regroup takes a change over into the upstreams of the services. Snapshots that are in
// force keep theirs. The lock is held.
func (f *Follower) regroup(before *Directory, c *directoryChange) {
	set, gone := make(map[string][]*snapshot.Upstream), make(map[string][]string)
	for id, m := range c.set {
		if old, ok := before.members.Get(id); ok && old.Service != m.Service {
			gone[old.Service] = append(gone[old.Service], id)
		}
		set[m.Service] = append(set[m.Service], &snapshot.Upstream{Upstream: table.Upstream{Name: id, Service: m.Service, Weight: 1, Concurrency: f.registry.known[id].Slots}, DataCentre: m.DataCentre})
	}
	for _, id := range c.gone {
		old, _ := before.members.Get(id)
		gone[old.Service] = append(gone[old.Service], id)
	}
	next := maps.Clone(f.views.groups)
	for name, group := range next {
		if len(set[name])+len(gone[name]) > 0 {
			next[name] = group.Change(set[name], gone[name])
		}
	}
	f.views.groups = next
}

// publish puts a snapshot of the table with the upstreams as they are in force. The lock is
// held.
func (f *Follower) publish() error {
	if f.document == nil {
		return nil
	}
	f.builds++
	if f.views.document != f.document {
		layout, err := snapshot.NewLayout(f.document.Table, f.document.ID, f.document.Raw)
		if err != nil {
			return err
		}
		f.views.layout, f.views.document = layout, f.document
	}
	f.before = nil
	f.holder.Advance(f.views.layout.Snapshot(f.builds, f.views.groups))
	return nil
}

// enroll takes a change over into the roster, from which the readers of the store are
// chosen. The lock is held.
func (f *Follower) enroll(dir *Directory, c *directoryChange) {
	if f.peers == nil {
		return
	}
	changed := false
	for _, id := range c.gone {
		changed = f.views.roster.Remove(id) || changed
		f.links.forget(id)
	}
	for id, m := range c.set {
		m.LinkMbps = f.links.rates[id]
		changed = f.views.roster.Set(m) || f.follows(m) || changed
	}
	own := f.ownLink()
	if own.Node != "" {
		changed = f.hearRates(dir, own) || changed
	}
	if changed || f.roleOf == nil || *f.roleOf != own.Node {
		f.chooseRole(dir)
	}
}

// follows reports whether a node is a source that is not known as it is now. The lock is
// held.
func (f *Follower) follows(m membership.Member) bool {
	return slices.ContainsFunc(f.sources, func(in membership.Instance) bool { return in.Name == m.Name && in != m.Instance })
}

// hearRates takes over what nodes told of their links, and reports whether that changes the
// roster. The lock is held.
func (f *Follower) hearRates(dir *Directory, heard ...NodeLink) bool {
	changed := false
	for _, h := range heard {
		m, ok := dir.members.Get(h.Node)
		if !ok || !f.links.hear(h) {
			continue
		}
		m.LinkMbps = h.Mbps
		changed = f.views.roster.Set(m) || changed
	}
	return changed
}

// chooseRole computes whether this node reads the store for others, and whose
// news it follows. The lock is held.
func (f *Follower) chooseRole(dir *Directory) {
	self := membership.Instance{DataCentre: f.cfg.DataCentre}
	if own, ok := dir.At(f.cfg.Self); ok {
		self.Name = own.ID
	}
	f.roleOf = &self.Name
	roster := f.views.roster
	f.links.tell(roster.ReaderCandidates())
	reader := slices.Contains(roster.StoreReaders(), self.Name)
	f.sources = nil
	for _, name := range roster.UpdateSources(self) {
		m, _ := dir.members.Get(name)
		f.sources = append(f.sources, m.Instance)
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

// singleLines is the number of upstreams up to which each that changes has a line. A wave
// has one for all, as each node writes them.
const singleLines = 8

// logChanges writes lines for upstreams that are believed otherwise than before, with the
// age of the news that requests were decided by until then. The lock is held.
func (f *Follower) logChanges(before *Directory, c *directoryChange, from string) {
	heard := f.log.With("from", from, "news_age", f.newsAge(clock.Now()), "revision", f.registry.Revision())
	for centre := range c.evacuated {
		if !before.evacuated[centre] {
			heard.Info("data centre evacuated", "data_centre", centre)
		}
	}
	for centre := range before.evacuated {
		if !c.evacuated[centre] {
			heard.Info("evacuation over", "data_centre", centre)
		}
	}
	lines := upstreamLines(before, c)
	if len(lines) > singleLines {
		heard.Info("upstreams changed", "upstreams", len(lines), "gone", len(c.gone), "believed", before.members.Len())
		return
	}
	for _, l := range lines {
		heard.Info(l.text, l.fields...)
	}
}

// upstreamLine is what a line says of an upstream.
type upstreamLine struct {
	text   string
	fields []any
}

// upstreamLines returns a line for each upstream that is believed otherwise.
func upstreamLines(before *Directory, c *directoryChange) []upstreamLine {
	var lines []upstreamLine
	add := func(text, id, service string, more ...any) {
		lines = append(lines, upstreamLine{text, append([]any{"upstream", id, "service", service}, more...)})
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
	for _, id := range c.gone {
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
