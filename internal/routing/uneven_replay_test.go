package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// Upstreams and callers of the replay. The callers are those of the replay of package
// overload. Each node sends an upstream about one request a second.
const (
	unevenNodes     = 63 // the first ones are beside the upstreams
	unevenUpstreams = 22
	unevenSlots     = 8
	unevenLoad      = 0.9 // of the capacity
	slowFactor      = 2.5
	slowPeriod      = 600 * time.Millisecond
	slowShare       = 0.15 // of the time
	unevenRunMean   = 0.1  // seconds at speed 1
	unevenRunSpread = 0.6  // standard deviation of the logarithm
	unevenObjective = 200 * time.Millisecond
	unevenDeadline  = 1200 * time.Millisecond
	unevenOneWay    = 500 * time.Microsecond
	unevenTries     = 3
	// unevenStep is the time in which the speed of a running request is taken as constant.
	unevenStep = 0.02 // seconds
)

var unevenSpeeds = []float64{0.7, 0.7, 1.7}

// unevenReplay simulates nodes that send to upstreams of changing speed.
type unevenReplay struct {
	peerLoads bool // responses carry peer load reports
	oneQueue  bool // one queue in front of all slots, with the fastest free slot first
	now       time.Time
	events    timedEvents
	load, rnd *rand.Rand // of the load and of the nodes
	nodes     []*Router
	upstreams []*slowingUpstream
	service   *snapshot.Service
	members   map[string]membership.Member
	queue     []*unevenRequest // with oneQueue

	inTime, late, refused int
}

// slowingUpstream is an upstream with the gate of its node.
type slowingUpstream struct {
	node    int
	name    string
	speed   float64
	slow    bool
	queue   *admission.Queue
	runs    *overload.RunTimes
	waiting map[*admission.Ticket]*unevenRequest
	inUse   int // with oneQueue
}

type unevenRequest struct {
	node     *Router
	sent     time.Time
	work     float64 // seconds at speed 1
	tried    []string
	timeLeft time.Duration
}

func newUnevenReplay(peerLoads, oneQueue bool, seed uint64) *unevenReplay {
	r := &unevenReplay{peerLoads: peerLoads, oneQueue: oneQueue, now: epoch, load: rand.New(rand.NewPCG(seed, 1)), rnd: rand.New(rand.NewPCG(seed, 2)), members: make(map[string]membership.Member)}
	var all []*snapshot.Upstream
	for i := range unevenUpstreams {
		u := &slowingUpstream{node: i, name: "u" + strconv.Itoa(i), speed: unevenSpeeds[i%len(unevenSpeeds)], queue: admission.NewQueue(admission.Config{Slots: unevenSlots, QueueLimit: 2 * unevenSlots}), runs: overload.NewRunTimes(), waiting: make(map[*admission.Ticket]*unevenRequest)}
		r.upstreams = append(r.upstreams, u)
		r.members[u.name] = membership.Member{Instance: membership.Instance{Name: u.name, Service: "s", DataCentre: "dc", Region: "r"}}
		all = append(all, &snapshot.Upstream{Upstream: table.Upstream{Name: u.name, Service: "s", Weight: 1, Concurrency: unevenSlots}, DataCentre: "dc"})
		r.changeSpeed(u, rand.New(rand.NewPCG(seed, uint64(3+i))))
	}
	r.service = snapshot.NewService(table.Service{Name: "s"}, all...)
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
	for i := range unevenNodes {
		r.nodes = append(r.nodes, NewRouter(cfg, membership.Instance{Name: fmt.Sprintf("n%d", i), DataCentre: "dc", Region: "r"}))
	}
	return r
}

// changeSpeed alternates between slow periods and usual speed.
func (r *unevenReplay) changeSpeed(u *slowingUpstream, rnd *rand.Rand) {
	usual := rnd.ExpFloat64() * slowPeriod.Seconds() * (1 - slowShare) / slowShare
	r.at(usual, func() {
		u.slow = true
		r.at(slowPeriod.Seconds(), func() {
			u.slow = false
			r.changeSpeed(u, rnd)
		})
	})
}

