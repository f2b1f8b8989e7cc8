package distribution

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/platform"
)

// Seed is a node that a starting one may ask before it reads the platform.
type Seed struct {
	Name string
	Addr netip.AddrPort
}

// ServiceConfig holds the settings of a Service.
type ServiceConfig struct {
	Engine EngineConfig
	Self   membership.Instance
	// Seeds are asked for list and table before the platform is.
	Seeds []Seed
	// ReadSpread is the time over which starting nodes spread their first read
	// of the platform. Longer protects the platform when all nodes start at
	// once, shorter starts sooner. At N nodes the herd makes N/ReadSpread
	// reads a second.
	ReadSpread time.Duration
	// WatchWait is how long one blocking watch waits. Default 30 s.
	WatchWait time.Duration
}

// Service runs an Engine: it owns the links and the platform readers. All
// engine calls happen in one goroutine.
type Service struct {
	cfg       ServiceConfig
	engine    *Engine
	transport Transport
	source    platform.Source
	log       *log.Logger
	metrics   tally.Scope
	bytes     [len(causeNames)]tally.Counter // by cause
	rnd       *rand.Rand

	events  chan func(now time.Time) Actions
	surveys map[uint64]chan<- StatusResult
	links   *linkSet
	members atomic.Pointer[[]membership.Member]
	status  atomic.Pointer[NodeStatus]
	group   sync.WaitGroup
	ctx     context.Context
	index   atomic.Pointer[map[string]membership.Member]
	// synced says that this node holds a table at least as new as a
	// neighbour's, or has had nobody to ask for isolationGrace.
	synced       atomic.Bool
	unsynced     time.Time // since when it is not
	membersAt    time.Time // when the members were last published
	membersStale bool      // they have changed since
}

// Timing of the loop.
const (
	tickInterval = 200 * time.Millisecond
	// pauseGap is the time between ticks from which the process counts as
	// having been paused.
	pauseGap    = 2 * time.Second
	eventBuffer = 1024
	// rumorDelay is how long rumors are gathered before they are passed on.
	rumorDelay = 50 * time.Millisecond
)

// NewService returns a service; Run starts it.
func NewService(cfg ServiceConfig, check Check, tr Transport, src platform.Source, logger *log.Logger, metrics tally.Scope) *Service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Self.Name))
	s := &Service{
		cfg:       cfg,
		engine:    NewEngine(cfg.Engine, cfg.Self, check, time.Now()),
		transport: tr,
		source:    src,
		log:       logger,
		metrics:   metrics,
		rnd:       rand.New(rand.NewPCG(h.Sum64(), cfg.Self.Generation)),
		events:    make(chan func(time.Time) Actions, eventBuffer),
		surveys:   make(map[uint64]chan<- StatusResult),
		unsynced:  time.Now(),
	}
	for c, name := range causeNames {
		s.bytes[c] = metrics.Tagged(map[string]string{"cause": name}).Counter("control_bytes")
	}
	s.links = newLinkSet(s)
	s.publishState(time.Now())
	return s
}

// Run works until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	s.group.Go(func() { s.acceptLoop(ctx) })
	s.group.Go(func() { s.readLoop(ctx, DocList, platform.KeyInstances) })
	s.group.Go(func() { s.readLoop(ctx, DocTable, platform.KeyTable) })
	s.loop(ctx)
	s.links.closeAll("shutting down")
	s.group.Wait()
}

func (s *Service) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last := time.Now()
	s.links.dialSeeds()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events:
			now := time.Now()
			s.carryOut(f(now))
		case <-tick.C:
			now := time.Now()
			if gap := now.Sub(last); gap > pauseGap {
				s.awake(now, gap)
			}
			last = now
			s.carryOut(s.engine.Tick(now))
			s.links.maintain(now)
			s.publishState(now)
		}
	}
}

// awake acts on a pause: until a neighbour has told what it holds, this node
// may be behind and is not in sync.
func (s *Service) awake(now time.Time, gap time.Duration) {
	s.metrics.Counter("pauses").Inc(1)
	s.log.Warn("process was paused", "gap", gap)
	s.synced.Store(false)
	s.unsynced = now
	s.carryOut(s.engine.RequestDigests(now))
}

