package distribution

import (
	"maps"
	"slices"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/version"
)

// EngineConfig holds the timing of the engine.
type EngineConfig struct {
	// DigestInterval is the mean time between digests on a link. Shorter heals
	// lost updates sooner, longer costs fewer bytes. Default 5 s.
	DigestInterval time.Duration
	// Readers is the number of nodes of each data centre that always watch the
	// platform. More ride out more failures at once, fewer spare the platform:
	// each makes one call per change and document. Default 2.
	Readers int
	// TakeoverAge is the source age from which nodes that are not readers
	// begin to read, the next in rank first. Default 30 s.
	TakeoverAge time.Duration
	// TakeoverStep is added to TakeoverAge per rank. Default 2 s.
	TakeoverStep time.Duration
	// Membership times the view.
	Membership membership.Config
}

// DefaultEngineConfig returns the defaults given at the fields.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		DigestInterval: 5 * time.Second,
		Readers:        2,
		TakeoverAge:    30 * time.Second,
		TakeoverStep:   2 * time.Second,
		Membership:     membership.DefaultConfig(),
	}
}

// Cause is the reason for a control message, for the byte counters.
type Cause uint8

// The causes.
const (
	CausePush Cause = iota
	CauseHeal
	CauseDigest
	CauseMembership
	CauseCensus
)

// Send is a message for one neighbour.
type Send struct {
	To    string
	Msg   *Message
	Cause Cause
}

// Effects is what the caller of an Engine method must carry out.
type Effects struct {
	Sends []Send
	// Advanced lists the documents that moved to a newer version.
	Advanced []Doc
	// MembersChanged asks for the overlay to be computed anew.
	MembersChanged bool
	// Flush asks for a call of Engine.Flush after a short while.
	Flush bool
	// Surveys holds finished queries that were asked at this node.
	Surveys []Survey
	// Errors are defects of messages, for a counter and the log.
	Errors []error
}

// Survey is the result of a status query asked at this node.
type Survey struct {
	ID    uint64
	Nodes []NodeStatus // sorted by name
}

// Engine joins the replicas, the membership view and the census of one node.
// It is not safe for concurrent use.
type Engine struct {
	cfg     EngineConfig
	self    membership.Instance
	docs    [docCount]*replica
	View    *membership.View
	census  *census
	links   map[string]bool
	source  time.Time // when the platform last answered, as far as known
	reading bool
	traffic Traffic
	started time.Time
	list    *membership.List
	rank    int // place among the possible readers of the data centre
	pending []pendingRumor
	told    map[string]bool // neighbours whose digest has come since the link or a pause
	offered [docCount]Offer
}

// Offer is the last document read from the platform by this node.
type Offer struct {
	ID  version.ID
	Err error // why it was refused, nil if it was not
}

// NewEngine returns the engine of the instance self. checkTable decides
// about tables and puts them in force; the engine keeps the list itself.
func NewEngine(cfg EngineConfig, self membership.Instance, checkTable Check, now time.Time) *Engine {
	e := &Engine{
		cfg:     cfg,
		self:    self,
		View:    membership.NewView(cfg.Membership, self),
		census:  newCensus(),
		links:   make(map[string]bool),
		started: now,
		told:    make(map[string]bool),
		rank:    cfg.Readers, // no reader before the list is known
	}
	e.docs[DocTable] = newReplica(DocTable, checkTable)
	e.docs[DocList] = newReplica(DocList, e.checkList)
	return e
}

func (e *Engine) checkList(raw []byte) (Checked, error) {
	list, id, err := membership.ParseList(raw)
	if err != nil {
		return Checked{ID: id}, err
	}
	return Checked{ID: id, Commit: func() { e.list = list }}, nil
}

// Held returns the version of a document in force.
func (e *Engine) Held(d Doc) version.ID { return e.docs[d].held }

// Refused returns the newest refusal of a version newer than the held one, or
// nil.
func (e *Engine) Refused(d Doc) *Refusal { return e.docs[d].lastRefusal() }

// LinkUp greets a new neighbour with a digest and what it may not know.
func (e *Engine) LinkUp(now time.Time, peer string) Effects {
	var fx Effects
	e.links[peer] = true
	rumors := append([]membership.Rumor{e.View.Own()}, e.View.Doubts()...)
	fx.send(peer, CauseDigest, &Message{Digest: e.digest(now)})
	fx.send(peer, CauseMembership, &Message{Rumors: rumors})
	return fx
}

// LinkDown forgets a neighbour. doubt says that it did not answer, and that
// this node is the one to say so.
func (e *Engine) LinkDown(now time.Time, peer string, doubt bool) Effects {
	var fx Effects
	delete(e.links, peer)
	delete(e.told, peer)
	for _, r := range e.docs {
		r.forget(peer)
	}
	e.census.lost(peer)
	if doubt {
		if r, news := e.View.Doubt(peer, now); news {
			e.spread(&fx, "", r)
		}
	}
	e.finishSurveys(&fx, now)
	return fx
}

// Publish takes a document read from the platform.
func (e *Engine) Publish(now time.Time, d Doc, raw []byte) Effects {
	var fx Effects
	e.source = now
	id, advanced, err := e.docs[d].offer(now, SourcePlatform, raw)
	e.offered[d] = Offer{ID: id, Err: err}
	fx.fail(err)
	if advanced {
		e.advanced(&fx, now, d, "")
	}
	return fx
}

// SourceAnswered notes that the platform answered without news.
func (e *Engine) SourceAnswered(now time.Time) { e.source = now }

