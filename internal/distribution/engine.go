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

// StatusResult is the result of a status query asked at this node.
type StatusResult struct {
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
	offered [docCount]SourceRead
}

// SourceRead is the last document read from the platform by this node.
type SourceRead struct {
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
func (e *Engine) LinkUp(now time.Time, peer string) Actions {
	var fx Actions
	e.links[peer] = true
	rumors := append([]membership.Rumor{e.View.SelfRumor()}, e.View.NonAliveRumors()...)
	fx.send(peer, CauseDigest, &Message{Digest: e.digest(now)})
	fx.send(peer, CauseMembership, &Message{Rumors: rumors})
	return fx
}

// LinkDown forgets a neighbour. doubt says that it did not answer, and that
// this node is the one to say so.
func (e *Engine) LinkDown(now time.Time, peer string, doubt bool) Actions {
	var fx Actions
	delete(e.links, peer)
	delete(e.told, peer)
	for _, r := range e.docs {
		r.forget(peer)
	}
	e.census.lost(peer)
	if doubt {
		if r, news := e.View.Suspect(peer, now); news {
			e.spread(&fx, "", r)
		}
	}
	e.finishSurveys(&fx, now)
	return fx
}

// Publish takes a document read from the platform.
func (e *Engine) Publish(now time.Time, d Doc, raw []byte) Actions {
	var fx Actions
	e.source = now
	id, advanced, err := e.docs[d].offer(now, SourcePlatform, raw)
	e.offered[d] = SourceRead{ID: id, Err: err}
	fx.fail(err)
	if advanced {
		e.advanced(&fx, now, d, "")
	}
	return fx
}

// SourceUnchanged notes that the platform answered without news.
func (e *Engine) SourceUnchanged(now time.Time) { e.source = now }

// advanced pushes a new version to the neighbours that lack it.
func (e *Engine) advanced(fx *Actions, now time.Time, d Doc, from string) {
	fx.Advanced = append(fx.Advanced, d)
	if d == DocList {
		e.View.SetList(e.list, now)
		// Before the next read is decided on, or every node that just learned
		// the list would take itself for a reader.
		e.UpdateReaderRank(e.View.Members(now))
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
func (e *Engine) Tick(now time.Time) Actions {
	var fx Actions
	e.finishSurveys(&fx, now)
	return fx
}

// DigestTo returns the digest due on one link.
func (e *Engine) DigestTo(now time.Time, peer string) Actions {
	var fx Actions
	fx.send(peer, CauseDigest, &Message{Digest: e.digest(now)})
	return fx
}

// SetLeaving announces that this instance leaves, or that it does not any more.
func (e *Engine) SetLeaving(leaving bool) Actions {
	var fx Actions
	e.spread(&fx, "", e.View.SetLeaving(leaving))
	return fx
}

// RequestDigests asks all neighbours what they hold, after this process was paused.
func (e *Engine) RequestDigests(now time.Time) Actions {
	var fx Actions
	clear(e.told)
	for _, peer := range e.neighbours() {
		d := e.digest(now)
		d.RequestDigest = true
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
