package distribution

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// StartStatusQuery starts a status query at this node. The result is in the StatusResults
// of later Actions.
func (e *Engine) StartStatusQuery(now time.Time, id uint64) Actions {
	var actions Actions
	e.receiveQuery(&actions, now, "", StatusQuery{ID: id, TimeoutMs: uint32(statusQueryTimeout.Milliseconds())})
	return actions
}

func (e *Engine) receiveQuery(actions *Actions, now time.Time, from string, q StatusQuery) {
	query, first := e.queries.begin(now, q, from, e.neighbours(), e.Status(now))
	if !first {
		if from != "" {
			actions.addMessage(from, CauseCensus, &Message{StatusReply: &StatusReply{ID: q.ID}})
		}
		return
	}
	hopMargin := uint32(statusQueryHopMargin.Milliseconds())
	if q.TimeoutMs > hopMargin {
		for _, peer := range slices.Sorted(maps.Keys(query.pending)) {
			actions.addMessage(peer, CauseCensus, &Message{StatusQuery: &StatusQuery{ID: q.ID, TimeoutMs: q.TimeoutMs - hopMargin}})
		}
	} else {
		clear(query.pending)
	}
	e.completeQueries(actions, now)
}

// completeQueries replies to the queries that are complete or overdue.
func (e *Engine) completeQueries(actions *Actions, now time.Time) {
	for _, query := range e.queries.takeFinished(now) {
		nodes := slices.SortedFunc(maps.Values(query.nodes), func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
		if query.parent == "" {
			actions.StatusResults = append(actions.StatusResults, StatusResult{ID: query.id, Nodes: nodes})
			continue
		}
		actions.addMessage(query.parent, CauseCensus, &Message{StatusReply: &StatusReply{ID: query.id, Nodes: nodes}})
	}
}
