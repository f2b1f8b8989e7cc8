package discovery

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// Directory is one immutable state of the discovered upstreams.
type Directory struct {
	members   map[string]membership.Member
	byAddress map[netip.AddrPort]Known
}

// At returns the upstream published at an address.
func (d *Directory) At(a netip.AddrPort) (Known, bool) {
	k, ok := d.byAddress[a]
	return k, ok
}

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
	calls  atomic.Int64 // of the store
	away   atomic.Int64 // awaySince in Unix milliseconds; 0 while the store answers

	mu        sync.Mutex // guards what follows
	registry  *Registry
	document  *Document
	since     time.Time // when document came
	from      string    // where it came from
	deflated  []byte    // document, for other nodes; nil until one asks
	listed    bool
	awaySince time.Time
	// current is the newest time at which all that the store held was known.
	current time.Time
	tick    chan struct{} // closed when current or belief has moved
	reader  bool          // this node reads the store for others
	sources []membership.Instance
	reading bool // the store is read now, for whatever reason
	builds  uint64
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
		reader:   true, // until the first listing tells
	}
	f.dir.Store(&Directory{})
	f.limits.Store(&CallerLimits{})
	return f
}

// Member returns the upstream with the given ID. It is a routing.Members.
func (f *Follower) Member(id string) (membership.Member, bool) {
	m, ok := f.dir.Load().members[id]
	return m, ok
}

// Members returns all that is believed of the upstreams.
func (f *Follower) Members() []membership.Member {
	return slices.Collect(maps.Values(f.dir.Load().members))
}

// Limits returns the limits on callers in force.
func (f *Follower) Limits() CallerLimits { return *f.limits.Load() }

// AwayFor returns how long the store has not answered this node; 0 if it did
// when it was last called.
func (f *Follower) AwayFor(now time.Time) time.Duration {
	ms := f.away.Load()
	if ms == 0 {
		return 0
	}
	return now.Sub(time.UnixMilli(ms))
}

// Calls returns the number of calls of the store so far.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Status tells where a follower stands.
type Status struct {
	Reader  bool          // reads the store for others
	Sources []string      // nodes whose news it follows
	Age     time.Duration // since it last knew all that was published
	// TableAge is the time since the table in force came, and TableFrom where it
	// came from: SourceStore or the node whose news had it.
	TableAge  time.Duration
	TableFrom string
}

// SourceStore is the Status.TableFrom of a table read from the store.
const SourceStore = "store"

// Status returns where the follower stands.
func (f *Follower) Status(now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Reader: f.reader, Age: now.Sub(f.current), TableFrom: f.from}
	if !f.since.IsZero() {
		s.TableAge = now.Sub(f.since)
	}
	for _, in := range f.sources {
		s.Sources = append(s.Sources, in.Name)
	}
	return s
}

// Run follows the source and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	if f.peers != nil {
		for slot := range newsSlots {
			group.Go(func() { f.followPeers(ctx, slot) })
		}
	}
	f.followStore(ctx)
	group.Wait()
}

// followStore reads the store as long as this node is a reader or has no fresh
// news.
func (f *Follower) followStore(ctx context.Context) {
	backoff := f.cfg.BackoffMin
	for ctx.Err() == nil {
		if idle := f.idleFor(time.Now()); idle > 0 {
			wait(ctx, idle)
			continue
		}
		began := time.Now()
		err := f.step(ctx)
		switch {
		case err == nil:
			backoff = f.cfg.BackoffMin
			wait(ctx, f.cfg.MinGap-time.Since(began))
		case errors.Is(err, ErrHistoryGone):
			f.relist()
		default:
			f.lost(ctx, err)
			f.pause(ctx, backoff)
			backoff = min(2*backoff, f.backoffMax())
		}
	}
}

