package discovery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// Config holds the settings of a Follower.
type Config struct {
	// WatchWait is the longest wait of one watch. Longer costs fewer calls,
	// shorter notices a silent store sooner. Default 2 s.
	WatchWait time.Duration
	// MinGap is the least time between the starts of two calls. Changes that come
	// in series are fetched together: longer costs fewer calls, shorter has them
	// in force sooner. Default 500 ms, a quarter of what the platform allows.
	MinGap time.Duration
	// CallTimeout bounds a call beyond its wait. Default 800 ms.
	CallTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait after a failed call, drawn at
	// random between half and the whole of a value that doubles. The longest
	// keeps a change within a second of the store's return. Default 60 ms and
	// 400 ms.
	BackoffMin, BackoffMax time.Duration
	// PeerPort is the port of the nodes beside the upstreams, for requests.
	PeerPort uint16
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config {
	return Config{
		WatchWait:   2 * time.Second,
		MinGap:      500 * time.Millisecond,
		CallTimeout: 800 * time.Millisecond,
		BackoffMin:  60 * time.Millisecond,
		BackoffMax:  400 * time.Millisecond,
	}
}

// Directory is one immutable state of the discovered upstreams.
type Directory struct {
	members   map[string]membership.Member
	byAddress map[netip.AddrPort]Known
}

// Follower keeps the snapshot in force up to date with a Source.
type Follower struct {
	cfg      Config
	source   Source
	holder   *snapshot.Holder
	log      *log.Logger
	registry *Registry
	onChange func(*Directory)

	document  *Document
	listed    bool
	awaySince time.Time
	away      atomic.Int64 // awaySince in Unix milliseconds; 0 while the store answers
	dir       atomic.Pointer[Directory]
	limits    atomic.Pointer[CallerLimits]
	builds    uint64
}

// NewFollower returns a follower that puts snapshots in force in holder and
// calls onChange with each new directory.
func NewFollower(cfg Config, source Source, holder *snapshot.Holder, logger *log.Logger, onChange func(*Directory)) *Follower {
	f := &Follower{cfg: cfg, source: source, holder: holder, log: logger, registry: NewRegistry(), onChange: onChange}
	f.dir.Store(&Directory{})
	f.limits.Store(&CallerLimits{})
	return f
}

// Member returns the upstream with the given ID. It is a routing.Members.
func (f *Follower) Member(id string) (membership.Member, bool) {
	m, ok := f.dir.Load().members[id]
	return m, ok
}

// Limits returns the limits on callers in force.
func (f *Follower) Limits() CallerLimits { return *f.limits.Load() }

// AwayFor returns how long the store has not answered; 0 if it does.
func (f *Follower) AwayFor(now time.Time) time.Duration {
	ms := f.away.Load()
	if ms == 0 {
		return 0
	}
	return now.Sub(time.UnixMilli(ms))
}

// At returns the upstream published at an address.
func (d *Directory) At(a netip.AddrPort) (Known, bool) {
	k, ok := d.byAddress[a]
	return k, ok
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := f.cfg.BackoffMin
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		switch {
		case err == nil:
			backoff = f.cfg.BackoffMin
			wait(ctx, f.cfg.MinGap-time.Since(began))
		case errors.Is(err, ErrHistoryGone):
			f.listed = false
			f.log.Info("store dropped its history, listing anew", "revision", f.registry.Revision())
		default:
			f.lost(ctx, err)
			f.pause(ctx, backoff)
			backoff = min(2*backoff, f.cfg.BackoffMax)
		}
	}
}

// step makes one call and takes over what it brought.
func (f *Follower) step(ctx context.Context) error {
	longest := f.cfg.WatchWait
	if at, ok := f.registry.NextExpiry(); ok {
		longest = min(longest, max(time.Until(at), time.Millisecond))
	}
	var u Update
	var err error
	call, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout+longest)
	defer cancel()
	whole := !f.listed
	if whole {
		u, err = f.source.List(call)
	} else {
		u, err = f.source.Watch(call, f.registry.Revision(), longest)
	}
	if err != nil {
		return err
	}
	f.take(time.Now(), u, whole)
	return nil
}

func (f *Follower) take(now time.Time, u Update, whole bool) {
	if !f.awaySince.IsZero() {
		f.log.Info("store reached again", "away", now.Sub(f.awaySince), "revision", u.Revision)
		f.awaySince = time.Time{}
		f.away.Store(0)
	}
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
	if u.Document != nil && (f.document == nil || u.Document.ID.Newer(f.document.ID)) {
		f.document = u.Document
		f.limits.Store(&u.Document.Limits)
		f.log.Info("table version taken", "version", u.Document.ID, "routes", len(u.Document.Table.Routes), "revision", u.Revision)
		changed = true
	}
	if changed {
		f.publish()
	}
}

// publish builds directory and snapshot and puts both in force.
func (f *Follower) publish() {
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

func (f *Follower) lost(ctx context.Context, err error) {
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
