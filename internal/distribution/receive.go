package distribution

import "time"

// Receive handles a message from a neighbour.
func (e *Engine) Receive(now time.Time, from string, m *Message) Actions {
	var actions Actions
	if m.Digest != nil {
		e.receiveDigest(&actions, now, from, m.Digest)
	}
	for _, u := range m.Updates {
		if u.Doc < docCount {
			e.receiveUpdate(&actions, now, from, u)
		}
	}
	for _, w := range m.Wants {
		if w.Doc < docCount {
			e.receiveWant(&actions, from, w)
		}
	}
	if len(m.Rumors) > 0 {
		e.receiveRumors(&actions, now, from, m.Rumors)
	}
	if m.StatusQuery != nil {
		e.receiveQuery(&actions, now, from, *m.StatusQuery)
	}
	if m.StatusReply != nil {
		e.queries.addReply(from, *m.StatusReply)
		e.completeQueries(&actions, now)
	}
	return actions
}

func (e *Engine) receiveDigest(actions *Actions, now time.Time, from string, d *Digest) {
	e.digestSeen[from] = true
	if d.RequestDigest {
		actions.addMessage(from, CauseDigest, &Message{Digest: e.digest(now)})
	}
	at := now.Add(-time.Duration(min(d.SourceAge, neverSourceAge)) * time.Millisecond)
	if d.SourceAge < neverSourceAge && at.After(e.lastSourceContact) {
		e.lastSourceContact = at
	}
	var wants []Want
	for doc, r := range e.docs {
		if w := r.handleDigest(now, from, d.Held[doc]); w != nil {
			wants = append(wants, *w)
		}
	}
	if len(wants) > 0 {
		actions.addMessage(from, CauseHeal, &Message{Wants: wants})
	}
}

func (e *Engine) receiveUpdate(actions *Actions, now time.Time, from string, u Update) {
	advanced, want, err := e.docs[u.Doc].handleUpdate(now, from, u)
	actions.addError(err)
	if want != nil {
		actions.addMessage(from, CauseHeal, &Message{Wants: []Want{*want}})
	}
	if advanced {
		e.pushVersion(actions, now, u.Doc, from)
	}
}

func (e *Engine) receiveWant(actions *Actions, from string, w Want) {
	r := e.docs[w.Doc]
	r.peerVersions[from] = w.Have
	if updates := r.updatesSince(w.Have); updates != nil {
		r.peerVersions[from] = r.held
		actions.addMessage(from, CauseHeal, &Message{Updates: updates})
	}
}
