package membership

import "slices"

// ReaderRank returns the place of self among the nodes of its data centre
// that may watch the platform, from 0.
func ReaderRank(self Instance, members []Member) int {
	var names []string
	for _, m := range members {
		if m.DataCentre == self.DataCentre && (m.Status == Alive || m.Name == self.Name) {
			names = append(names, m.Name)
		}
	}
	return slices.Index(readerOrder(self.DataCentre, names), self.Name)
}

// readerOrder is the order in which the nodes of a data centre are chosen as
// readers of the platform.
func readerOrder(centre string, names []string) []string {
	return rank("readers of "+centre, names)
}

// Readers returns the nodes of a data centre that read the platform: one for
// every perReader nodes alive, and at least one if there are any.
func Readers(centre string, members []Member, perReader int) []string {
	var names []string
	for _, m := range members {
		if m.DataCentre == centre && m.Status == Alive {
			names = append(names, m.Name)
		}
	}
	n := (len(names) + perReader - 1) / perReader
	return readerOrder(centre, names)[:n]
}

// storeReaders is the number of nodes that read the platform for all others: any
// two of them may be lost at once and nobody else has to call it. With one or more
// in each of five data centres 26 nodes made 728 and 706 calls on two loaded days, so
// 456 and 445, starts by a glance included (paired plays).
const storeReaders = 3

// StoreReaders returns the nodes that read the platform: of the first reader of
// each data centre a few. The other readers follow them and pass on what they hear,
// so that calls of the platform do not grow with the data centres.
func StoreReaders(members []Member, perReader int) []string {
	var first []string
	for centre := range newTopology(members).centres {
		if readers := Readers(centre, members, perReader); len(readers) > 0 {
			first = append(first, readers[0])
		}
	}
	first = rank("readers for all", first)
	return first[:min(storeReaders, len(first))]
}

// relaySources returns the store readers that a reader of its data centre follows;
// false if self is none.
func relaySources(self Instance, members []Member, perReader int) ([]string, bool) {
	if !slices.Contains(Readers(self.DataCentre, members, perReader), self.Name) {
		return nil, false
	}
	others := slices.DeleteFunc(StoreReaders(members, perReader), func(name string) bool { return name == self.Name })
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
