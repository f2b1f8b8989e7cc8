package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Overlay sizes. They must be equal on all nodes, or the nodes compute different graphs.
const (
	// chordsPerNode is the number of links that a node opens inside its data centre in
	// addition to the link to its ring successor.
	chordsPerNode = 2
	// linksPerPair is the number of links between two data centres of a
	// region, and between two regions.
	linksPerPair = 2
	// candidatesPerLink bounds the peers tried for one link to another data centre.
	candidatesPerLink = 6
)

// DesiredLink is one link that a node should hold, to the first reachable candidate. A
// link inside the data centre has one candidate.
type DesiredLink struct {
	Candidates []string
	Local      bool // the link stays inside the data centre
}

// rendezvousScore returns the rendezvous (highest random weight) hash of two names.
func rendezvousScore(a, b string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(a)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(b)
	return h.Sum64()
}

// rankByScore returns names sorted by their rendezvous score for key, highest first.
func rankByScore(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{n, rendezvousScore(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// topology groups the members that are not gone by region and data centre.
type topology struct {
	centres map[string][]string // data centre to names
	regions map[string][]string // region to data centres, sorted
}

func newTopology(members []Member) topology {
	t := topology{centres: make(map[string][]string), regions: make(map[string][]string)}
	for _, m := range members {
		if m.Status == Gone {
			continue
		}
		if len(t.centres[m.DataCentre]) == 0 {
			t.regions[m.Region] = append(t.regions[m.Region], m.DataCentre)
		}
		t.centres[m.DataCentre] = append(t.centres[m.DataCentre], m.Name)
	}
	for _, dcs := range t.regions {
		slices.Sort(dcs)
	}
	return t
}

// Overlay computes the links that self should open. All nodes compute the same graph from
// the same members: a ring with a few chords inside each data centre, linksPerPair links
// between each two data centres of a region, and linksPerPair links between each two
// regions. A member that joins or leaves changes few links other than its own.
func Overlay(self Instance, members []Member) []DesiredLink {
	t := newTopology(members)
	links := localLinks(self, t.centres[self.DataCentre])
	for _, dc := range t.regions[self.Region] {
		if dc != self.DataCentre {
			links = append(links, groupLinks(self.Name, self.DataCentre, dc, t.centres[self.DataCentre], t.centres[dc])...)
		}
	}
	ownRegion := t.members(self.Region)
	for _, region := range slices.Sorted(maps.Keys(t.regions)) {
		if region != self.Region {
			links = append(links, groupLinks(self.Name, self.Region, region, ownRegion, t.members(region))...)
		}
	}
	return links
}

// members returns the names of all nodes of a region.
func (t topology) members(region string) []string {
	var out []string
	for _, dc := range t.regions[region] {
		out = append(out, t.centres[dc]...)
	}
	return out
}

func localLinks(self Instance, names []string) []DesiredLink {
	ring := rankByScore(self.DataCentre, names)
	at := slices.Index(ring, self.Name)
	if at < 0 || len(ring) < 2 {
		return nil
	}
	next := ring[(at+1)%len(ring)]
	links := []DesiredLink{{Candidates: []string{next}, Local: true}}
	for _, n := range rankByScore(self.Name, names) {
		if len(links) > chordsPerNode {
			break
		}
		if n != self.Name && n != next {
			links = append(links, DesiredLink{Candidates: []string{n}, Local: true})
		}
	}
	return links
}

// groupLinks returns self's links between the groups a and b, which are data centres or
// regions. The group with the smaller name dials, so that each link is opened once.
func groupLinks(self, a, b string, inA, inB []string) []DesiredLink {
	if a > b {
		return nil
	}
	key := a + "|" + b
	mine := rankByScore(key, inA)
	at := slices.Index(mine[:min(linksPerPair, len(mine))], self)
	if at < 0 {
		return nil
	}
	theirs := rankByScore(key, inB)
	// Each link starts at a different peer of the other group; the next peers in rank
	// are its substitutes.
	start := at % len(theirs)
	candidates := append(slices.Clone(theirs[start:]), theirs[:start]...)
	return []DesiredLink{{Candidates: candidates[:min(candidatesPerLink, len(candidates))]}}
}