func (u *slowingUpstream) slowdown() float64 {
	if u.slow {
		return slowFactor
	}
	return 1
}

// run offers the load for the given time and returns the share that was in time.
func (r *unevenReplay) run(length time.Duration) float64 {
	speeds := 0.0
	for _, u := range r.upstreams {
		speeds += u.speed
	}
	rate := unevenLoad * speeds * unevenSlots * (1 - slowShare + slowShare/slowFactor) / unevenRunMean
	var next func()
	next = func() {
		work := unevenRunMean * math.Exp(unevenRunSpread*r.load.NormFloat64()-unevenRunSpread*unevenRunSpread/2)
		r.arrive(&unevenRequest{node: r.nodes[r.load.IntN(unevenNodes)], sent: r.now, work: work})
		r.at(r.load.ExpFloat64()/rate, next)
	}
	next()
	for end := epoch.Add(length); r.now.Before(end); {
		e := heap.Pop(&r.events).(timedEvent)
		r.now = e.at
		e.do()
	}
	return float64(r.inTime) / float64(r.inTime+r.late+r.refused)
}

func (r *unevenReplay) arrive(q *unevenRequest) {
	if r.oneQueue {
		r.queue = append(r.queue, q)
		r.startNext()
		return
	}
	r.send(q)
}

// startNext starts the requests of the one queue.
func (r *unevenReplay) startNext() {
	for len(r.queue) > 0 {
		var best *slowingUpstream
		for _, u := range r.upstreams {
			if u.inUse < unevenSlots && (best == nil || u.speed/u.slowdown() > best.speed/best.slowdown()) {
				best = u
			}
		}
		if best == nil {
			return
		}
		q := r.queue[0]
		r.queue = r.queue[1:]
		best.inUse++
		r.execute(best, q.work, func() {
			best.inUse--
			r.answered(q)
			r.startNext()
		})
	}
}

// execute calls done when an upstream has done the given work.
func (r *unevenReplay) execute(u *slowingUpstream, work float64, done func()) {
	if work <= 0 {
		done()
		return
	}
	part := min(work/u.speed, unevenStep)
	rest := work - part*u.speed
	if rest < 1e-9 {
		rest = 0
	}
	r.at(part*u.slowdown(), func() { r.execute(u, rest, done) })
}

// send makes the next try of a request.
func (r *unevenReplay) send(q *unevenRequest) {
	c, ok := q.node.Pick(r.now, r.rnd, Request{Service: r.service, Tried: q.tried, Kind: "k", ObjectiveDeadline: q.sent.Add(unevenObjective)}, func(name string) (membership.Member, bool) {
		m, ok := r.members[name]
		return m, ok
	})
	if !ok || c.Wait > c.MaxWait || len(q.tried) == unevenTries {
		r.refused++
		return
	}
	q.node.Start(r.now, c.Instance)
	q.tried, q.timeLeft = append(q.tried, c.Upstream.Name), c.TimeLeft
	n, _ := strconv.Atoi(c.Upstream.Name[1:])
	r.at(unevenOneWay.Seconds(), func() { r.offer(q, r.upstreams[n]) })
}

// offer offers a request to the gate of an upstream.
func (r *unevenReplay) offer(q *unevenRequest, u *slowingUpstream) {
	maxWait := overload.MaxWait(q.timeLeft, u.runTime(r.now, overload.SafeRunQuantile), u.service(r.now)/unevenSlots, false)
	t := &admission.Ticket{Kind: "k", Weight: 1, Deadline: q.sent.Add(unevenDeadline), Latest: r.now.Add(maxWait)}
	v, _ := u.queue.Offer(r.now, t)
	u.waiting[t] = q
	switch {
	case v.Started:
		r.start(u, t)
	case v.Waiting:
		r.at(u.queue.LatestStart(t).Sub(r.now).Seconds(), func() {
			if u.queue.Remove(t) {
				r.refuse(u, t)
			}
		})
	default:
		r.refuse(u, t)
	}
}

