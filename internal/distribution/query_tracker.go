package distribution

import "time"

// Bounds of a status query.
const (
	// statusQueryTimeout is how long the node that starts a query waits for all replies.
	statusQueryTimeout = 2 * time.Second
	// statusQueryHopMargin is subtracted from the timeout at each hop, so that a node
	// replies before its parent stops waiting.
	statusQueryHopMargin = 150 * time.Millisecond
	// maxActiveQueries bounds the queries in progress at one node; further ones get an
	// empty reply at once.
	maxActiveQueries = 8
)

// activeQuery is a status query in progress at this node.
type activeQuery struct {
	id       uint64
	parent   string // neighbour that sent the query; empty if started here
	deadline time.Time
	pending  map[string]bool // neighbours that have not replied
	nodes    map[string]NodeStatus
}

// queryTracker collects the status of all nodes over the overlay: the first query seen
// with an ID is forwarded to the other neighbours, duplicates get an empty reply.
type queryTracker struct {
	active map[uint64]*activeQuery
	seen   map[uint64]time.Time
}

func newQueryTracker() *queryTracker {
	return &queryTracker{active: make(map[uint64]*activeQuery), seen: make(map[uint64]time.Time)}
}

// begin starts a query at this node and records the neighbours to forward it to. It
// returns nil and false if the query is a duplicate or exceeds maxActiveQueries.
func (qt *queryTracker) begin(now time.Time, q StatusQuery, parent string, neighbours []string, own NodeStatus) (*activeQuery, bool) {
	if _, duplicate := qt.seen[q.ID]; duplicate || len(qt.active) >= maxActiveQueries {
		return nil, false
	}
	qt.seen[q.ID] = now
	query := &activeQuery{
		id:       q.ID,
		parent:   parent,
		deadline: now.Add(min(time.Duration(q.TimeoutMs)*time.Millisecond, statusQueryTimeout)),
		pending:  make(map[string]bool),
		nodes:    map[string]NodeStatus{own.Name: own},
	}
	for _, n := range neighbours {
		if n != parent {
			query.pending[n] = true
		}
	}
	qt.active[q.ID] = query
	return query, true
}

// addReply adds the reply of a neighbour.
func (qt *queryTracker) addReply(from string, r StatusReply) {
	query, ok := qt.active[r.ID]
	if !ok || !query.pending[from] {
		return
	}
	delete(query.pending, from)
	for _, n := range r.Nodes {
		query.nodes[n.Name] = n
	}
}

// neighbourLost stops waiting for a neighbour whose link has ended.
func (qt *queryTracker) neighbourLost(peer string) {
	for _, query := range qt.active {
		delete(query.pending, peer)
	}
}

// takeFinished removes and returns the queries that have all replies or whose deadline
// has passed, and forgets the IDs of old queries.
func (qt *queryTracker) takeFinished(now time.Time) []*activeQuery {
	var out []*activeQuery
	for id, query := range qt.active {
		if len(query.pending) == 0 || !now.Before(query.deadline) {
			out = append(out, query)
			delete(qt.active, id)
		}
	}
	for id, at := range qt.seen {
		if now.Sub(at) > 4*statusQueryTimeout {
			delete(qt.seen, id)
		}
	}
	return out
}
