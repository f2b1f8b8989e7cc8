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

// Seed is a node that a starting node contacts before it reads the platform.
type Seed struct {
	Name string
	Addr netip.AddrPort
}

// ServiceConfig holds the settings of a Service.
type ServiceConfig struct {
	Engine EngineConfig
	Self   membership.Instance
	// Seeds are contacted for the list and the table before the platform is read.
	Seeds []Seed
	// ReadSpread is the time over which starting nodes spread their first read of the
	// platform. A longer one protects the platform when all nodes start at once, a
	// shorter one makes nodes ready sooner. N nodes that start together make N/ReadSpread
	// reads per second.
	ReadSpread time.Duration
	// WatchWait is how long one blocking watch waits. Default 30 s.
	WatchWait time.Duration
}

// Service runs an Engine: it owns the links and the platform readers. All engine calls
// are made in one goroutine.
type Service struct {
	cfg       ServiceConfig
	engine    *Engine
	transport Transport
	source    platform.Source
	log       *log.Logger
	metrics   tally.Scope
	bytes     [len(causeNames)]tally.Counter // by cause
	rnd       *rand.Rand

	events        chan func(now time.Time) Actions
	statusResults map[uint64]chan<- StatusResult
	links         *linkSet
	members       atomic.Pointer[[]membership.Member]
	status        atomic.Pointer[NodeStatus]
	group         sync.WaitGroup
	ctx           context.Context
	memberIndex   atomic.Pointer[map[string]membership.Member]
	// synced is true once this node holds a table at least as new as a neighbour's, or
	// has had no links for isolationGrace.
	synced           atomic.Bool
	unsyncedSince    time.Time // since when synced is false
	membersPublished time.Time // when the members were last published
	membersStale     bool      // the members have changed since
}

// Timing of the service loop.
const (
	tickInterval = 200 * time.Millisecond
	// pauseThreshold is the time between ticks that counts as a process pause.
	pauseThreshold = 2 * time.Second
	eventBuffer    = 1024
	// rumorDelay is how long rumors are collected before they are sent.
	rumorDelay = 50 * time.Millisecond
)

// NewService returns a service; Run starts it.
func NewService(cfg ServiceConfig, check Check, tr Transport, src platform.Source, logger *log.Logger, metrics tally.Scope) *Service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Self.Name))
	s := &Service{
		cfg:           cfg,
		engine:        NewEngine(cfg.Engine, cfg.Self, check, time.Now()),
		transport:     tr,
		source:        src,
		log:           logger,
		metrics:       metrics,
		rnd:           rand.New(rand.NewPCG(h.Sum64(), cfg.Self.Generation)),
		events:        make(chan func(time.Time) Actions, eventBuffer),
		statusResults: make(map[uint64]chan<- StatusResult),
		unsyncedSince: time.Now(),
	}
	for c, name := range causeNames {
		s.bytes[c] = metrics.Tagged(map[string]string{"cause": name}).Counter("control_bytes")
	}
	s.links = newLinkSet(s)
	s.publishState(time.Now())
	return s
}

// Run runs the service until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	s.group.Go(func() { s.acceptLoop(ctx) })
	s.group.Go(func() { s.readPlatform(ctx, DocList, platform.KeyInstances) })
	s.group.Go(func() { s.readPlatform(ctx, DocTable, platform.KeyTable) })
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
			s.execute(f(now))
		case <-tick.C:
			now := time.Now()
			if gap := now.Sub(last); gap > pauseThreshold {
				s.handlePause(now, gap)
			}
			last = now
			s.execute(s.engine.Tick(now))
			s.links.maintain(now)
			s.publishState(now)
		}
	}
}

// handlePause handles a process pause: until a neighbour has sent its digest, this node
// may be behind and does not count as synced.
func (s *Service) handlePause(now time.Time, gap time.Duration) {
	s.metrics.Counter("pauses").Inc(1)
	s.log.Warn("process was paused", "gap", gap)
	s.synced.Store(false)
	s.unsyncedSince = now
	s.execute(s.engine.RequestDigests(now))
}

// maxDefectLines bounds the lines on the defects of one version of the list.
const maxDefectLines = 8

// logDefects logs the instances that a new version of the list was put in force without.
func (s *Service) logDefects(defects []membership.Defect) {
	s.metrics.Counter("list_defects").Inc(int64(len(defects)))
	for _, d := range defects[:min(len(defects), maxDefectLines)] {
		s.log.Warn("instance left out of the list", "index", d.Index, "err", firstLine(d.Err), "of", len(defects))
	}
}

