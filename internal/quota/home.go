package quota

import (
	"cmp"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the home of a customer among nodes and the deputy that is asked where the
// home is not reached, by rendezvous hashing: when a node goes or comes, only its own
// customers move. Both are empty where there are too few nodes.
func Owners(customer string, nodes iter.Seq[string]) (home, deputy string) {
	best, second := uint64(0), uint64(0)
	var h xxhash.Digest
	for n := range nodes {
		h.Reset()
		_, _ = h.WriteString(customer)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(n)
		score := h.Sum64()
		switch {
		case home == "" || cmp.Or(cmp.Compare(score, best), cmp.Compare(n, home)) > 0:
			home, deputy, best, second = n, home, score, best
		case deputy == "" || cmp.Or(cmp.Compare(score, second), cmp.Compare(n, deputy)) > 0:
			deputy, second = n, score
		}
	}
	return home, deputy
}
