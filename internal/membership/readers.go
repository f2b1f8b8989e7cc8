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
			near = append(near, m)
		}
	}
	return slices.Index(namesOf(readerOrder(self.DataCentre, near)), self.Name)
}

// strongest sorts nodes by the rate of their links, the greatest first, and those alike by
// their rendezvous score for key. A reader reads each version of the table whole and
// tells it to many: on links of 7 Mbit/s, with one of 140 beside 15 of them, a storm of
// tables left 0.5 to 0.6 of the requests in time where it filled those of readers.
func strongest(key string, members []Member) []Member {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(score(key, b.Name), score(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return all
}

func namesOf(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

// readerOrder is the order in which the nodes of a data centre are chosen as
// readers of the platform.
func readerOrder(centre string, members []Member) []Member {
	return strongest("readers of "+centre, members)
}

// Readers returns the nodes of a data centre that read the platform: one for
// every perReader nodes alive, and at least one if there are any.
func Readers(centre string, members []Member, perReader int) []string {
	alive := aliveIn(centre, members)
	return namesOf(readerOrder(centre, alive)[:readersOf(len(alive), perReader)])
}

// readersOf is the number of readers among so many nodes of a data centre.
func readersOf(nodes, perReader int) int { return (nodes + perReader - 1) / perReader }

func aliveIn(centre string, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.DataCentre == centre && m.Status == Alive {
			out = append(out, m)
		}
	}
	return out
}

// ReaderCandidates returns, of each data centre, its readers and as many again and two
// more, who take their place: all nodes that know these and their links choose the same.
func ReaderCandidates(members []Member, perReader int) []string {
	var out []string
	for centre := range newTopology(members).centres {
		alive := aliveIn(centre, members)
		n := min(2*readersOf(len(alive), perReader)+2, len(alive))
		out = append(out, namesOf(readerOrder(centre, alive)[:n])...)
	}
	slices.Sort(out)
	return out
}

// storeReaders is the number of nodes that read the platform for all others: any
// two of them may be lost at once and nobody else has to call it. With one or more
// in each of five data centres 26 nodes made 728 and 706 calls on two loaded days, so
// 456 and 445, starts by a glance included (paired plays).
const storeReaders = 3

// StoreReaders returns the nodes that read the platform: of the first reader of
// each data centre a few. The other readers follow them and pass on what they hear,
// so that calls of the platform do not grow with the data centres.
func StoreReaders(members []Member) []string {
	var first []Member
	for centre := range newTopology(members).centres {
		if alive := aliveIn(centre, members); len(alive) > 0 {
			first = append(first, readerOrder(centre, alive)[0])
		}
	}
	return namesOf(strongest("readers for all", first)[:min(storeReaders, len(first))])
}

// relaySources returns the store readers that a reader of its data centre follows;
// false if self is none.
func relaySources(self Instance, members []Member, perReader int) ([]string, bool) {
	if !slices.Contains(Readers(self.DataCentre, members, perReader), self.Name) {
		return nil, false
	}
	others := slices.DeleteFunc(StoreReaders(members), func(name string) bool { return name == self.Name })
	others = rank(self.Name, others)
	return others[:min(MaxNewsSources, len(others))], true
}

// NewsSources returns two readers for a node to follow: one of its own data
// centre and one of another, so that no single machine or data centre can keep
// it from news. Where there is only one data centre, both are of that one.
// Names in place of instances are enough, as each stands for one instance.
func NewsSources(self Instance, members []Member, perReader int) []string {
	if sources, relay := relaySources(self, members, perReader); relay && len(sources) > 0 {
		return sources
	}
	var near, far []string
	for centre := range newTopology(members).centres {
		readers := slices.DeleteFunc(Readers(centre, members, perReader), func(name string) bool { return name == self.Name })
		if centre == self.DataCentre {
			near = append(near, readers...)
		} else {
			far = append(far, readers...)
		}
	}
	near, far = rank(self.Name, near), rank(self.Name, far)
	sources := slices.Concat(near[:min(1, len(near))], far[:min(1, len(far))])
	rest := slices.Concat(near[min(1, len(near)):], far[min(1, len(far)):])
	return append(sources, rest[:min(max(MaxNewsSources-len(sources), 0), len(rest))]...)
}

// MaxNewsSources is the number of readers that a node follows: with two, one may
// be cut off without a word and changes still come at once.
const MaxNewsSources = 2
