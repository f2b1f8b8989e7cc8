package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Status is the state of an instance as this node knows it.
type Status uint8

// The statuses in order of precedence: at the same incarnation a higher status replaces a
// lower one.
const (
	Alive Status = iota
	Suspect
	Leaving // announced by the instance itself or by the list; finishes its requests
	Gone
)

// String returns the lower-case name of the status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[min(s, Gone)]
}

// MarshalText encodes the status by its name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Rumor is a statement about the status of an instance that nodes gossip. Incarnation
// starts at the Generation of the instance; the instance itself increments it to refute a
// suspicion.
type Rumor struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Status      Status `cbor:"3,keyasint"`
	// Instance is set when an instance announces itself, for nodes whose list does not
	// show it yet.
	Instance *Instance `cbor:"4,keyasint,omitempty"`
}

// supersedes reports whether r replaces old.
func (r Rumor) supersedes(old Rumor) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Status > old.Status
}

// Config holds the timeouts and limits of a View.
type Config struct {
	// SuspicionTimeout is how long an instance stays suspect before it counts as gone. A
	// longer timeout tolerates longer process pauses, a shorter one drops a dead peer
	// sooner. Default 5 s.
	SuspicionTimeout time.Duration
	// JoinGrace is how long an instance known from rumors alone is kept while the
	// platform's list does not contain it. Default 60 s.
	JoinGrace time.Duration
	// MaxMembers bounds the number of known instances. Default 16384.
	MaxMembers int
}

// DefaultConfig returns the default of each field of Config.
func DefaultConfig() Config {
	return Config{SuspicionTimeout: 5 * time.Second, JoinGrace: time.Minute, MaxMembers: 16384}
}

// Member is an instance with all that this node knows of it.
type Member struct {
	Instance
	Status Status
	// ColdSince is when this node first learned that the instance is cold, that is slow
	// after its start; zero if it is not known to be cold.
	ColdSince time.Time
	// ColdFrom and ColdUntil bound the published cold start of the instance, during which
	// this node may send it ColdRate requests per second; 0 means no limit.
	ColdFrom, ColdUntil time.Time
	ColdRate            float64
	// LinkMbps is the rate of its machine's link in Mbit/s; 0 if it is not known.
	LinkMbps uint32
	// Evacuated says that operators evacuated the data centre of the instance, so that no
	// requests are sent to it. The instance itself may be healthy.
	Evacuated bool
}

type entry struct {
	instance   Instance
	listed     bool
	listedPeer netip.AddrPort // address in the last list that contained the instance
	rumor      Rumor
	hasRumor   bool
	rumorAt    time.Time // when the rumor was accepted
}

// View is the membership as one node knows it, merged from the list and from rumors. It
// is not safe for concurrent use.
type View struct {
	cfg         Config
	self        Instance
	incarnation uint64
	leaving     bool
	entries     map[string]*entry
}

// NewView returns the view of the instance self, which contains self only.
func NewView(cfg Config, self Instance) *View {
	v := &View{cfg: cfg, self: self, incarnation: self.Generation, entries: make(map[string]*entry)}
	v.entries[self.Name] = &entry{instance: self, listed: true}
	return v
}

// SetList applies a new version of the platform's list. An instance that the list no
// longer contains is removed, but kept for Config.JoinGrace after a rumor about it.
func (v *View) SetList(l *List, now time.Time) {
	listed := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		if in.Name == v.self.Name {
			continue
		}
		listed[in.Name] = true
		v.applyListed(in)
	}
	for name, e := range v.entries {
		if name == v.self.Name || listed[name] {
			continue
		}
		e.listed = false
		if !e.hasRumor || now.Sub(e.rumorAt) > v.cfg.JoinGrace {
			delete(v.entries, name)
		}
	}
}

func (v *View) applyListed(in Instance) {
	e, ok := v.entries[in.Name]
	if !ok {
		if len(v.entries) >= v.cfg.MaxMembers {
			return
		}
		e = &entry{}
		v.entries[in.Name] = e
	}
	e.listed = true
	// The instance may have announced itself after the list was published, which then
	// still shows the address of the earlier process. But an address that changed between
	// two lists is newer than an announcement received before.
	moved := e.listedPeer.IsValid() && e.listedPeer != in.Peer
	e.listedPeer = in.Peer
	if in.Generation >= e.instance.Generation || moved {
		e.instance = in
	}
}

