package routing

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/overload"
)

// movingFleet is a service with free slots, of which one upstream at a time, in turn,
// is slow for 600 ms.
type movingFleet struct {
	*testbed
	moves   bool // the upstreams report slowdowns, so that requests are moved
	mu      sync.Mutex
	routers []*Router
	gates   []*admission.Gate
	begin   time.Time

	atSlow, inTime int // requests whose first choice is slow, and those of them in time
	moved          int
}

const (
	movingUpstreams = 6
	movingSlots     = 8
	movingNodes     = 20
	movingRunMean   = 25 * ms
	movingRunSpread = 0.5  // standard deviation of the logarithm
	movingLoad      = 0.75 // of the slots, while no upstream is slow
	movingObjective = 100 * ms
	movingOneWay    = ms / 2
	slowness        = 2.5
	slowFor         = 600 * ms
	slowEvery       = time.Second
)

func newMovingFleet(moves bool) *movingFleet {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	s := &movingFleet{testbed: newTestbedWith(cfg, movingUpstreams), moves: moves, begin: time.Now()}
	for _, u := range s.service.Upstreams {
		u.Concurrency = movingSlots
		m := s.members[u.Name]
		m.Service = s.service.Name
		s.members[u.Name] = m
		s.gates = append(s.gates, admission.NewGate(admission.Config{Slots: movingSlots, QueueLimit: 2 * movingSlots}))
	}
	for range movingNodes {
		s.routers = append(s.routers, NewRouter(cfg, s.router.self))
	}
	return s
}

func (s *movingFleet) slow(upstream int) bool {
	at := time.Since(s.begin)
	return int(at/slowEvery)%movingUpstreams == upstream && at%slowEvery < slowFor
}

// send sends one request from a node until it is answered or refused.
func (s *movingFleet) send(node int) {
	start := time.Now()
	req := Request{Service: s.service, Kind: "k", ObjectiveDeadline: start.Add(movingObjective)}
	atSlow := false
	for {
		s.mu.Lock()
		c, ok := s.routers[node].Pick(time.Now(), s.rnd, req, s.lookup)
		if !ok || c.Wait > c.MaxWait {
			s.mu.Unlock()
			return
		}
		s.routers[node].Start(time.Now(), c.Instance)
		upstream := slices.Index(s.service.Upstreams, c.Upstream)
		if len(req.Tried)+len(req.MovedFrom) == 0 && s.slow(upstream) {
			atSlow = true
			s.atSlow++
		}
		run := time.Duration(float64(movingRunMean) * math.Exp(movingRunSpread*s.rnd.NormFloat64()-movingRunSpread*movingRunSpread/2))
		s.mu.Unlock()
		reason := s.runAt(node, upstream, c, len(req.MovedFrom) < 2, run)
		switch {
		case reason == admission.ReasonMoved:
			req.MovedFrom = append(req.MovedFrom, c.Upstream.Name)
			continue
		case reason != admission.ReasonNone && len(req.Tried) == 0:
			req.Tried = append(req.Tried, c.Upstream.Name)
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.moved += len(req.MovedFrom)
		if atSlow && reason == admission.ReasonNone && time.Since(start) <= movingObjective {
			s.inTime++
		}
		return
	}
}

// runAt runs a request at an upstream and returns why it was refused, if it was.
func (s *movingFleet) runAt(node, upstream int, c Candidate, movable bool, run time.Duration) admission.Reason {
	time.Sleep(movingOneWay)
	g := s.gates[upstream]
	ticket := &admission.Ticket{Kind: "k", Weight: 1, Latest: time.Now().Add(overload.MaxWait(c.TimeLeft, 2*movingRunMean, g.SlotInterval(), false))}
	if movable {
		ticket.Bound = WorthwhileWait(c)
	}
	v := g.Acquire(context.Background(), ticket)
	if v.Started {
		if s.slow(upstream) {
			run = time.Duration(float64(run) * slowness)
		}
		time.Sleep(run)
		g.Release(run)
	}
	f := g.Forecast("k", 1)
	report := &LoadReport{InUse: f.InUse, Slots: f.Slots, Waiting: f.Waiting, Service: f.Service, Wait: f.Wait}
	if s.moves {
		report.Slowdown = admission.Slowdown{Percent: 100, At: time.Now()}
	}
	time.Sleep(movingOneWay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[node].End(time.Now(), s.rnd, c.Upstream.Name, Outcome{Load: report, Kind: "k", NetworkTime: 2 * movingOneWay})
	return v.Reason
}

// One upstream turns 2.5 times slower for 600 ms while others have free slots. Of the
// requests that are placed there, at least 15% fewer must miss their objective than without
// moves, and moves must stay rare beside requests.
func TestMovesToFreeUpstreams(t *testing.T) {
	missed := make(map[bool]float64)
	for _, moves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newMovingFleet(moves)
			var requests sync.WaitGroup
			offered := 0
			for ; time.Since(s.begin) < 30*time.Second; offered++ {
				s.mu.Lock()
				gap := s.rnd.ExpFloat64() * float64(movingRunMean) / (movingUpstreams * movingSlots * movingLoad)
				node := s.rnd.IntN(movingNodes)
				s.mu.Unlock()
				time.Sleep(time.Duration(gap))
				requests.Go(func() { s.send(node) })
			}
			requests.Wait()
			missed[moves] = 1 - float64(s.inTime)/float64(s.atSlow)
			t.Logf("moves %v: %.3f of %d missed, %d moves of %d requests", moves, missed[moves], s.atSlow, s.moved, offered)
			assert.Assert(t, s.moved <= offered/4, "%d moves of %d requests", s.moved, offered)
		})
	}
	assert.Assert(t, missed[true] < 0.85*missed[false], "%.3f missed without moves, %.3f with", missed[false], missed[true])
}