// Receive handles a message from a neighbour.
func (e *Engine) Receive(now time.Time, from string, m *Message) Effects {
	var fx Effects
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
	if m.Query != nil {
		e.receiveQuery(&fx, now, from, *m.Query)
	}
	if m.Reply != nil {
		e.census.answer(from, *m.Reply)
		e.finishSurveys(&fx, now)
	}
	return fx
}

func (e *Engine) receiveDigest(fx *Effects, now time.Time, from string, d *Digest) {
	e.told[from] = true
	if d.Ask {
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

func (e *Engine) receiveUpdate(fx *Effects, now time.Time, from string, u Update) {
	advanced, want, err := e.docs[u.Doc].update(now, from, u)
	fx.fail(err)
	if want != nil {
		fx.send(from, CauseHeal, &Message{Wants: []Want{*want}})
	}
	if advanced {
		e.advanced(fx, now, u.Doc, from)
	}
}

func (e *Engine) receiveWant(fx *Effects, from string, w Want) {
	r := e.docs[w.Doc]
	r.known[from] = w.Have
	if updates := r.answer(w.Have); updates != nil {
		r.known[from] = r.held
		fx.send(from, CauseHeal, &Message{Updates: updates})
	}
}

func (e *Engine) receiveRumors(fx *Effects, now time.Time, from string, rumors []membership.Rumor) {
	for _, r := range rumors {
		news, refute := e.View.Hear(r, now)
		if news {
			e.spread(fx, from, r)
		}
		if refute != nil {
			e.spread(fx, "", *refute)
		}
	}
}

// pendingRumor is a rumor on its way to all neighbours but the one it came
// from.
type pendingRumor struct {
	rumor membership.Rumor
	from  string
}

// spread queues a rumor for the next Flush. Rumors come in herds, when many
// instances start or fail at once; one message a link then carries them all.
func (e *Engine) spread(fx *Effects, from string, r membership.Rumor) {
	fx.MembersChanged = true
	fx.Flush = fx.Flush || len(e.pending) == 0
	e.pending = append(e.pending, pendingRumor{r, from})
}

// Flush sends the queued rumors.
func (e *Engine) Flush() Effects {
	var fx Effects
	for _, peer := range e.neighbours() {
		var batch []membership.Rumor
		for _, p := range e.pending {
			if p.from != peer {
				batch = append(batch, p.rumor)
			}
		}
		if len(batch) > 0 {
			fx.send(peer, CauseMembership, &Message{Rumors: batch})
		}
	}
	e.pending = nil
	return fx
}

// advanced pushes a new version to the neighbours that lack it.
func (e *Engine) advanced(fx *Effects, now time.Time, d Doc, from string) {
	fx.Advanced = append(fx.Advanced, d)
	if d == DocList {
		e.View.SetList(e.list, now)
		// Before the next read is decided on, or every node that just learned
		// the list would take itself for a reader.
		e.Rank(e.View.Members(now))
		fx.MembersChanged = true
	}
	for _, peer := range e.neighbours() {
		if peer == from {
			continue
		}
		updates, offer := e.docs[d].push(peer)
		switch {
		case updates != nil:
			fx.send(peer, CausePush, &Message{Updates: updates})
		case offer:
			fx.send(peer, CauseDigest, &Message{Digest: e.digest(now)})
		}
	}
}

// Tick is called a few times a second; it ends overdue queries.
func (e *Engine) Tick(now time.Time) Effects {
	var fx Effects
	e.finishSurveys(&fx, now)
	return fx
}

// DigestTo returns the digest due on one link.
func (e *Engine) DigestTo(now time.Time, peer string) Effects {
	var fx Effects
	fx.send(peer, CauseDigest, &Message{Digest: e.digest(now)})
	return fx
}

// Leave announces that this instance leaves, or that it does not any more.
func (e *Engine) Leave(leaving bool) Effects {
	var fx Effects
	e.spread(&fx, "", e.View.Leave(leaving))
	return fx
}

// Awake asks all neighbours what they hold, after this process was paused.
func (e *Engine) Awake(now time.Time) Effects {
	var fx Effects
	clear(e.told)
	for _, peer := range e.neighbours() {
		d := e.digest(now)
		d.Ask = true
		fx.send(peer, CauseDigest, &Message{Digest: d})
	}
	return fx
}

// InSync reports whether a neighbour has told what it holds and holds no newer
// table.
func (e *Engine) InSync() bool {
	t := e.docs[DocTable]
	for peer := range e.told {
		if !t.known[peer].Newer(t.held) {
			return !t.held.IsZero()
		}
	}
	return false
}

// maxSourceAge stands for "never", in milliseconds.
const maxSourceAge = uint64(1) << 40

func (e *Engine) sourceAge(now time.Time) uint64 {
	if e.source.IsZero() {
		return maxSourceAge
	}
	return uint64(max(0, now.Sub(e.source).Milliseconds()))
}

func (e *Engine) digest(now time.Time) *Digest {
	d := &Digest{SourceAge: e.sourceAge(now)}
	for doc, r := range e.docs {
		d.Held[doc] = r.held
	}
	return d
}

func (e *Engine) neighbours() []string { return slices.Sorted(maps.Keys(e.links)) }

func (fx *Effects) send(to string, c Cause, m *Message) {
	fx.Sends = append(fx.Sends, Send{To: to, Msg: m, Cause: c})
}

func (fx *Effects) fail(err error) {
	if err != nil {
		fx.Errors = append(fx.Errors, err)
	}
}
