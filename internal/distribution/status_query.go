package distribution

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// StartStatusQuery starts a status query at this node. The result comes with the Surveys of
// a later Effects.
func (e *Engine) StartStatusQuery(now time.Time, id uint64) Actions {
	var fx Actions
	e.receiveQuery(&fx, now, "", StatusQuery{ID: id, TimeoutMs: uint32(censusPatience.Milliseconds())})
	return fx
}

func (e *Engine) receiveQuery(fx *Actions, now time.Time, from string, q StatusQuery) {
	s, first := e.census.start(now, q, from, e.neighbours(), e.Status(now))
	if !first {
		if from != "" {
			fx.send(from, CauseCensus, &Message{StatusReply: &StatusReply{ID: q.ID}})
		}
		return
	}
	hop := uint32(censusHop.Milliseconds())
	if q.TimeoutMs > hop {
		for _, peer := range slices.Sorted(maps.Keys(s.waiting)) {
			fx.send(peer, CauseCensus, &Message{StatusQuery: &StatusQuery{ID: q.ID, TimeoutMs: q.TimeoutMs - hop}})
		}
	} else {
		clear(s.waiting)
	}
	e.finishSurveys(fx, now)
}

// finishSurveys answers the queries that are complete or overdue.
func (e *Engine) finishSurveys(fx *Actions, now time.Time) {
	for _, s := range e.census.finished(now) {
		nodes := slices.SortedFunc(maps.Values(s.nodes), func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
		if s.parent == "" {
			fx.StatusResults = append(fx.StatusResults, StatusResult{ID: s.id, Nodes: nodes})
			continue
		}
		fx.send(s.parent, CauseCensus, &Message{StatusReply: &StatusReply{ID: s.id, Nodes: nodes}})
	}
}