// Apply applies a rumor and reports whether it changed the view and has to be gossiped
// further. If the rumor wrongly suspects this instance itself, refute is the rumor to send
// in response.
func (v *View) Apply(r Rumor, now time.Time) (changed bool, refute *Rumor) {
	if r.Status > Gone {
		return false, nil
	}
	if r.Name == v.self.Name {
		return false, v.refute(r)
	}
	e, ok := v.entries[r.Name]
	if !ok {
		if r.Instance == nil || len(v.entries) >= v.cfg.MaxMembers {
			return false, nil
		}
		e = &entry{}
		v.entries[r.Name] = e
	}
	if !v.accepts(e, r) {
		return false, nil
	}
	if r.Instance != nil && r.Instance.Name == r.Name && r.Instance.Generation >= e.instance.Generation {
		e.instance = *r.Instance
	}
	e.rumor, e.hasRumor, e.rumorAt = r, true, now
	return true, nil
}

func (v *View) accepts(e *entry, r Rumor) bool {
	if e.hasRumor {
		return r.supersedes(e.rumor)
	}
	return r.Incarnation >= e.instance.Generation
}

func (v *View) refute(r Rumor) *Rumor {
	own := v.SelfRumor()
	if r.Incarnation < v.incarnation || !r.supersedes(own) {
		return nil
	}
	v.incarnation = r.Incarnation + 1
	own = v.SelfRumor()
	return &own
}

// SelfRumor returns the rumor that announces this instance.
func (v *View) SelfRumor() Rumor {
	inst := v.self
	r := Rumor{Name: v.self.Name, Incarnation: v.incarnation, Status: Alive, Instance: &inst}
	if v.leaving {
		r.Status = Leaving
	}
	return r
}

// SetLeaving marks this instance as leaving, or revokes that, and returns the rumor to
// send.
func (v *View) SetLeaving(leaving bool) Rumor {
	if v.leaving && !leaving {
		v.incarnation++ // alive replaces leaving only at a higher incarnation
	}
	v.leaving = leaving
	return v.SelfRumor()
}

// Suspect marks the named instance as suspect because it does not respond, and returns the
// rumor to send. It returns false if the instance is unknown or not alive.
func (v *View) Suspect(name string, now time.Time) (Rumor, bool) {
	e, ok := v.entries[name]
	if !ok || name == v.self.Name || v.status(e, now) != Alive {
		return Rumor{}, false
	}
	r := Rumor{Name: name, Incarnation: v.incarnationOf(e), Status: Suspect}
	changed, _ := v.Apply(r, now)
	return r, changed
}

func (v *View) incarnationOf(e *entry) uint64 {
	if e.hasRumor {
		return max(e.rumor.Incarnation, e.instance.Generation)
	}
	return e.instance.Generation
}

// status merges list and rumor of one entry.
func (v *View) status(e *entry, now time.Time) Status {
	st := Alive
	if e.hasRumor && e.rumor.Incarnation >= e.instance.Generation {
		st = e.rumor.Status
		if st == Suspect && now.Sub(e.rumorAt) >= v.cfg.SuspicionTimeout {
			st = Gone
		}
	}
	// A leaving state of the list is about the process whose generation e.instance has, or
	// an earlier one. A later process under the same name replaces e.instance when it
	// announces itself.
	if e.instance.State == ListedLeaving && st < Leaving {
		st = Leaving
	}
	if !e.listed && now.Sub(e.rumorAt) > v.cfg.JoinGrace {
		st = Gone
	}
	return st
}

// Status returns the status of the named instance; an unknown one is Gone.
func (v *View) Status(name string, now time.Time) Status {
	if name == v.self.Name {
		return v.SelfRumor().Status
	}
	e, ok := v.entries[name]
	if !ok {
		return Gone
	}
	return v.status(e, now)
}

// Members returns all known instances, this one included, sorted by name.
func (v *View) Members(now time.Time) []Member {
	out := make([]Member, 0, len(v.entries))
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[name]
		out = append(out, Member{Instance: e.instance, Status: v.Status(name, now)})
	}
	return out
}

// NonAliveRumors returns the rumors about instances that are not alive, which a node sends
// over each new link.
func (v *View) NonAliveRumors() []Rumor {
	var out []Rumor
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[name]
		if e.hasRumor && e.rumor.Status != Alive {
			out = append(out, e.rumor)
		}
	}
	return out
}

// Len returns the number of known instances.
func (v *View) Len() int { return len(v.entries) }