// execute executes the engine's actions.
func (s *Service) execute(actions Actions) {
	for _, send := range actions.Messages {
		s.links.send(send)
	}
	for _, err := range actions.Errors {
		s.metrics.Counter("message_errors").Inc(1)
		s.log.Debug("message", "err", err)
	}
	for _, doc := range actions.Advanced {
		s.metrics.Tagged(map[string]string{"document": doc.String()}).Counter("advances").Inc(1)
		st := s.engine.Status(time.Now())
		s.log.Info("version in force", "document", doc, "version", s.engine.Held(doc), "from", st.From)
		if doc == DocList {
			s.logDefects(s.engine.ListDefects())
		}
	}
	for _, result := range actions.StatusResults {
		if ch, ok := s.statusResults[result.ID]; ok {
			delete(s.statusResults, result.ID)
			ch <- result
		}
	}
	if actions.MembersChanged {
		s.links.overlayStale = true
	}
	if actions.Flush {
		time.AfterFunc(rumorDelay, func() { s.post(func(time.Time) Actions { return s.engine.Flush() }) })
	}
	s.membersStale = s.membersStale || actions.MembersChanged
	if now := time.Now(); len(actions.Advanced) > 0 || (s.membersStale && now.Sub(s.membersPublished) >= minMembersInterval) {
		s.publishState(now)
	}
}

// maxMembersInterval is how often the members are published without a known change, as
// suspicions also expire by time alone.
const maxMembersInterval = time.Second

// isolationGrace is how long a node without links waits before it serves the table it
// holds: it may be the last node of its partition.
const isolationGrace = 5 * time.Second

// minMembersInterval is the minimum time between two publications of the members outside
// of ticks, as each one copies all members: a burst of joins would copy them for every
// join.
const minMembersInterval = 50 * time.Millisecond

// publishState publishes the state that other goroutines read.
func (s *Service) publishState(now time.Time) {
	if s.membersStale || now.Sub(s.membersPublished) >= maxMembersInterval {
		s.membersPublished, s.membersStale = now, false
		s.publishMembers(now)
	}
	st := s.engine.Status(now)
	s.status.Store(&st)
	if s.synced.Load() || st.Table.IsZero() {
		return
	}
	isolated := st.Links == 0 && now.Sub(s.unsyncedSince) > isolationGrace
	if isolated || s.engine.InSync() || s.links.isOnlyMember() {
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
	s.memberIndex.Store(&index)
}

// Members returns the instances that this node knows. The slice must not be modified.
func (s *Service) Members() []membership.Member { return *s.members.Load() }

// Member returns the instance with the given name.
func (s *Service) Member(name string) (membership.Member, bool) {
	m, ok := (*s.memberIndex.Load())[name]
	return m, ok
}

// Status returns this node's own status.
func (s *Service) Status() NodeStatus { return *s.status.Load() }

// Synced reports whether this node holds a table at least as new as a neighbour's, or has
// had no links for isolationGrace, or is the only member.
func (s *Service) Synced() bool { return s.synced.Load() }

// post passes an event to the service loop.
func (s *Service) post(f func(now time.Time) Actions) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// callInLoop calls f in the service loop and returns its result; false if ctx ends first.
func callInLoop[T any](ctx context.Context, s *Service, f func(now time.Time) T) (T, bool) {
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

// QueryStatus collects the status of all nodes.
func (s *Service) QueryStatus(ctx context.Context) ([]NodeStatus, error) {
	ch := make(chan StatusResult, 1)
	id := rand.Uint64()
	select {
	case s.events <- func(now time.Time) Actions {
		s.statusResults[id] = ch
		return s.engine.StartStatusQuery(now, id)
	}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case result := <-ch:
		return result.Nodes, nil
	case <-time.After(2 * statusQueryTimeout):
		return nil, errors.New("status query got no result")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetLeaving announces to the neighbours whether this instance is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.post(func(time.Time) Actions { return s.engine.SetLeaving(leaving) })
}

// Refusal returns the latest rejected table that is newer than the held one, with all its
// findings.
func (s *Service) Refusal() (Refusal, bool) {
	r, ok := callInLoop(s.ctx, s, func(time.Time) *Refusal { return s.engine.Refused(DocTable) })
	if !ok || r == nil {
		return Refusal{}, false
	}
	return *r, true
}
