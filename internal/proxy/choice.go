package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// The methods here guard the router, the budget and the random numbers of the
// frontend with its lock.

func (f *Frontend) pick(req routing.Request) (routing.Candidate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Pick(clock.Now(), f.rnd, req, f.members)
}

// share returns the service of a request: the route's, or one of its shares
// drawn by weight.
func (f *Frontend) share(snap *snapshot.Snapshot, route *snapshot.Route) *snapshot.Service {
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	if total <= 0 {
		return snap.Service(route.Service)
	}
	f.mu.Lock()
	at := f.rnd.Float64() * total
	f.mu.Unlock()
	for _, s := range route.Split {
		if at < s.Weight {
			return snap.Service(s.Service)
		}
		at -= s.Weight
	}
	return snap.Service(route.Split[len(route.Split)-1].Service)
}

// Explain returns the verdict on every upstream of a service, as a request
// would meet it now; false if there is no such service.
func (f *Frontend) Explain(service string) ([]routing.Candidate, bool) {
	snap := f.holder.Current()
	if snap == nil || snap.Service(service) == nil {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Candidates(clock.Now(), routing.Request{Service: snap.Service(service)}, f.members), true
}

func (f *Frontend) began(in membership.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Start(clock.Now(), in)
}

func (f *Frontend) heard(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.ResponseStarted(clock.Now(), name)
}

func (f *Frontend) ended(name string, o routing.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.End(clock.Now(), f.rnd, name, o)
}

// budget returns the retry budget of a service. The lock is held.
func (f *Frontend) budget(service string) *retry.Budget {
	b, ok := f.budgets[service]
	if !ok {
		b = retry.NewBudget(f.cfg.Retry)
		f.budgets[service] = b
	}
	return b
}

func (f *Frontend) earn(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Deposit()
	f.spare.Deposit()
}

func (f *Frontend) takeSpare() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spare.Withdraw()
}

func (f *Frontend) returnSpare() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spare.Return()
}

// firstAttempt returns when the caller of a request first sent it.
func (f *Frontend) firstAttempt(now time.Time, route string, id overload.Identity, expiry time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returns.FirstAttempt(now, id, expiry), f.returns.RefusalIsFinal(route)
}

// refused remembers a request that its caller may send again.
func (f *Frontend) refused(route string, id overload.Identity, first, expiry time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returns.Add(clock.Now(), route, id, first, expiry)
}

func (f *Frontend) again(service string, t retry.Try) retry.Reason {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Decide(t)
}

// Prune forgets the evidence about instances that are no more.
func (f *Frontend) Prune() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Prune(func(name string) bool {
		_, ok := f.members(name)
		return ok
	})
}

// readWay returns the part of the time of a try that was spent on the way to
// the admitting node and back; 0 if that is not known.
func readWay(h http.Header, took time.Duration) time.Duration {
	held, err := strconv.ParseInt(h.Get(headerHeld), 10, 64)
	if err != nil || held < 0 {
		return 0
	}
	return max(took-time.Duration(held)*time.Microsecond, 0)
}

// readRuns reads how long requests of the kind run, zero if nothing was said.
func readRuns(h http.Header) routing.RunTimes {
	typical, safe, _ := strings.Cut(h.Get(headerRuns), "/")
	t, err := strconv.ParseInt(typical, 10, 64)
	if err != nil {
		return routing.RunTimes{}
	}
	s, err := strconv.ParseInt(safe, 10, 64)
	if err != nil {
		return routing.RunTimes{}
	}
	return routing.RunTimes{Typical: time.Duration(t) * time.Microsecond, Safe: time.Duration(s) * time.Microsecond}
}

// readLoad reads what an admitting node said of its load, nil if nothing:
// "in use/slots/waiting/service time/expected wait", times in microseconds, then
// "/draining" if it takes no more, and "/cold:" with the milliseconds for which the
// upstream stays cold. Nodes pass over words that they do not know.
func readLoad(h http.Header) *routing.LoadReport {
	parts := strings.Split(h.Get(headerLoad), "/")
	var n [5]int
	if len(parts) < len(n) {
		return nil
	}
	for i := range n {
		v, err := strconv.Atoi(parts[i])
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	told := &routing.LoadReport{
		Runs:    readRuns(h),
		InUse:   n[0],
		Slots:   n[1],
		Waiting: n[2],
		Service: time.Duration(n[3]) * time.Microsecond,
		Wait:    time.Duration(n[4]) * time.Microsecond,
	}
	for _, word := range parts[len(n):] {
		if word == toldDraining {
			told.Draining = true
		}
		if ms, ok := strings.CutPrefix(word, toldCold); ok {
			if v, err := strconv.ParseInt(ms, 10, 32); err == nil && v > 0 {
				told.Cold = time.Duration(v) * time.Millisecond
			}
		}
	}
	return told
}

// Words of a told load.
const (
	toldDraining = "draining"
	toldCold     = "cold:"
)
