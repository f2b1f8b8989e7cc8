package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Status is what a node believes about an instance.
type Status uint8

// The statuses in order of precedence at the same incarnation: a later one
// replaces an earlier one.
const (
	Alive Status = iota
	Suspect
	Leaving // leaves by its own word or the list's; finishes its work
	Gone
)

// String returns the lower-case name of the status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[min(s, Gone)]
}

// MarshalText encodes the status by its name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Rumor is one statement about an instance that travels between nodes.
// Incarnation starts at the instance's Generation and is raised by the
// instance itself to refute a suspicion.
type Rumor struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Status      Status `cbor:"3,keyasint"`
	// Instance comes with a join, for nodes whose list lags behind it.
	Instance *Instance `cbor:"4,keyasint,omitempty"`
}

// supersedes reports whether r replaces old.
func (r Rumor) supersedes(old Rumor) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Status > old.Status
}

// Config holds the timing of the view.
type Config struct {
	// SuspicionTimeout is how long an instance stays suspect before it counts
	// as gone. Longer forgives longer pauses, shorter leaves a dead peer
	// sooner. Unit: time; default 5 s.
	SuspicionTimeout time.Duration
	// JoinGrace is how long an instance known only by its own join is kept
	// while the platform's list does not show it. Default 60 s.
	JoinGrace time.Duration
	// MaxMembers bounds the instances kept. Default 16384.
	MaxMembers int
}

// DefaultConfig returns the defaults given at the fields of Config.
func DefaultConfig() Config {
	return Config{SuspicionTimeout: 5 * time.Second, JoinGrace: time.Minute, MaxMembers: 16384}
}

// Member is an instance with the status that this node believes.
type Member struct {
	Instance
	Status Status
	// ColdSince is when a process that is slow after its start was first heard of;
	// zero if it is not known to be.
	ColdSince time.Time
	// ColdFrom and ColdUntil are the times, as far as they are published, between which
	// the instance is cold and bears ColdRate requests a second from this node; a
	// ColdRate of 0 means any rate.
	ColdFrom, ColdUntil time.Time
	ColdRate            float64
	// LinkMbps is the rate of its machine's link in Mbit/s; 0 if it is not known.
	LinkMbps uint32
	// Evacuated says that operators want nothing sent to the instance: its data centre
	// is evacuated. It is no word on the instance itself.
	Evacuated bool
}

type entry struct {
	inst     Instance
	listed   bool
	listPeer netip.AddrPort // address in the last list that showed the instance
	rumor    Rumor
	hasRumor bool
	since    time.Time // when the rumor was taken
}

// View combines list and rumors. It is not safe for concurrent use.
type View struct {
	cfg     Config
	self    Instance
	inc     uint64
	leaving bool
	entries map[string]*entry
}

// NewView returns the view of the instance self, which knows only itself.
func NewView(cfg Config, self Instance) *View {
	v := &View{cfg: cfg, self: self, inc: self.Generation, entries: make(map[string]*entry)}
	v.entries[self.Name] = &entry{inst: self, listed: true}
	return v
}

// SetList replaces the platform's list.
func (v *View) SetList(l *List, now time.Time) {
	listed := make(map[string]bool, len(l.Instances))
	for _, in := range l.Instances {
		if in.Name == v.self.Name {
			continue
		}
		listed[in.Name] = true
		v.takeListed(in)
	}
	for name, e := range v.entries {
		if name == v.self.Name || listed[name] {
			continue
		}
		e.listed = false
		if !e.hasRumor || now.Sub(e.since) > v.cfg.JoinGrace {
			delete(v.entries, name)
		}
	}
}

func (v *View) takeListed(in Instance) {
	e, ok := v.entries[in.Name]
	if !ok {
		if len(v.entries) >= v.cfg.MaxMembers {
			return
		}
		e = &entry{}
		v.entries[in.Name] = e
	}
	e.listed = true
	// A join may be newer than the list, which then still names the address
	// of the previous process; but an address that the list has changed is newer
	// than the join that came before.
	moved := e.listPeer.IsValid() && e.listPeer != in.Peer
	e.listPeer = in.Peer
	if in.Generation >= e.inst.Generation || moved {
		e.inst = in
	}
}

// Apply takes in a rumor and reports whether it was news, to be passed on. If
// the rumor wrongly doubts this instance itself, refute holds the answer to
// send.
func (v *View) Apply(r Rumor, now time.Time) (news bool, refute *Rumor) {
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
	if r.Instance != nil && r.Instance.Name == r.Name && r.Instance.Generation >= e.inst.Generation {
		e.inst = *r.Instance
	}
	e.rumor, e.hasRumor, e.since = r, true, now
	return true, nil
}

func (v *View) accepts(e *entry, r Rumor) bool {
	if e.hasRumor {
		return r.supersedes(e.rumor)
	}
	return r.Incarnation >= e.inst.Generation
}

func (v *View) refute(r Rumor) *Rumor {
	own := v.SelfRumor()
	if r.Incarnation < v.inc || !r.supersedes(own) {
		return nil
	}
	v.inc = r.Incarnation + 1
	own = v.SelfRumor()
	return &own
}

// SelfRumor returns the rumor by which this instance announces itself.
func (v *View) SelfRumor() Rumor {
	inst := v.self
	r := Rumor{Name: v.self.Name, Incarnation: v.inc, Status: Alive, Instance: &inst}
	if v.leaving {
		r.Status = Leaving
	}
	return r
}

// SetLeaving marks this instance as leaving, or as staying after all, and returns
// the rumor to send.
func (v *View) SetLeaving(leaving bool) Rumor {
	if v.leaving && !leaving {
		v.inc++ // alive replaces leaving only at a higher incarnation
	}
	v.leaving = leaving
	return v.SelfRumor()
}

// Suspect returns the rumor that the named instance does not answer, or false
// if it is unknown or already doubted.
func (v *View) Suspect(name string, now time.Time) (Rumor, bool) {
	e, ok := v.entries[name]
	if !ok || name == v.self.Name || v.status(e, now) != Alive {
		return Rumor{}, false
	}
	r := Rumor{Name: name, Incarnation: v.incarnation(e), Status: Suspect}
	news, _ := v.Apply(r, now)
	return r, news
}

func (v *View) incarnation(e *entry) uint64 {
	if e.hasRumor {
		return max(e.rumor.Incarnation, e.inst.Generation)
	}
	return e.inst.Generation
}

// status combines list and rumor for one entry.
func (v *View) status(e *entry, now time.Time) Status {
	st := Alive
	if e.hasRumor && e.rumor.Incarnation >= e.inst.Generation {
		st = e.rumor.Status
		if st == Suspect && now.Sub(e.since) >= v.cfg.SuspicionTimeout {
			st = Gone
		}
	}
	// The list says leaving of this very process or an earlier one; a later
	// process under the same name has announced a higher incarnation.
	if e.inst.State == ListedLeaving && st < Leaving {
		st = Leaving
	}
	if !e.listed && now.Sub(e.since) > v.cfg.JoinGrace {
		st = Gone
	}
	return st
}

// Status returns what is believed about the named instance; unknown ones are
// Gone.
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
		out = append(out, Member{Instance: e.inst, Status: v.Status(name, now)})
	}
	return out
}

// NonAliveRumors returns the rumors that differ from Alive, which a new link is told.
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
