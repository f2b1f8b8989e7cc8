package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a trickling response that delays the next call. Progress of a response
// keeps its call from being overdue, so that a large table is not fetched twice over a
// saturated link. If any byte counted as progress, a response of which a byte arrived now
// and then would keep a node from its next call until the timeout, 2 s after its expected
// time, and a table or leaving would exceed the change bound although another call would
// get a response at once.
func TestChangeBoundWithTricklingResponse(t *testing.T) {
	isolate := func(n *testNode) { n.cutOff, n.unresponsive = true, true }
	trickle := func(n *testNode) { n.unanswered, n.trickleBytes = 1, 1 }
	for name, c := range map[string]struct {
		readers, reader, node func(*testNode) // faults of all readers but one, of that one, and of one other node
		ofReader              bool            // check the one reader rather than the one other node
	}{
		"at a node, all readers unresponsive": {readers: isolate, reader: isolate, node: trickle},
		"at the only reader":                  {readers: isolate, reader: trickle, ofReader: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFollowers(t, 8, "a", "b")
				f.addRemovable()
				readers, others := f.roles()
				checked, leaving := others[0], others[len(others)-1]
				if c.ofReader {
					checked = readers[0]
				}
				for edition := uint64(2); edition < 40; edition++ {
					f.shiftPhase(edition)
					setFaults(readers[1:], c.readers)
					setFaults(readers[:1], c.reader)
					setFaults(others[:1], c.node)
					f.assertChangesApplied(t, edition, []*testNode{checked}, leaving)
					setFaults(f.sorted(), (*testNode).heal)
					time.Sleep(changeBound)
				}
			})
		})
	}
}
