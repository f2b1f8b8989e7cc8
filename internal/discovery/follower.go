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

// Follower keeps the snapshot in force up to date from a Source and from the peer updates
// of other nodes.
type Follower struct {
	cfg      Config
	source   Source
	peers    Peers
	holder   *snapshot.Holder
	log      *log.Logger
	onChange func(*Directory)
	runID    uint64 // identifies this run of the node in cursors

	dir          atomic.Pointer[Directory]
	callerLimits atomic.Pointer[CallerLimits]
	coldStarts   atomic.Pointer[map[string]ColdStart]
	callCount    atomic.Int64 // of the store
	// unreachableSinceAtomic is a copy of unreachableSince for readers without the lock; nil
	// while the store is reachable.
	unreachableSinceAtomic atomic.Pointer[time.Time]
	// syncedAtAtomic is a copy of syncedAt for readers without the lock; nil for none.
	syncedAtAtomic atomic.Pointer[time.Time]

	mu               sync.Mutex // guards the fields below
	registry         *Registry
	document         *Document
	services         map[string]bool // services named by document; nil before there is one
	previousDocument *Document       // the table before document, while document may still be reverted
	loggedFindings   findingLog
	documentSince    time.Time         // when document was received
	documentFrom     string            // SourceStore or the node that sent document
	deflatedDocument []byte            // document as sent to other nodes; nil until one requests it
	links            links             // link rates of nodes
	lastPeerRequest  time.Time         // when a node last sent a peer request
	tableSteps       table.RecentSteps // the patches that led to document
	// patches are the encoded patches to document, by base version.
	patches             map[version.ID][]byte
	listed              bool      // the store was listed, and changes since then can be watched
	staleListed         bool      // the first listing, which may be stale, has been received
	firstUpdateDeadline time.Time // until when a node without any peer update waits for the first one
	historyLostAt       uint64    // revision whose later changes the store no longer had
	unreachableSince    time.Time
	// syncedAt is the latest time as of which everything that the store held is known.
	syncedAt        time.Time
	updated         chan struct{} // closed when syncedAt or the known state has changed
	reader          bool          // this node reads the store for others
	sources         []membership.Instance
	readingStore    bool    // this node reads the store now, for whatever reason
	stalenessLogged bool    // staleness above ChangeBound was logged
	roleComputedFor *string // own upstream for which reader and sources were computed; nil for none
	builds          uint64  // number of snapshots built
	views           views
}

// NewFollower returns a follower that puts snapshots in force in holder and calls
// onChange with each new directory. With nil peers it always reads the store itself.
func NewFollower(cfg Config, source Source, peers Peers, holder *snapshot.Holder, logger *log.Logger, onChange func(*Directory)) *Follower {
	f := &Follower{
		cfg:        cfg,
		source:     source,
		peers:      peers,
		holder:     holder,
		log:        logger,
		registry:   NewRegistry(),
		onChange:   onChange,
		runID:      rand.Uint64(),
		updated:    make(chan struct{}),
		tableSteps: table.RecentSteps{MaxSteps: maxPatchSteps, MaxBytes: maxPatchStepBytes},
		reader:     true, // until the first listing shows the other nodes
	}
	f.dir.Store(&Directory{members: immutable.New[string, membership.Member](nil), byAddress: immutable.New[netip.AddrPort, KnownUpstream](nil)})
	f.callerLimits.Store(&CallerLimits{})
	return f
}

// Member returns the upstream with the given ID. It implements routing.Members.
func (f *Follower) Member(id string) (membership.Member, bool) {
	return f.dir.Load().members.Get(id)
}

// Members returns all known upstreams.
func (f *Follower) Members() []membership.Member {
	members := f.dir.Load().members
	out := make([]membership.Member, 0, members.Len())
	for _, m := range members.All() {
		out = append(out, m)
	}
	return out
}

// Limits returns the limits on callers in force.
func (f *Follower) Limits() CallerLimits { return *f.callerLimits.Load() }

// StoreUnreachableFor returns how long the store has been unreachable for this node; 0 if
// the last call got a response.
func (f *Follower) StoreUnreachableFor(now time.Time) time.Duration {
	since := f.unreachableSinceAtomic.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// Calls returns the number of calls of the store so far.
func (f *Follower) Calls() int64 { return f.callCount.Load() }

// Status is the state of a follower.
type Status struct {
	Reader    bool          // reads the store for others
	Sources   []string      // names of its update sources
	Staleness time.Duration // Follower.Staleness
	// TableAge is the time since the table in force was received, and TableFrom its
	// origin: SourceStore or the node that sent it.
	TableAge  time.Duration
	TableFrom string
	// Evacuated are the data centres whose upstreams get no requests.
	Evacuated []EvacuatedCentre
	// Unusable are the published entries that describe no valid upstream.
	Unusable []Removal
}

// stalenessText is the staleness for log lines, "none" before anything is known. The lock
// is held.
func (f *Follower) stalenessText(now time.Time) string {
	if f.syncedAt.IsZero() {
		return "none"
	}
	return now.Sub(f.syncedAt).String()
}

// HandleResume re-evaluates which calls are needed after the machine was suspended, which
// has made all known state older.
func (f *Follower) HandleResume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyUpdated()
}

// Staleness returns the time since this node last knew the store's whole state;
// unknownStaleness if it never did. It takes no lock, as it is called for every request.
func (f *Follower) Staleness(now time.Time) time.Duration {
	at := f.syncedAtAtomic.Load()
	if at == nil {
		return unknownStaleness
	}
	return now.Sub(*at)
}

// markSynced records that the store's whole state as of the given time is known. The lock
// is held.
func (f *Follower) markSynced(at time.Time) {
	if at.After(f.syncedAt) {
		f.syncedAt = at
		f.syncedAtAtomic.Store(&at)
	}
}

// SourceStore is the Status.TableFrom of a table read from the store.
const SourceStore = "store"

// Status returns the state of the follower.
func (f *Follower) Status(now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Reader: f.reader, Staleness: f.Staleness(now), TableFrom: f.documentFrom, Unusable: f.registry.Unusable(), Evacuated: f.registry.Evacuated()}
	if !f.documentSince.IsZero() {
		s.TableAge = now.Sub(f.documentSince)
	}
	for _, in := range f.sources {
		s.Sources = append(s.Sources, in.Name)
	}
	return s
}

// TableAge returns the time since the table in force was received; 0 without one.
func (f *Follower) TableAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.documentSince.IsZero() {
		return 0
	}
	return now.Sub(f.documentSince)
}

// stalenessCheckInterval is how often the staleness is checked for logging.
const stalenessCheckInterval = 500 * time.Millisecond

// Run follows the source and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx = WithPacing(ctx, time.Sleep)
	var group sync.WaitGroup
	if f.peers != nil {
		for slot := range membership.MaxUpdateSources {
			group.Go(func() { f.followPeers(ctx, slot) })
		}
		group.Go(func() {
			periodic.Run(ctx, linkGossipInterval, func(time.Time) { f.gossipLinks(ctx) })
		})
	}
	group.Go(func() { periodic.Run(ctx, stalenessCheckInterval, f.logStaleness) })
	f.followStore(ctx)
	group.Wait()
}