// idleFor returns how long the store need not be read; 0 if it must be now. It
// also takes out upstreams whose time is over while the store is not read.
func (f *Follower) idleFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.cfg.NewsMaxAge - now.Sub(f.current)
	idle := !f.reader && f.listed && fresh > 0
	f.noteReading(now, !idle)
	if !idle {
		return 0
	}
	if f.registry.Expire(now) {
		f.changed()
	}
	if at, ok := f.registry.NextExpiry(); ok {
		fresh = min(fresh, at.Sub(now))
	}
	return min(max(fresh, time.Millisecond), rolePoll)
}

// rolePoll is how often a node that is idle looks whether it has become a
// reader.
const rolePoll = 200 * time.Millisecond

// noteReading logs when this node begins or stops to read the store.
func (f *Follower) noteReading(now time.Time, reading bool) {
	if reading == f.reading {
		return
	}
	f.reading = reading
	f.log.Info("store reading", "reading", reading, "reader", f.reader, "news_age", now.Sub(f.current), "revision", f.registry.Revision())
}

// backoffMax is short only for a reader that has no fresh news either: the
// others need not be the first to see the store's return.
func (f *Follower) backoffMax() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader && time.Since(f.current) > f.cfg.NewsMaxAge {
		return f.cfg.BackoffMax
	}
	return f.cfg.FollowerBackoffMax
}

// relist makes the next step list all that is published.
func (f *Follower) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	f.log.Info("store dropped its history, listing anew", "revision", f.registry.Revision())
}

// step makes one call and takes over what it brought.
func (f *Follower) step(ctx context.Context) error {
	after, whole, longest := f.nextCall(time.Now())
	call, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout+longest)
	defer cancel()
	var u Update
	var err error
	f.calls.Add(1)
	if whole {
		u, err = f.source.List(call)
	} else {
		u, err = f.source.Watch(call, after, longest)
	}
	if err != nil {
		return err
	}
	f.take(time.Now(), u, whole)
	return nil
}

// nextCall returns the revision to watch from, whether to list in place of
// that, and the longest wait.
func (f *Follower) nextCall(now time.Time) (after uint64, whole bool, longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest = f.cfg.WatchWait
	if at, ok := f.registry.NextExpiry(); ok {
		longest = min(longest, max(at.Sub(now), time.Millisecond))
	}
	return f.registry.Revision(), !f.listed, longest
}

// take takes over an answer of the store.
func (f *Follower) take(now time.Time, u Update, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained(now, u)
	for _, finding := range u.Findings {
		f.log.Warn("published entry left out", "finding", finding)
	}
	changed := false
	if whole {
		changed = f.registry.Replace(now, u)
		f.listed = true
	} else {
		changed = f.registry.Apply(now, u)
	}
	changed = f.registry.Expire(now) || changed
	changed = f.takeDocument(u.Document, SourceStore) || changed
	f.current = now
	if changed {
		f.changed()
	}
	f.announce()
}

// takeDocument puts a newer table in force, and reports whether it is one.
func (f *Follower) takeDocument(d *Document, from string) bool {
	if d == nil || f.document != nil && !d.ID.Newer(f.document.ID) {
		return false
	}
	f.document, f.deflated = d, nil
	f.since, f.from = time.Now(), from
	f.limits.Store(&d.Limits)
	f.log.Info("table version taken", "version", d.ID, "routes", len(d.Table.Routes), "from", from, "revision", f.registry.Revision())
	return true
}

// announce wakes those who wait for news. The lock is held.
func (f *Follower) announce() {
	close(f.tick)
	f.tick = make(chan struct{})
}

// changed puts a changed belief in force. The lock is held.
func (f *Follower) changed() {
	known := f.registry.Upstreams()
	dir := &Directory{members: make(map[string]membership.Member, len(known)), byAddress: make(map[netip.AddrPort]Known, len(known))}
	for _, k := range known {
		dir.members[k.ID] = f.member(k)
		if old, ok := dir.byAddress[k.Address]; !ok || old.Revision < k.Revision {
			dir.byAddress[k.Address] = k
		}
	}
	f.logChanges(f.dir.Load(), dir)
	f.dir.Store(dir)
	f.chooseRole(dir)
	f.onChange(dir)
	if f.document == nil {
		return
	}
	f.builds++
	snap, err := snapshot.FromTable(withUpstreams(f.document.Table, known), f.document.ID, f.document.Raw)
	if err != nil {
		f.log.Error("table version refused", "version", f.document.ID, "err", err)
		return
	}
	snap.Directory = f.builds
	f.holder.Advance(snap)
}

