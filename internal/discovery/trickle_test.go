package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// While parts of an answer come it is not overdue, so that a large table is not
// fetched twice over a full link. A byte was such a part: an answer of which one came
// now and then kept a node from making its next call until it was given up, 2 s after
// its time, and the node had a table or a leaving later than the bound though the
// store would have answered another call at once.
func TestTricklingAnswerKeepsTheBound(t *testing.T) {
	gone := func(n *testNode) { n.cut, n.silent = true, true }
	trickles := func(n *testNode) { n.unanswered, n.trickles = 1, 1 }
	for name, c := range map[string]struct {
		readers, reader, node func(*testNode) // what befalls all but one reader, that one, and one other node
		ofReader              bool            // which of the two last is looked at
	}{
		"at a node, all readers silent": {readers: gone, reader: gone, node: trickles},
		"at the only reader":            {readers: gone, reader: trickles, ofReader: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFollowers(t, 8, "a", "b")
				f.addEnding()
				readers, others := f.roles()
				looked, leaves := others[0], others[len(others)-1]
				if c.ofReader {
					looked = readers[0]
				}
				for edition := uint64(2); edition < 40; edition++ {
					f.settle(edition)
					setAll(readers[1:], c.readers)
					setAll(readers[:1], c.reader)
					setAll(others[:1], c.node)
					f.meet(t, edition, []*testNode{looked}, leaves)
					setAll(f.sorted(), (*testNode).heal)
					time.Sleep(drainBound)
				}
			})
		})
	}
}
