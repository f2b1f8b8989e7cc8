package quota

import (
	"cmp"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the owner of a customer among nodes and the standby that is asked if the
// owner is unreachable. It uses rendezvous hashing, so that a node that joins or leaves
// moves only its own customers. Either is empty if there are too few nodes.
func Owners(customer string, nodes iter.Seq[string]) (owner, standby string) {
	best, second := uint64(0), uint64(0)
	var h xxhash.Digest
	for n := range nodes {
		h.Reset()
		_, _ = h.WriteString(customer)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(n)
		score := h.Sum64()
		switch {
		case owner == "" || cmp.Or(cmp.Compare(score, best), cmp.Compare(n, owner)) > 0:
			owner, standby, best, second = n, owner, score, best
		case standby == "" || cmp.Or(cmp.Compare(score, second), cmp.Compare(n, standby)) > 0:
			standby, second = n, score
		}
	}
	return owner, standby
}
