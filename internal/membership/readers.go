package membership

import (
	"cmp"
	"slices"
)

// ReaderRank returns the place of self among the nodes of its data centre
// that may watch the platform, from 0.
func ReaderRank(self Instance, members []Member) int {
	var near []Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre && (m.Status == Alive || m.Name == self.Name) {
			m.Status = Alive
			near = append(near, m)
		}
	}
	return slices.Index(NewRoster(1, near).order(self.DataCentre), self.Name)
}

// Roster keeps the nodes alive in the order in which they are chosen as readers of the
// platform, by data centre. A node that comes or goes costs the search of its place; all
// who know the same nodes and links choose the same readers.
type Roster struct {
	perReader int // nodes of a data centre for each of its readers
	nodes     map[string]rosterNode
	centres   map[string][]rosterNode // by reader order
}

// rosterNode is a node with what its place goes by.
type rosterNode struct {
	name   string
	centre string
	link   uint32
	score  uint64
}

// before is the order in which nodes are chosen as readers: by the rate of their links, the
// greatest first, and those alike by their rendezvous score. A reader reads each version of
// the table whole and tells it to many, which fills a narrow link.
func (n rosterNode) before(o rosterNode) int {
	return cmp.Or(cmp.Compare(o.link, n.link), cmp.Compare(o.score, n.score), cmp.Compare(n.name, o.name))
}

// NewRoster returns a roster of members.
func NewRoster(perReader int, members []Member) *Roster {
	r := &Roster{perReader: perReader, nodes: make(map[string]rosterNode, len(members)), centres: make(map[string][]rosterNode)}
	for _, m := range members {
		r.Set(m)
	}
	return r
}

// Set takes over what is believed of a node, and reports whether that changes the roster.
// One that is not alive is no reader.
func (r *Roster) Set(m Member) bool {
	if m.Status != Alive {
		return r.Remove(m.Name)
	}
	old, ok := r.nodes[m.Name]
	if ok && old.centre == m.DataCentre && old.link == m.LinkMbps {
		return false
	}
	r.Remove(m.Name)
	n := rosterNode{name: m.Name, centre: m.DataCentre, link: m.LinkMbps, score: score("readers of "+m.DataCentre, m.Name)}
	at, _ := slices.BinarySearchFunc(r.centres[n.centre], n, rosterNode.before)
	r.centres[n.centre] = slices.Insert(r.centres[n.centre], at, n)
	r.nodes[n.name] = n
	return true
}

// Remove takes a node out, and reports whether it was there.
func (r *Roster) Remove(name string) bool {
	n, ok := r.nodes[name]
	if !ok {
		return false
	}
	delete(r.nodes, name)
	all := r.centres[n.centre]
	at, _ := slices.BinarySearchFunc(all, n, rosterNode.before)
	if r.centres[n.centre] = slices.Delete(all, at, at+1); len(all) == 1 {
		delete(r.centres, n.centre)
	}
	return true
}

// Len returns the number of nodes alive.
func (r *Roster) Len() int { return len(r.nodes) }

// first returns the names of the first n nodes of a data centre.
func (r *Roster) first(centre string, n int) []string {
	all := r.centres[centre]
	names := make([]string, min(n, len(all)))
	for i := range names {
		names[i] = all[i].name
	}
	return names
}

func (r *Roster) order(centre string) []string { return r.first(centre, len(r.centres[centre])) }

// readersOf is the number of readers of a data centre.
func (r *Roster) readersOf(centre string) int {
	return (len(r.centres[centre]) + r.perReader - 1) / r.perReader
}

// Readers returns the nodes of a data centre that read the platform: one for
// every perReader nodes alive, and at least one if there are any.
func (r *Roster) Readers(centre string) []string { return r.first(centre, r.readersOf(centre)) }

// ReaderCandidates returns, of each data centre, its readers and as many again and two
// more, who take their place: all nodes that know these and their links choose the same.
func (r *Roster) ReaderCandidates() []string {
	var out []string
	for centre := range r.centres {
		out = append(out, r.first(centre, 2*r.readersOf(centre)+2)...)
	}
	slices.Sort(out)
	return out
}

// storeReaders is the number of nodes that read the platform for all others: any
// two of them may be lost at once and nobody else has to call it.
const storeReaders = 3

// StoreReaders returns the nodes that read the platform: of the first reader of
// each data centre a few. The other readers follow them and pass on what they hear,
// so that calls of the platform do not grow with the data centres.
func (r *Roster) StoreReaders() []string {
	first := make([]rosterNode, 0, len(r.centres))
	for _, nodes := range r.centres {
		n := nodes[0]
		n.score = score("readers for all", n.name)
		first = append(first, n)
	}
	slices.SortFunc(first, rosterNode.before)
	names := make([]string, min(storeReaders, len(first)))
	for i := range names {
		names[i] = first[i].name
	}
	return names
}

// relaySources returns the store readers that a reader of its data centre follows;
// false if self is none.
func (r *Roster) relaySources(self Instance) ([]string, bool) {
	if !slices.Contains(r.Readers(self.DataCentre), self.Name) {
		return nil, false
	}
	others := slices.DeleteFunc(r.StoreReaders(), func(name string) bool { return name == self.Name })
	others = rank(self.Name, others)
	return others[:min(MaxUpdateSources, len(others))], true
}

// UpdateSources returns two readers for a node to follow: one of its own data
// centre and one of another, so that no single machine or data centre can keep
// it from news. Where there is only one data centre, both are of that one.
// Names in place of instances are enough, as each stands for one instance.
func (r *Roster) UpdateSources(self Instance) []string {
	if sources, relay := r.relaySources(self); relay && len(sources) > 0 {
		return sources
	}
	var near, far []string
	for centre := range r.centres {
		readers := slices.DeleteFunc(r.Readers(centre), func(name string) bool { return name == self.Name })
		if centre == self.DataCentre {
			near = append(near, readers...)
		} else {
			far = append(far, readers...)
		}
	}
	near, far = rank(self.Name, near), rank(self.Name, far)
	sources := slices.Concat(near[:min(1, len(near))], far[:min(1, len(far))])
	rest := slices.Concat(near[min(1, len(near)):], far[min(1, len(far)):])
	return append(sources, rest[:min(max(MaxUpdateSources-len(sources), 0), len(rest))]...)
}

// MaxUpdateSources is the number of readers that a node follows: with two, one may
// be cut off without a word and changes still come at once.
const MaxUpdateSources = 2
