package membership

import (
	"cmp"
	"slices"
)

// ReaderRank returns the rank of self, from 0, among the nodes of its data centre in the
// order in which they are chosen as readers of the platform.
func ReaderRank(self Instance, members []Member) int {
	var sameCentre []Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre && (m.Status == Alive || m.Name == self.Name) {
			m.Status = Alive
			sameCentre = append(sameCentre, m)
		}
	}
	return slices.Index(NewRoster(1, sameCentre).ranked(self.DataCentre), self.Name)
}

// Roster holds the alive nodes of each data centre in the order in which they are chosen
// as readers of the platform. Adding or removing a node costs one binary search. All
// nodes that know the same members and link rates choose the same readers.
type Roster struct {
	nodesPerReader int // nodes of a data centre per reader
	byName         map[string]rosterNode
	byCentre       map[string][]rosterNode // by data centre, sorted by rosterNode.compare
}

// rosterNode is a node with its sort keys.
type rosterNode struct {
	name   string
	centre string
	link   uint32 // Mbit/s
	score  uint64
}

// compare orders nodes as readers: by link rate, highest first, then by rendezvous score.
// A reader downloads each table version in full and sends it to many peers, which would
// saturate a slow link.
func (n rosterNode) compare(o rosterNode) int {
	return cmp.Or(cmp.Compare(o.link, n.link), cmp.Compare(o.score, n.score), cmp.Compare(n.name, o.name))
}

// NewRoster returns a roster of the alive members, with one reader for each perReader
// nodes of a data centre.
func NewRoster(perReader int, members []Member) *Roster {
	r := &Roster{nodesPerReader: perReader, byName: make(map[string]rosterNode, len(members)), byCentre: make(map[string][]rosterNode)}
	for _, m := range members {
		r.Set(m)
	}
	return r
}

// Set adds or updates a node, or removes it if it is not alive, as only alive nodes can
// be readers. It reports whether the roster changed.
func (r *Roster) Set(m Member) bool {
	if m.Status != Alive {
		return r.Remove(m.Name)
	}
	old, ok := r.byName[m.Name]
	if ok && old.centre == m.DataCentre && old.link == m.LinkMbps {
		return false
	}
	r.Remove(m.Name)
	n := rosterNode{name: m.Name, centre: m.DataCentre, link: m.LinkMbps, score: rendezvousScore("readers of "+m.DataCentre, m.Name)}
	at, _ := slices.BinarySearchFunc(r.byCentre[n.centre], n, rosterNode.compare)
	r.byCentre[n.centre] = slices.Insert(r.byCentre[n.centre], at, n)
	r.byName[n.name] = n
	return true
}

// Remove removes a node and reports whether the roster contained it.
func (r *Roster) Remove(name string) bool {
	n, ok := r.byName[name]
	if !ok {
		return false
	}
	delete(r.byName, name)
	all := r.byCentre[n.centre]
	at, _ := slices.BinarySearchFunc(all, n, rosterNode.compare)
	if r.byCentre[n.centre] = slices.Delete(all, at, at+1); len(all) == 1 {
		delete(r.byCentre, n.centre)
	}
	return true
}

// Len returns the number of alive nodes.
func (r *Roster) Len() int { return len(r.byName) }

// topRanked returns the names of the n highest-ranked nodes of a data centre.
func (r *Roster) topRanked(centre string, n int) []string {
	all := r.byCentre[centre]
	names := make([]string, min(n, len(all)))
	for i := range names {
		names[i] = all[i].name
	}
	return names
}

func (r *Roster) ranked(centre string) []string { return r.topRanked(centre, len(r.byCentre[centre])) }

// readerCount returns the number of readers of a data centre.
func (r *Roster) readerCount(centre string) int {
	return (len(r.byCentre[centre]) + r.nodesPerReader - 1) / r.nodesPerReader
}

// Readers returns the readers of a data centre: one for each nodesPerReader alive nodes,
// rounded up.
func (r *Roster) Readers(centre string) []string { return r.topRanked(centre, r.readerCount(centre)) }

// ReaderCandidates returns the readers of all data centres and the nodes that replace
// them next: for n readers of a data centre its n+2 next-ranked nodes. Nodes that know
// these candidates and their link rates choose the same readers.
func (r *Roster) ReaderCandidates() []string {
	var out []string
	for centre := range r.byCentre {
		out = append(out, r.topRanked(centre, 2*r.readerCount(centre)+2)...)
	}
	slices.Sort(out)
	return out
}

// storeReaderCount is the number of nodes that read the platform for the whole fleet: two
// of them can fail at once without another node having to call the platform.
const storeReaderCount = 3

// StoreReaders returns the nodes that read the platform itself: storeReaderCount of the
// nodes that are ranked first in their data centres. The other readers follow them and
// relay their updates, so that the load on the platform does not grow with the number of
// data centres.
func (r *Roster) StoreReaders() []string {
	first := make([]rosterNode, 0, len(r.byCentre))
	for _, nodes := range r.byCentre {
		n := nodes[0]
		n.score = rendezvousScore("readers for all", n.name)
		first = append(first, n)
	}
	slices.SortFunc(first, rosterNode.compare)
	names := make([]string, min(storeReaderCount, len(first)))
	for i := range names {
		names[i] = first[i].name
	}
	return names
}

// relaySources returns the store readers that self follows if it is a reader of its data
// centre, and false if it is not.
func (r *Roster) relaySources(self Instance) ([]string, bool) {
	if !slices.Contains(r.Readers(self.DataCentre), self.Name) {
		return nil, false
	}
	others := slices.DeleteFunc(r.StoreReaders(), func(name string) bool { return name == self.Name })
	others = rankByScore(self.Name, others)
	return others[:min(MaxUpdateSources, len(others))], true
}

// UpdateSources returns the names of the readers that a node follows: one in its own data
// centre and one in another, so that no failure of one machine or data centre cuts it off
// from updates. With a single data centre both are in that one. Names are sufficient, as
// each names one instance.
func (r *Roster) UpdateSources(self Instance) []string {
	if sources, relay := r.relaySources(self); relay && len(sources) > 0 {
		return sources
	}
	var near, far []string
	for centre := range r.byCentre {
		readers := slices.DeleteFunc(r.Readers(centre), func(name string) bool { return name == self.Name })
		if centre == self.DataCentre {
			near = append(near, readers...)
		} else {
			far = append(far, readers...)
		}
	}
	near, far = rankByScore(self.Name, near), rankByScore(self.Name, far)
	sources := slices.Concat(near[:min(1, len(near))], far[:min(1, len(far))])
	rest := slices.Concat(near[min(1, len(near)):], far[min(1, len(far)):])
	return append(sources, rest[:min(max(MaxUpdateSources-len(sources), 0), len(rest))]...)
}

// MaxUpdateSources is the number of readers that a node follows. With two, changes still
// arrive at once while one of them is partitioned without closing its connections.
const MaxUpdateSources = 2
