package discovery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/walldrift/walldrift/internal/immutable"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/periodic"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// Follower keeps the snapshot in force up to date with a Source and with the
// news of other nodes.
type Follower struct {
	cfg      Config
	source   Source
	peers    Peers
	holder   *snapshot.Holder
	log      *log.Logger
	onChange func(*Directory)
	epoch    uint64 // of this run, for cursors

	dir    atomic.Pointer[Directory]
	limits atomic.Pointer[CallerLimits]
	starts atomic.Pointer[map[string]ColdStart]
	calls  atomic.Int64              // of the store
	away   atomic.Pointer[time.Time] // awaySince; nil while the store answers
	// currentAt is current, for those who do not take the lock; nil for none.
	currentAt atomic.Pointer[time.Time]

	mu       sync.Mutex // guards what follows
	registry *Registry
	document *Document
	services map[string]bool // named by document; nil before there is one
	before   *Document       // the table before document, if that may still be refused
	reported reported
	since    time.Time   // when document came
	from     string      // where it came from
	deflated []byte      // document, for other nodes; nil until one asks
	links    links       // of nodes
	asked    time.Time   // when a node asked for news last
	steps    table.Steps // that led to document
	// patches are the encoded differences of document, by their base.
	patches   map[version.ID][]byte
	listed    bool
	glanced   bool      // the first listing, which may be old, is there
	firstNews time.Time // until when a node without any news waits for them
	dropped   uint64    // revision from which the store could not tell the changes
	awaySince time.Time
	// current is the newest time at which all that the store held was known.
	current time.Time
	tick    chan struct{} // closed when current or belief has moved
	reader  bool          // this node reads the store for others
	sources []membership.Instance
	reading bool    // the store is read now, for whatever reason
	stale   bool    // news older than the bound were reported
	roleOf  *string // upstream for which reader and sources were worked out; nil for none
	builds  uint64
	views   views
}

// NewFollower returns a follower that puts snapshots in force in holder and
// calls onChange with each new directory. With nil peers it always reads the
// store itself.
func NewFollower(cfg Config, source Source, peers Peers, holder *snapshot.Holder, logger *log.Logger, onChange func(*Directory)) *Follower {
	f := &Follower{
		cfg:      cfg,
		source:   source,
		peers:    peers,
		holder:   holder,
		log:      logger,
		registry: NewRegistry(),
		onChange: onChange,
		epoch:    rand.Uint64(),
		tick:     make(chan struct{}),
		steps:    table.Steps{MaxSteps: maxSteps, MaxBytes: maxStepBytes},
		reader:   true, // until the first listing tells
	}
	f.dir.Store(&Directory{members: immutable.New[string, membership.Member](nil), byAddress: immutable.New[netip.AddrPort, KnownUpstream](nil)})
	f.limits.Store(&CallerLimits{})
	return f
}

// Member returns the upstream with the given ID. It is a routing.Members.
func (f *Follower) Member(id string) (membership.Member, bool) {
	return f.dir.Load().members.Get(id)
}

// Members returns all that is believed of the upstreams.
func (f *Follower) Members() []membership.Member {
	members := f.dir.Load().members
	out := make([]membership.Member, 0, members.Len())
	for _, m := range members.All() {
		out = append(out, m)
	}
	return out
}

// Limits returns the limits on callers in force.
func (f *Follower) Limits() CallerLimits { return *f.limits.Load() }

// StoreUnreachableFor returns how long the store has not answered this node; 0 if it did
// when it was last called.
func (f *Follower) StoreUnreachableFor(now time.Time) time.Duration {
	since := f.away.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// Calls returns the number of calls of the store so far.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Status tells where a follower stands.
type Status struct {
	Reader    bool          // reads the store for others
	Sources   []string      // nodes whose news it follows
	Staleness time.Duration // since it last knew all that was published
	// TableAge is the time since the table in force came, and TableFrom where it
	// came from: SourceStore or the node whose news had it.
	TableAge  time.Duration
	TableFrom string
	// Evacuated are the data centres whose upstreams get nothing.
	Evacuated []EvacuatedCentre
	// Unusable are the published entries that name no upstream that can be used.
	Unusable []Removal
}

// newsAge is Age for lines, "none" before anything is known. The lock is held.
func (f *Follower) newsAge(now time.Time) string {
	if f.current.IsZero() {
		return "none"
	}
	return now.Sub(f.current).String()
}

// HandleResume looks anew at what is needed, as the machine was suspended and all that is
// known has become older.
func (f *Follower) HandleResume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announce()
}

// Staleness returns the time since this node last knew all that was published; 0 if it
// never did. It never waits for the lock, as requests ask.
func (f *Follower) Staleness(now time.Time) time.Duration {
	at := f.currentAt.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// knownAge is Age, but unknownAge before anything is known.
func (f *Follower) knownAge(now time.Time) time.Duration {
	if f.currentAt.Load() == nil {
		return unknownAge
	}
	return f.Staleness(now)
}

// know notes that all that the store held at a time is known. The lock is held.
func (f *Follower) know(at time.Time) {
	if at.After(f.current) {
		f.current = at
		f.currentAt.Store(&at)
	}
}

// SourceStore is the Status.TableFrom of a table read from the store.
const SourceStore = "store"

// Status returns where the follower stands.
func (f *Follower) Status(now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Reader: f.reader, Staleness: now.Sub(f.current), TableFrom: f.from, Unusable: f.registry.Unusable(), Evacuated: f.registry.Evacuated()}
	if !f.since.IsZero() {
		s.TableAge = now.Sub(f.since)
	}
	for _, in := range f.sources {
		s.Sources = append(s.Sources, in.Name)
	}
	return s
}

// TableAge returns the time since the table in force was taken; 0 without one.
func (f *Follower) TableAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since.IsZero() {
		return 0
	}
	return now.Sub(f.since)
}

// staleCheck is how often the age of the news is looked at, for lines alone.
const staleCheck = 500 * time.Millisecond

// Run follows the source and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx = WithPacing(ctx, time.Sleep)
	var group sync.WaitGroup
	if f.peers != nil {
		for slot := range membership.MaxUpdateSources {
			group.Go(func() { f.followPeers(ctx, slot) })
		}
		group.Go(func() {
			periodic.Run(ctx, linksPause, func(time.Time) { f.shareLinks(ctx) })
		})
	}
	group.Go(func() { periodic.Run(ctx, staleCheck, f.noteAge) })
	f.followStore(ctx)
	group.Wait()
}