func (r *unevenReplay) refuse(u *slowingUpstream, late ...*admission.Ticket) {
	for _, t := range late {
		q := u.waiting[t]
		delete(u.waiting, t)
		r.respond(u, q, func() { r.send(q) })
	}
}

func (r *unevenReplay) start(u *slowingUpstream, started ...*admission.Ticket) {
	for _, t := range started {
		q := u.waiting[t]
		delete(u.waiting, t)
		began, factor := r.now, u.queue.Slowdown().Factor(r.now)
		r.execute(u, q.work, func() {
			r.refuse(u, u.queue.SetSlowdown(r.now, admission.Slowdown{Percent: 100 * u.slowdown(), At: r.now})...)
			held := admission.UsualTime(r.now.Sub(began), factor, u.slowdown())
			u.runs.Observe("k", held)
			next, late := u.queue.Release(r.now, held)
			r.refuse(u, late...)
			r.start(u, next...)
			r.respond(u, q, func() { r.answered(q) })
		})
	}
}

func (u *slowingUpstream) service(now time.Time) time.Duration {
	return u.queue.Slowdown().Scale(now, u.queue.ServiceTime())
}

func (u *slowingUpstream) runTime(now time.Time, quantile float64) time.Duration {
	return u.queue.Slowdown().Scale(now, u.runs.Quantile("k", quantile))
}

// respond sends a response with its load reports.
func (r *unevenReplay) respond(u *slowingUpstream, q *unevenRequest, then func()) {
	load := u.queue.Load()
	report := &LoadReport{InUse: load.InUse, Slots: load.Slots, Waiting: load.Waiting, Service: u.service(r.now), Wait: u.queue.Wait(r.now, "k", 1), Runs: RunTimes{Typical: u.runTime(r.now, overload.TypicalRunQuantile), Safe: u.runTime(r.now, overload.SafeRunQuantile)}, Slowdown: u.queue.Slowdown()}
	var loads []PeerLoad
	if r.peerLoads {
		loads = r.nodes[u.node].PeerLoads(r.now, r.rnd, nil, "s", u.name)
	}
	r.at(unevenOneWay.Seconds(), func() {
		q.node.End(r.now, r.rnd, u.name, Outcome{Load: report, Kind: "k", NetworkTime: 2 * unevenOneWay})
		q.node.AcceptPeerLoads(r.now, "s", 2*unevenOneWay, loads, func(name string) (membership.Member, bool) {
			m, ok := r.members[name]
			return m, ok
		})
		then()
	})
}

func (r *unevenReplay) answered(q *unevenRequest) {
	if r.now.Sub(q.sent) <= unevenObjective {
		r.inTime++
	} else {
		r.late++
	}
}

// at schedules do after the given seconds.
func (r *unevenReplay) at(after float64, do func()) {
	heap.Push(&r.events, timedEvent{at: r.now.Add(time.Duration(max(after, 0) * float64(time.Second))), do: do})
}

type timedEvent struct {
	at time.Time
	do func()
}

type timedEvents []timedEvent

func (q timedEvents) Len() int           { return len(q) }
func (q timedEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timedEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timedEvents) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *timedEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// unevenShare returns the mean share in time over the same loads.
func unevenShare(peerLoads, oneQueue bool) float64 {
	const (
		seeds  = 8
		length = 12 * time.Second
	)
	var shares [seeds]float64
	var group sync.WaitGroup
	for seed := range shares {
		group.Go(func() { shares[seed] = newUnevenReplay(peerLoads, oneQueue, uint64(seed)).run(length) })
	}
	group.Wait()
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	return sum / seeds
}

// Nodes that learn the loads of upstreams from each other must answer more requests in time
// than by their own reports, which are older than a slow period.
func TestReplayPeerLoads(t *testing.T) {
	own, peer, bound := unevenShare(false, false), unevenShare(true, false), unevenShare(false, true)
	t.Logf("in time: %.4f with own reports, %.4f with peer load reports, %.4f with one queue for all slots", own, peer, bound)
	assert.Assert(t, peer > own, "%.4f with peer load reports, %.4f with own reports", peer, own)
}