// carryOut performs what the engine asked for.
func (s *Service) carryOut(fx Actions) {
	for _, send := range fx.Messages {
		s.links.send(send)
	}
	for _, err := range fx.Errors {
		s.metrics.Counter("message_errors").Inc(1)
		s.log.Debug("message", "err", err)
	}
	for _, doc := range fx.Advanced {
		s.metrics.Tagged(map[string]string{"document": doc.String()}).Counter("advances").Inc(1)
		st := s.engine.Status(time.Now())
		s.log.Info("version in force", "document", doc, "version", s.engine.Held(doc), "from", st.From)
	}
	for _, sv := range fx.StatusResults {
		if ch, ok := s.surveys[sv.ID]; ok {
			delete(s.surveys, sv.ID)
			ch <- sv
		}
	}
	if fx.MembersChanged {
		s.links.overlayStale = true
	}
	if fx.Flush {
		time.AfterFunc(rumorDelay, func() { s.post(func(time.Time) Actions { return s.engine.Flush() }) })
	}
	s.membersStale = s.membersStale || fx.MembersChanged
	if now := time.Now(); len(fx.Advanced) > 0 || (s.membersStale && now.Sub(s.membersAt) >= membersSettle) {
		s.publishState(now)
	}
}

// memberRefresh is how often the members are published without a known change:
// suspicions run out by time alone.
const memberRefresh = time.Second

// isolationGrace is how long a node without links waits before it serves what
// it holds: it may be the last of its island.
const isolationGrace = 5 * time.Second

// membersSettle is the least time between two publications of the members but
// for the ticks: in a herd of joins each would copy them all.
const membersSettle = 50 * time.Millisecond

// publishState stores what other goroutines read.
func (s *Service) publishState(now time.Time) {
	if s.membersStale || now.Sub(s.membersAt) >= memberRefresh {
		s.membersAt, s.membersStale = now, false
		s.publishMembers(now)
	}
	st := s.engine.Status(now)
	s.status.Store(&st)
	if s.synced.Load() || st.Table.IsZero() {
		return
	}
	isolated := st.Links == 0 && now.Sub(s.unsynced) > isolationGrace
	if isolated || s.engine.InSync() || s.links.alone() {
		s.synced.Store(true)
	}
}

func (s *Service) publishMembers(now time.Time) {
	members := s.engine.View.Members(now)
	index := make(map[string]membership.Member, len(members))
	for _, m := range members {
		index[m.Name] = m
	}
	s.members.Store(&members)
	s.index.Store(&index)
}

// Members returns the instances as this node sees them. The slice must not be
// changed.
func (s *Service) Members() []membership.Member { return *s.members.Load() }

// Member looks up one instance.
func (s *Service) Member(name string) (membership.Member, bool) {
	m, ok := (*s.index.Load())[name]
	return m, ok
}

// Status returns this node's own status.
func (s *Service) Status() NodeStatus { return *s.status.Load() }

// Synced reports whether this node knows that it holds a table at least as
// new as a neighbour's.
func (s *Service) Synced() bool { return s.synced.Load() }

// post hands an event to the loop.
func (s *Service) post(f func(now time.Time) Actions) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// ask calls f in the loop and returns its result; false if ctx ends first.
func ask[T any](ctx context.Context, s *Service, f func(now time.Time) T) (T, bool) {
	ch := make(chan T, 1)
	s.post(func(now time.Time) Actions {
		ch <- f(now)
		return Actions{}
	})
	select {
	case v := <-ch:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// QueryStatus asks all nodes for their status.
func (s *Service) QueryStatus(ctx context.Context) ([]NodeStatus, error) {
	ch := make(chan StatusResult, 1)
	id := rand.Uint64()
	select {
	case s.events <- func(now time.Time) Actions {
		s.surveys[id] = ch
		return s.engine.StartStatusQuery(now, id)
	}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case sv := <-ch:
		return sv.Nodes, nil
	case <-time.After(2 * censusPatience):
		return nil, errors.New("survey was not answered")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetLeaving tells the neighbours that this instance leaves, or that it does not
// any more.
func (s *Service) SetLeaving(leaving bool) {
	s.post(func(time.Time) Actions { return s.engine.SetLeaving(leaving) })
}

// Refusal returns the newest refused table that would be newer than the held
// one, with all its findings.
func (s *Service) Refusal() (Refusal, bool) {
	r, ok := ask(s.ctx, s, func(time.Time) *Refusal { return s.engine.Refused(DocTable) })
	if !ok || r == nil {
		return Refusal{}, false
	}
	return *r, true
}
