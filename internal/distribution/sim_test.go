package distribution

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/version"
)

// document returns a test document, "EDITION\nbody"; checkDocument rejects a body that
// contains "bad".
func document(edition int, body string) []byte { return []byte(fmt.Sprintf("%d\n%s", edition, body)) }

func checkDocument(raw []byte) (version.ID, error) {
	var edition uint64
	_, err := fmt.Sscanf(string(raw), "%d\n", &edition)
	id := version.Of(edition, raw)
	if err != nil || strings.Contains(string(raw), "bad") {
		return id, errors.New("refused")
	}
	return id, nil
}

// simNode is one engine with the version that the test's check committed.
type simNode struct {
	*Engine
	held version.ID // last version committed since the start
}

// sim is a fleet of engines in one goroutine, with a message queue for each directed
// link.
type sim struct {
	now       time.Time
	names     []string
	nodes     map[string]*simNode
	queues    map[[2]string][]*Message
	up        map[[2]string]bool // keyed by ordered pair
	published [][]byte           // every value the platform ever held
	accepted  version.ID         // highest version that was ever in force on a node
}

func newSim(n int) *sim {
	s := &sim{
		now: time.Unix(1000, 0), nodes: make(map[string]*simNode),
		queues: make(map[[2]string][]*Message), up: make(map[[2]string]bool),
	}
	for i := range n {
		s.names = append(s.names, fmt.Sprintf("n%d", i))
	}
	for _, name := range s.names {
		s.start(name)
	}
	for i := range s.names {
		s.connect(s.names[i], s.names[(i+1)%n])
	}
	return s
}

func (s *sim) start(name string) {
	n := &simNode{}
	self := membership.Instance{Name: name, DataCentre: "dc", Region: "r", State: membership.ListedLive, Generation: uint64(s.now.UnixMilli())}
	n.Engine = NewEngine(DefaultEngineConfig(), self, func(raw []byte) (Checked, error) {
		id, err := checkDocument(raw)
		return Checked{ID: id, Commit: func() { n.held = id }}, err
	}, s.now)
	s.nodes[name] = n
}

// sortedPairs makes the iteration order of a map the same in every run.
func sortedPairs[V any](m map[[2]string]V) [][2]string {
	return slices.SortedFunc(maps.Keys(m), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
}

func ordered(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (s *sim) connect(a, b string) {
	if a == b || s.up[ordered(a, b)] {
		return
	}
	s.up[ordered(a, b)] = true
	s.execute(a, s.nodes[a].LinkUp(s.now, b))
	s.execute(b, s.nodes[b].LinkUp(s.now, a))
}

func (s *sim) disconnect(a, b string) {
	if !s.up[ordered(a, b)] {
		return
	}
	delete(s.up, ordered(a, b))
	delete(s.queues, [2]string{a, b})
	delete(s.queues, [2]string{b, a})
	s.execute(a, s.nodes[a].LinkDown(s.now, b, true))
	s.execute(b, s.nodes[b].LinkDown(s.now, a, true))
}

// execute encodes, decodes and queues the messages of actions.
func (s *sim) execute(from string, actions Actions) {
	if actions.Flush {
		actions.Messages = append(actions.Messages, s.nodes[from].Flush().Messages...)
	}
	for _, send := range actions.Messages {
		if !s.up[ordered(from, send.To)] {
			continue
		}
		b, err := Encode(send.Msg)
		if err != nil {
			panic(err)
		}
		m, err := Decode(b)
		if err != nil {
			panic(err)
		}
		key := [2]string{from, send.To}
		s.queues[key] = append(s.queues[key], m)
	}
	if held := s.nodes[from].held; held.Newer(s.accepted) {
		s.accepted = held
	}
}

func (s *sim) wasPublished(raw []byte) bool {
	return slices.ContainsFunc(s.published, func(p []byte) bool { return string(p) == string(raw) })
}

func (s *sim) deliver(key [2]string) {
	q := s.queues[key]
	if len(q) == 0 {
		return
	}
	s.queues[key] = q[1:]
	s.execute(key[1], s.nodes[key[1]].Receive(s.now, key[0], q[0]))
}

// settle exchanges digests on all links until no message is queued.
func (s *sim) settle() {
	for range 6 {
		s.now = s.now.Add(wantTimeout)
		for _, pair := range sortedPairs(s.up) {
			s.execute(pair[0], s.nodes[pair[0]].DigestTo(s.now, pair[1]))
			s.execute(pair[1], s.nodes[pair[1]].DigestTo(s.now, pair[0]))
		}
		for moved := true; moved; {
			moved = false
			for _, key := range sortedPairs(s.queues) {
				if len(s.queues[key]) > 0 {
					s.deliver(key)
					moved = true
				}
			}
		}
	}
}
