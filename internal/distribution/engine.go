package distribution

import (
	"maps"
	"slices"
	"time"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/version"
)

// EngineConfig holds the timing of an Engine.
type EngineConfig struct {
	// DigestInterval is the mean time between digests on a link. A shorter one repairs
	// lost updates sooner, a longer one sends fewer bytes. Default 5 s.
	DigestInterval time.Duration
	// Readers is the number of nodes in each data centre that always watch the platform.
	// More tolerate more concurrent failures, fewer spare the platform: each makes one
	// call per change and document. Default 2.
	Readers int
	// TakeoverAge is the time without a response of the platform after which other nodes
	// begin to read it, in the order of their rank. Default 30 s.
	TakeoverAge time.Duration
	// TakeoverStep is added to TakeoverAge for each further rank. Default 2 s.
	TakeoverStep time.Duration
	// Membership holds the timing of the membership view.
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

// StatusResult is the result of a status query started at this node.
type StatusResult struct {
	ID    uint64
	Nodes []NodeStatus // sorted by name
}

// Engine combines the replicas, the membership view and the status queries of one node.
// It is not safe for concurrent use.
type Engine struct {
	cfg               EngineConfig
	self              membership.Instance
	docs              [docCount]*replica
	View              *membership.View
	queries           *queryTracker
	links             map[string]bool
	lastSourceContact time.Time // when the platform last responded to any node, as far as known
	isReader          bool
	traffic           Traffic
	started           time.Time
	list              *membership.List
	rank              int // position among the possible readers of the data centre
	pendingRumors     []pendingRumor
	// digestSeen holds the neighbours that have sent a digest since their link came up or
	// the process last paused.
	digestSeen map[string]bool
	lastRead   [docCount]SourceRead
}

// SourceRead is the last document that this node read from the platform.
type SourceRead struct {
	ID  version.ID
	Err error // reason for its rejection; nil if it was accepted
}

// NewEngine returns the engine of the instance self. checkTable validates tables and puts
// them in force; the engine keeps the instance list itself.
func NewEngine(cfg EngineConfig, self membership.Instance, checkTable Check, now time.Time) *Engine {
	e := &Engine{
		cfg:        cfg,
		self:       self,
		View:       membership.NewView(cfg.Membership, self),
		queries:    newQueryTracker(),
		links:      make(map[string]bool),
		started:    now,
		digestSeen: make(map[string]bool),
		rank:       cfg.Readers, // not a reader before the list is known
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

// ListDefects returns the defects of the list in force.
func (e *Engine) ListDefects() []membership.Defect {
	if e.list == nil {
		return nil
	}
	return e.list.Defects
}

// Held returns the version of a document in force.
func (e *Engine) Held(d Doc) version.ID { return e.docs[d].held }

// Refused returns the latest rejection of a version newer than the held one, or nil.
func (e *Engine) Refused(d Doc) *Refusal { return e.docs[d].lastRefusal() }

// LinkUp sends a new neighbour a digest and the rumors that it may lack.
func (e *Engine) LinkUp(now time.Time, peer string) Actions {
	var actions Actions
	e.links[peer] = true
	rumors := append([]membership.Rumor{e.View.SelfRumor()}, e.View.NonAliveRumors()...)
	actions.addMessage(peer, CauseDigest, &Message{Digest: e.digest(now)})
	actions.addMessage(peer, CauseMembership, &Message{Rumors: rumors})
	return actions
}

// LinkDown removes a neighbour. suspect means that the neighbour is unresponsive and that
// this node is to spread the suspicion.
func (e *Engine) LinkDown(now time.Time, peer string, suspect bool) Actions {
	var actions Actions
	delete(e.links, peer)
	delete(e.digestSeen, peer)
	for _, r := range e.docs {
		r.forgetPeer(peer)
	}
	e.queries.neighbourLost(peer)
	if suspect {
		if r, changed := e.View.Suspect(peer, now); changed {
			e.queueRumor(&actions, "", r)
		}
	}
	e.completeQueries(&actions, now)
	return actions
}

// Publish applies a document read from the platform.
func (e *Engine) Publish(now time.Time, d Doc, raw []byte) Actions {
	var actions Actions
	e.lastSourceContact = now
	id, advanced, err := e.docs[d].apply(now, SourcePlatform, raw)
	e.lastRead[d] = SourceRead{ID: id, Err: err}
	actions.addError(err)
	if advanced {
		e.pushVersion(&actions, now, d, "")
	}
	return actions
}

// SourceUnchanged records that the platform responded without a change.
func (e *Engine) SourceUnchanged(now time.Time) { e.lastSourceContact = now }

// pushVersion handles a version that has come into force and pushes it to the neighbours
// that lack it.
func (e *Engine) pushVersion(actions *Actions, now time.Time, d Doc, from string) {
	actions.Advanced = append(actions.Advanced, d)
	if d == DocList {
		e.View.SetList(e.list, now)
		// The rank must be current before the next read is decided on, or every node that
		// has just received the list would consider itself a reader.
		e.UpdateReaderRank(e.View.Members(now))
		actions.MembersChanged = true
	}
	for _, peer := range e.neighbours() {
		if peer == from {
			continue
		}
		updates, offer := e.docs[d].pushUpdates(peer)
		switch {
		case updates != nil:
			actions.addMessage(peer, CausePush, &Message{Updates: updates})
		case offer:
			actions.addMessage(peer, CauseDigest, &Message{Digest: e.digest(now)})
		}
	}
}

// Tick is called a few times per second; it ends overdue queries.
func (e *Engine) Tick(now time.Time) Actions {
	var actions Actions
	e.completeQueries(&actions, now)
	return actions
}

// DigestTo returns the digest that is due on one link.
func (e *Engine) DigestTo(now time.Time, peer string) Actions {
	var actions Actions
	actions.addMessage(peer, CauseDigest, &Message{Digest: e.digest(now)})
	return actions
}

// SetLeaving announces whether this instance is leaving.
func (e *Engine) SetLeaving(leaving bool) Actions {
	var actions Actions
	e.queueRumor(&actions, "", e.View.SetLeaving(leaving))
	return actions
}

// RequestDigests requests a digest from all neighbours, after a process pause.
func (e *Engine) RequestDigests(now time.Time) Actions {
	var actions Actions
	clear(e.digestSeen)
	for _, peer := range e.neighbours() {
		d := e.digest(now)
		d.RequestDigest = true
		actions.addMessage(peer, CauseDigest, &Message{Digest: d})
	}
	return actions
}

// InSync reports whether a neighbour that has sent its digest holds no newer table than
// this node.
func (e *Engine) InSync() bool {
	t := e.docs[DocTable]
	for peer := range e.digestSeen {
		if !t.peerVersions[peer].Newer(t.held) {
			return !t.held.IsZero()
		}
	}
	return false
}

// neverSourceAge is the source age, in milliseconds, that means that no node has had a
// response of the platform.
const neverSourceAge = uint64(1) << 40

func (e *Engine) sourceAge(now time.Time) uint64 {
	if e.lastSourceContact.IsZero() {
		return neverSourceAge
	}
	return uint64(max(0, now.Sub(e.lastSourceContact).Milliseconds()))
}

func (e *Engine) digest(now time.Time) *Digest {
	d := &Digest{SourceAge: e.sourceAge(now)}
	for doc, r := range e.docs {
		d.Held[doc] = r.held
	}
	return d
}

func (e *Engine) neighbours() []string { return slices.Sorted(maps.Keys(e.links)) }