// chooseRole computes whether this node reads the store for others, and whose
// news it follows.
func (f *Follower) chooseRole(dir *Directory) {
	if f.peers == nil {
		return
	}
	members := slices.Collect(maps.Values(dir.members))
	self := membership.Instance{DataCentre: f.cfg.DataCentre}
	if own, ok := dir.At(f.cfg.Self); ok {
		self.Name = own.ID
	}
	reader := slices.Contains(membership.Readers(self.DataCentre, members, f.cfg.NodesPerReader), self.Name)
	f.sources = nil
	for _, name := range membership.NewsSources(self, members, f.cfg.NodesPerReader) {
		f.sources = append(f.sources, dir.members[name].Instance)
	}
	reader = reader || len(f.sources) == 0
	if reader != f.reader {
		f.reader = reader
		f.log.Info("reader of the store", "reader", reader, "sources", names(f.sources))
	}
}

func names(ins []membership.Instance) []string {
	out := make([]string, len(ins))
	for i, in := range ins {
		out[i] = in.Name
	}
	return out
}

// logChanges writes a line for each upstream that is believed otherwise than
// before.
func (f *Follower) logChanges(before, after *Directory) {
	for id, m := range after.members {
		old, ok := before.members[id]
		switch {
		case !ok:
			f.log.Info("upstream joined", "upstream", id, "service", m.Service, "status", m.Status, "peer", m.Peer, "revision", f.registry.Revision())
		case old.Status != m.Status:
			f.log.Info("upstream changed", "upstream", id, "service", m.Service, "status", m.Status, "revision", f.registry.Revision())
		}
	}
	for id, m := range before.members {
		if _, ok := after.members[id]; !ok {
			f.log.Info("upstream gone", "upstream", id, "service", m.Service, "revision", f.registry.Revision())
		}
	}
}

func (f *Follower) member(k Known) membership.Member {
	m := membership.Member{Instance: membership.Instance{
		Name:       k.ID,
		Service:    k.Service,
		DataCentre: k.DataCentre,
		Peer:       netip.AddrPortFrom(k.Address.Addr(), f.cfg.PeerPort),
		State:      membership.Live,
	}}
	if k.Cold > 0 {
		m.Generation = uint64(k.Seen.UnixMilli())
	}
	if k.Leaving {
		m.State, m.Status = membership.Leaving, membership.Departing
	}
	return m
}

// withUpstreams adds the discovered upstreams to the table's rows, all with the
// same weight.
func withUpstreams(t *table.Table, known []Known) *table.Table {
	out := *t
	out.Upstreams = make([]table.Upstream, 0, len(known))
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		services[s.Name] = true
	}
	for _, k := range known {
		if services[k.Service] {
			out.Upstreams = append(out.Upstreams, table.Upstream{Name: k.ID, Service: k.Service, Weight: 1, Concurrency: k.Slots})
		}
	}
	return &out
}

// regained notes that the store answers. The lock is held.
func (f *Follower) regained(now time.Time, u Update) {
	if f.awaySince.IsZero() {
		return
	}
	f.log.Info("store reached again", "away", now.Sub(f.awaySince), "revision", u.Revision)
	f.awaySince = time.Time{}
	f.away.Store(0)
}

func (f *Follower) lost(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.Lost()
	if f.awaySince.IsZero() && ctx.Err() == nil {
		f.awaySince = time.Now()
		f.away.Store(f.awaySince.UnixMilli())
		f.log.Warn("store lost", "err", err, "revision", f.registry.Revision())
	}
}

// pause waits for a random part of d, half of it at least.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	wait(ctx, d/2+rand.N(d/2+1))
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
