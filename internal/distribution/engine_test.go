package distribution

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/version"
)

// TestVersionsUnderFaults drives a fleet of engines with concurrent edits, stale platform
// reads, lost links, restarts and pauses, all overlapping. It checks that a node's
// version never goes back, that a document that was rejected or never published is never
// in force, and that once the links are restored all nodes hold the highest version that
// any node then held. Without restarts, that is the highest one that was ever in force: no
// version is lost.
func TestVersionsUnderFaults(t *testing.T) {
	moves, faults := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		restarted := false
		s := newSim(rapid.IntRange(2, 6).Draw(t, "nodes"))
		s.published = [][]byte{document(1, "first")}
		name := rapid.SampledFrom(s.names)
		before := make(map[string]version.ID)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				// Concurrent operators: editions repeat, go back and jump.
				edition := rapid.IntRange(1, 12).Draw(t, "edition")
				body := rapid.SampledFrom([]string{"x", "y\nz", "bad", strings.Repeat("long line\n", 1200)}).Draw(t, "body")
				if rapid.Bool().Draw(t, "rows") {
					// Rows that change one by one, like the cells of a table.
					rows := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 5, 5).Draw(t, "row")
					body = strings.Join(rows, "\n")
				}
				s.published = append(s.published, document(edition, body))
			},
			"read": func(t *rapid.T) {
				// A stale replica of the platform returns any value ever published.
				raw := rapid.SampledFrom(s.published).Draw(t, "value")
				n := name.Draw(t, "node")
				s.execute(n, s.nodes[n].Publish(s.now, DocTable, raw))
			},
			"deliver": func(t *rapid.T) {
				from, to := name.Draw(t, "from"), name.Draw(t, "to")
				s.deliver([2]string{from, to})
			},
			"digest": func(t *rapid.T) {
				a, b := name.Draw(t, "from"), name.Draw(t, "to")
				if s.up[ordered(a, b)] {
					s.execute(a, s.nodes[a].DigestTo(s.now, b))
				}
			},
			"cut":  func(t *rapid.T) { faults++; s.disconnect(name.Draw(t, "a"), name.Draw(t, "b")) },
			"link": func(t *rapid.T) { s.connect(name.Draw(t, "a"), name.Draw(t, "b")) },
			"restart": func(t *rapid.T) {
				faults++
				restarted = true
				n := name.Draw(t, "node")
				for _, other := range s.names {
					s.disconnect(n, other)
				}
				s.start(n)
				delete(before, n)
			},
			"pause": func(t *rapid.T) {
				faults++
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 10000).Draw(t, "ms")) * time.Millisecond)
				n := name.Draw(t, "node")
				s.execute(n, s.nodes[n].RequestDigests(s.now))
			},
			"": func(t *rapid.T) {
				moves++
				for _, n := range s.names {
					node := s.nodes[n]
					assert.Equal(t, node.held, node.Held(DocTable))
					assert.Assert(t, !before[n].Newer(node.held), "%s: version went back from %v to %v", n, before[n], node.held)
					if !node.held.IsZero() {
						id, err := checkDocument(node.docs[DocTable].raw)
						assert.NilError(t, err)
						assert.Equal(t, id, node.held)
						assert.Assert(t, s.wasPublished(node.docs[DocTable].raw), "%s holds a document that was never published", n)
					}
					before[n] = node.held
				}
			},
		})
		var highest version.ID
		for _, n := range s.names {
			if h := s.nodes[n].held; h.Newer(highest) {
				highest = h
			}
		}
		assert.Assert(t, restarted || highest == s.accepted, "%v was in force, the highest held is %v", s.accepted, highest)
		for i := range s.names {
			s.connect(s.names[i], s.names[(i+1)%len(s.names)])
		}
		s.settle()
		for _, n := range s.names {
			assert.Equal(t, s.nodes[n].held, highest, n)
		}
	})
	t.Logf("%d moves, %d faults", moves, faults)
}

func TestGapIsFilledByKeptDeltas(t *testing.T) {
	s := newSim(2)
	a, b := s.names[0], s.names[1]
	s.execute(a, s.nodes[a].Publish(s.now, DocTable, document(1, "one")))
	s.settle()
	s.disconnect(a, b)
	for e := 2; e <= 5; e++ {
		s.execute(a, s.nodes[a].Publish(s.now, DocTable, document(e, strings.Repeat("row\n", e))))
	}
	updates := s.nodes[a].docs[DocTable].updatesSince(s.nodes[b].held)
	assert.Equal(t, len(updates), 4, "want the four missed deltas, not the full document")
	s.connect(a, b)
	s.settle()
	assert.Equal(t, s.nodes[b].held.Edition, uint64(5))
}

