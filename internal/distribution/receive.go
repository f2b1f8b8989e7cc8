package distribution

import "time"

// Receive handles a message from a neighbour.
func (e *Engine) Receive(now time.Time, from string, m *Message) Actions {
	var fx Actions
	if m.Digest != nil {
		e.receiveDigest(&fx, now, from, m.Digest)
	}
	for _, u := range m.Updates {
		if u.Doc < docCount {
			e.receiveUpdate(&fx, now, from, u)
		}
	}
	for _, w := range m.Wants {
		if w.Doc < docCount {
			e.receiveWant(&fx, from, w)
		}
	}
	if len(m.Rumors) > 0 {
		e.receiveRumors(&fx, now, from, m.Rumors)
	}
	if m.StatusQuery != nil {
		e.receiveQuery(&fx, now, from, *m.StatusQuery)
	}
	if m.StatusReply != nil {
		e.census.answer(from, *m.StatusReply)
		e.finishSurveys(&fx, now)
	}
	return fx
}

func (e *Engine) receiveDigest(fx *Actions, now time.Time, from string, d *Digest) {
	e.told[from] = true
	if d.RequestDigest {
		fx.send(from, CauseDigest, &Message{Digest: e.digest(now)})
	}
	at := now.Add(-time.Duration(min(d.SourceAge, maxSourceAge)) * time.Millisecond)
	if d.SourceAge < maxSourceAge && at.After(e.source) {
		e.source = at
	}
	var wants []Want
	for doc, r := range e.docs {
		if w := r.digest(now, from, d.Held[doc]); w != nil {
			wants = append(wants, *w)
		}
	}
	if len(wants) > 0 {
		fx.send(from, CauseHeal, &Message{Wants: wants})
	}
}

func (e *Engine) receiveUpdate(fx *Actions, now time.Time, from string, u Update) {
	advanced, want, err := e.docs[u.Doc].update(now, from, u)
	fx.fail(err)
	if want != nil {
		fx.send(from, CauseHeal, &Message{Wants: []Want{*want}})
	}
	if advanced {
		e.advanced(fx, now, u.Doc, from)
	}
}

func (e *Engine) receiveWant(fx *Actions, from string, w Want) {
	r := e.docs[w.Doc]
	r.known[from] = w.Have
	if updates := r.answer(w.Have); updates != nil {
		r.known[from] = r.held
		fx.send(from, CauseHeal, &Message{Updates: updates})
	}
}
