package distribution

import "time"

// Bounds of the census.
const (
	// censusPatience is how long the asking node waits for all answers.
	censusPatience = 2 * time.Second
	// censusHop is taken off the patience at each hop, so that a node answers
	// before the one that asked it gives up.
	censusHop = 150 * time.Millisecond
	// maxSurveys bounds the queries in progress at one node; more are answered
	// empty at once.
	maxSurveys = 8
)

// survey is one query in progress at this node.
type survey struct {
	id       uint64
	parent   string // neighbour that asked; empty if asked here
	deadline time.Time
	waiting  map[string]bool // neighbours that have not answered
	nodes    map[string]NodeStatus
}

// census gathers the status of all nodes over the overlay: the first query
// seen spreads to the other neighbours, later ones are answered empty.
type census struct {
	active map[uint64]*survey
	seen   map[uint64]time.Time
}

func newCensus() *census {
	return &census{active: make(map[uint64]*survey), seen: make(map[uint64]time.Time)}
}

// start begins or joins a query. It returns the neighbours to ask, nil and
// false if the query is a duplicate or one too many.
func (c *census) start(now time.Time, q StatusQuery, parent string, neighbours []string, own NodeStatus) (*survey, bool) {
	if _, twice := c.seen[q.ID]; twice || len(c.active) >= maxSurveys {
		return nil, false
	}
	c.seen[q.ID] = now
	s := &survey{
		id:       q.ID,
		parent:   parent,
		deadline: now.Add(min(time.Duration(q.TimeoutMs)*time.Millisecond, censusPatience)),
		waiting:  make(map[string]bool),
		nodes:    map[string]NodeStatus{own.Name: own},
	}
	for _, n := range neighbours {
		if n != parent {
			s.waiting[n] = true
		}
	}
	c.active[q.ID] = s
	return s, true
}

// answer takes in a reply.
func (c *census) answer(from string, r StatusReply) {
	s, ok := c.active[r.ID]
	if !ok || !s.waiting[from] {
		return
	}
	delete(s.waiting, from)
	for _, n := range r.Nodes {
		s.nodes[n.Name] = n
	}
}

// lost notes that a neighbour will not answer.
func (c *census) lost(peer string) {
	for _, s := range c.active {
		delete(s.waiting, peer)
	}
}

// finished removes and returns the surveys that have all answers or whose
// time is up, and forgets old query IDs.
func (c *census) finished(now time.Time) []*survey {
	var out []*survey
	for id, s := range c.active {
		if len(s.waiting) == 0 || !now.Before(s.deadline) {
			out = append(out, s)
			delete(c.active, id)
		}
	}
	for id, at := range c.seen {
		if now.Sub(at) > 4*censusPatience {
			delete(c.seen, id)
		}
	}
	return out
}
