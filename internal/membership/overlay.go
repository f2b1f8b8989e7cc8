package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Overlay sizes. The same on every node, or the computed links disagree.
const (
	// chordsPerNode is the number of links a node opens inside its data
	// centre besides the one to its ring successor.
	chordsPerNode = 2
	// linksPerPair is the number of links between two data centres of a
	// region, and between two regions.
	linksPerPair = 2
	// candidatesPerSlot bounds the substitutes tried for a link to another
	// data centre.
	candidatesPerSlot = 6
)

// DesiredLink is one link that a node should hold: to the first of the candidates
// that can be reached. Same-centre slots have one candidate.
type DesiredLink struct {
	Candidates []string
	Local      bool // inside the data centre
}

// score is the rendezvous hash of two names.
func score(a, b string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(a)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(b)
	return h.Sum64()
}

// rank sorts names by their rendezvous score for key, highest first.
func rank(key string, names []string) []string {
	type scored struct {
		name string
		at   uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{n, score(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// topology groups the usable members by region and data centre.
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

// Overlay computes the links that self should open. Every node computes the
// same graph from the same members: a ring and a few chords inside each data
// centre, linksPerPair links between the data centres of a region and between
// regions. One member's coming or going changes only the links at it.
func Overlay(self Instance, members []Member) []DesiredLink {
	t := newTopology(members)
	slots := localSlots(self, t.centres[self.DataCentre])
	for _, dc := range t.regions[self.Region] {
		if dc != self.DataCentre {
			slots = append(slots, pairSlots(self.Name, self.DataCentre, dc, t.centres[self.DataCentre], t.centres[dc])...)
		}
	}
	home := t.members(self.Region)
	for _, region := range slices.Sorted(maps.Keys(t.regions)) {
		if region != self.Region {
			slots = append(slots, pairSlots(self.Name, self.Region, region, home, t.members(region))...)
		}
	}
	return slots
}

// members returns the names of all nodes of a region.
func (t topology) members(region string) []string {
	var out []string
	for _, dc := range t.regions[region] {
		out = append(out, t.centres[dc]...)
	}
	return out
}

func localSlots(self Instance, names []string) []DesiredLink {
	ring := rank(self.DataCentre, names)
	at := slices.Index(ring, self.Name)
	if at < 0 || len(ring) < 2 {
		return nil
	}
	next := ring[(at+1)%len(ring)]
	slots := []DesiredLink{{Candidates: []string{next}, Local: true}}
	for _, n := range rank(self.Name, names) {
		if len(slots) > chordsPerNode {
			break
		}
		if n != self.Name && n != next {
			slots = append(slots, DesiredLink{Candidates: []string{n}, Local: true})
		}
	}
	return slots
}

// pairSlots gives self's links between the groups a and b. The side with the
// lesser name dials, so that each link is opened once.
func pairSlots(self, a, b string, inA, inB []string) []DesiredLink {
	if a > b {
		return nil
	}
	key := a + "|" + b
	mine := rank(key, inA)
	at := slices.Index(mine[:min(linksPerPair, len(mine))], self)
	if at < 0 {
		return nil
	}
	theirs := rank(key, inB)
	// Start each link at another partner, then go on to substitutes.
	start := at % len(theirs)
	candidates := append(slices.Clone(theirs[start:]), theirs[:start]...)
	return []DesiredLink{{Candidates: candidates[:min(candidatesPerSlot, len(candidates))]}}
}
