package distribution

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Ask starts a status query at this node. The result comes with the Surveys of
// a later Effects.
func (e *Engine) Ask(now time.Time, id uint64) Effects {
	var fx Effects
	e.receiveQuery(&fx, now, "", Query{ID: id, Patience: uint32(censusPatience.Milliseconds())})
	return fx
}

func (e *Engine) receiveQuery(fx *Effects, now time.Time, from string, q Query) {
	s, first := e.census.start(now, q, from, e.neighbours(), e.Status(now))
	if !first {
		if from != "" {
			fx.send(from, CauseCensus, &Message{Reply: &Reply{ID: q.ID}})
		}
		return
	}
	hop := uint32(censusHop.Milliseconds())
	if q.Patience > hop {
		for _, peer := range slices.Sorted(maps.Keys(s.waiting)) {
			fx.send(peer, CauseCensus, &Message{Query: &Query{ID: q.ID, Patience: q.Patience - hop}})
		}
	} else {
		clear(s.waiting)
	}
	e.finishSurveys(fx, now)
}

// finishSurveys answers the queries that are complete or overdue.
func (e *Engine) finishSurveys(fx *Effects, now time.Time) {
	for _, s := range e.census.finished(now) {
		nodes := slices.SortedFunc(maps.Values(s.nodes), func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
		if s.parent == "" {
			fx.Surveys = append(fx.Surveys, Survey{ID: s.id, Nodes: nodes})
			continue
		}
		fx.send(s.parent, CauseCensus, &Message{Reply: &Reply{ID: s.id, Nodes: nodes}})
	}
}