// A delta relative to another version than the held one is not applied; the missing
// versions are requested.
func TestSplicesOfAnotherBaseAreNotApplied(t *testing.T) {
	s := newSim(3)
	a, b := s.names[0], s.names[1]
	s.execute(a, s.nodes[a].Publish(s.now, DocTable, document(1, "r\nr\nr\nr")))
	s.settle()
	s.nodes[a].Publish(s.now, DocTable, document(2, "r\nX\nr\nr")) // its pushes are lost
	third := document(3, "r\nr\nr\nY")
	actions := s.nodes[b].Publish(s.now, DocTable, third)
	for _, send := range actions.Messages {
		if send.To != a {
			continue
		}
		assert.Equal(t, len(send.Msg.Updates), 1)
		answer := s.nodes[a].Receive(s.now, b, send.Msg)
		assert.Equal(t, len(answer.Advanced), 0)
		assert.Equal(t, s.nodes[a].held.Edition, uint64(2))
		s.execute(a, answer)
	}
	s.settle()
	assert.Equal(t, string(s.nodes[a].docs[DocTable].raw), string(third))
}

func TestNewNodeGetsFullDocumentFromPeer(t *testing.T) {
	s := newSim(2)
	a, b := s.names[0], s.names[1]
	s.execute(a, s.nodes[a].Publish(s.now, DocTable, document(3, strings.Repeat("row\n", 4000))))
	s.settle()
	assert.Equal(t, s.nodes[b].held, s.nodes[a].held)
	assert.Equal(t, s.nodes[b].Status(s.now).From, a)
}

func TestRejectedVersionIsShownAndNotRequestedAgain(t *testing.T) {
	s := newSim(1)
	n := s.nodes[s.names[0]]
	n.Publish(s.now, DocTable, document(1, "good"))
	actions := n.Publish(s.now, DocTable, document(2, "bad"))
	assert.Equal(t, len(actions.Errors), 1)
	assert.Equal(t, n.held.Edition, uint64(1))
	assert.Assert(t, strings.HasPrefix(n.Status(s.now).Refused, "2-"))
	n.Publish(s.now, DocTable, document(3, "good again"))
	assert.Equal(t, n.Status(s.now).Refused, "")
}

// The status names the version together with the neighbour that holds it, also if several
// neighbours hold newer ones.
func TestWaitingForNamesTheHolderOfTheVersion(t *testing.T) {
	s := newSim(3)
	n, second, third := s.nodes[s.names[0]], version.Of(2, nil), version.Of(3, nil)
	n.Receive(s.now, s.names[2], &Message{Digest: &Digest{Held: [docCount]version.ID{DocTable: second}}})
	n.Receive(s.now, s.names[1], &Message{Digest: &Digest{Held: [docCount]version.ID{DocTable: third}}})
	assert.Equal(t, n.Status(s.now).Waiting, "version "+second.String()+" from "+s.names[2])
	s.disconnect(s.names[0], s.names[2])
	assert.Equal(t, n.Status(s.now).Waiting, "version "+third.String()+" from "+s.names[1])
}

func TestStatusQueryReachesEveryNodeOnce(t *testing.T) {
	s := newSim(6)
	s.connect(s.names[0], s.names[3]) // a second path
	s.settle()
	s.execute(s.names[0], s.nodes[s.names[0]].StartStatusQuery(s.now, 42))
	var got []NodeStatus
	for range 100 {
		for _, key := range sortedPairs(s.queues) {
			q := s.queues[key]
			if len(q) == 0 {
				continue
			}
			s.queues[key] = q[1:]
			actions := s.nodes[key[1]].Receive(s.now, key[0], q[0])
			for _, result := range actions.StatusResults {
				got = result.Nodes
			}
			s.execute(key[1], actions)
		}
	}
	assert.Equal(t, len(got), 6)
}

// A burst of joins is forwarded in one message per link.
func TestBurstOfRumorsIsBatched(t *testing.T) {
	s := newSim(3)
	s.settle()
	n := s.nodes[s.names[0]]
	flushes := 0
	for i := range 500 {
		in := membership.Instance{Name: fmt.Sprintf("new%d", i), DataCentre: "dc", Region: "r", Generation: 1}
		actions := n.Receive(s.now, s.names[1], &Message{Rumors: []membership.Rumor{{Name: in.Name, Incarnation: 1, Instance: &in}}})
		assert.Equal(t, len(actions.Messages), 0)
		if actions.Flush {
			flushes++
		}
	}
	assert.Equal(t, flushes, 1)
	actions := n.Flush()
	assert.Equal(t, len(actions.Messages), 1, "rumors must not go back to their sender")
	assert.Equal(t, len(actions.Messages[0].Msg.Rumors), 500)
	assert.Equal(t, len(n.Flush().Messages), 0)
}

func TestTakeoverOfReading(t *testing.T) {
	s := newSim(1)
	n := s.nodes[s.names[0]]
	n.rank = 5
	n.SourceUnchanged(s.now)
	assert.Assert(t, !n.ShouldRead(s.now))
	assert.Assert(t, !n.ShouldRead(s.now.Add(n.cfg.TakeoverAge)))
	assert.Assert(t, n.ShouldRead(s.now.Add(n.cfg.TakeoverAge+4*n.cfg.TakeoverStep)))
}

// FuzzDecode checks that no message of a peer makes a node panic.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(&Message{Digest: &Digest{}, Wants: []Want{{Doc: 9}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil {
			return
		}
		s := newSim(2)
		n := s.nodes[s.names[0]]
		n.Publish(s.now, DocTable, document(1, "x"))
		n.Receive(s.now, s.names[1], m)
		assert.Assert(t, !n.held.IsZero())
	})
}
