package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// The methods in this file guard the router, the retry budgets and the random number
// generator with the frontend's lock.

func (f *Frontend) pick(req routing.Request) (routing.Candidate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Pick(clock.Now(), f.rnd, req, f.members)
}

// chooseService returns the service of a request: the route's service, or one drawn by
// weight from its split.
func (f *Frontend) chooseService(snap *snapshot.Snapshot, route *snapshot.Route) *snapshot.Service {
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	if total <= 0 {
		return snap.Service(route.Service)
	}
	f.mu.Lock()
	point := f.rnd.Float64() * total
	f.mu.Unlock()
	for _, s := range route.Split {
		if point < s.Weight {
			return snap.Service(s.Service)
		}
		point -= s.Weight
	}
	return snap.Service(route.Split[len(route.Split)-1].Service)
}

// Explain returns every upstream of a service with the router's current verdict on it;
// false if there is no such service.
func (f *Frontend) Explain(service string) ([]routing.Candidate, bool) {
	snap := f.holder.Current()
	if snap == nil || snap.Service(service) == nil {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Candidates(clock.Now(), routing.Request{Service: snap.Service(service)}, f.members), true
}

// tryStarted records that a try has started and returns the limit that its upstream is
// known to advertise.
func (f *Frontend) tryStarted(in membership.Instance) admission.AdvertisedLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Start(clock.Now(), in)
	return f.router.AdvertisedLimit(in)
}

func (f *Frontend) responseStarted(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.ResponseStarted(clock.Now(), name)
}

func (f *Frontend) tryEnded(name string, o routing.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.End(clock.Now(), f.rnd, name, o)
}

// budget returns the retry budget of a service. The lock must be held.
func (f *Frontend) budget(service string) *retry.RankedBudget {
	b, ok := f.budgets[service]
	if !ok {
		b = retry.NewRankedBudget(f.cfg.Retry)
		f.budgets[service] = b
	}
	return b
}

func (f *Frontend) depositRetryTokens(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Deposit(clock.Now())
	f.noWaitBudget.Deposit()
	f.moveBudget.Deposit()
}

func (f *Frontend) withdrawNoWaitToken() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noWaitBudget.Withdraw()
}

func (f *Frontend) refundNoWaitToken() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noWaitBudget.Return()
}

// lookupFirstAttempt returns when the caller first sent a request, and whether a
// refusal would be final for requests of its route.
func (f *Frontend) lookupFirstAttempt(now time.Time, route string, id overload.Identity, expiry time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusedRequests.FirstAttempt(now, id, expiry), f.refusedRequests.RefusalIsFinal(route)
}

// addRefused remembers a refused request that its caller may retry.
func (f *Frontend) addRefused(route string, id overload.Identity, firstAttempt, expiry time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusedRequests.Add(clock.Now(), route, id, firstAttempt, expiry)
}

func (f *Frontend) decideRetry(service string, req retry.Request, t retry.Try) retry.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Decide(clock.Now(), req, t)
}

// observeArrival counts a try that may have reached an upstream of the service.
func (f *Frontend) observeArrival(service string, class retry.Class) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Observe(clock.Now(), class)
}

// Prune drops the state of upstreams that are no longer known.
func (f *Frontend) Prune() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Prune(clock.Now(), func(name string) bool {
		_, ok := f.members(name)
		return ok
	})
}

// readNetworkTime returns the part of a try's duration that was spent on the network to
// the admitting node and back; 0 if unknown.
func readNetworkTime(h http.Header, took time.Duration) time.Duration {
	nodeTime, err := strconv.ParseInt(h.Get(headerHeld), 10, 64)
	if err != nil || nodeTime < 0 {
		return 0
	}
	return max(took-time.Duration(nodeTime)*time.Microsecond, 0)
}

// readRunTimes reads how long requests of the kind run; zero if the response does not
// say.
func readRunTimes(h http.Header) routing.RunTimes {
	typical, safe, _ := strings.Cut(h.Get(headerRunTimes), "/")
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

// readLoadReport parses the load report of an admitting node; nil if there is none. Its
// format is "in use/slots/waiting/service time/expected wait", times in microseconds,
// followed by "/draining" if the node accepts no more requests, "/leaving" if the
// upstream has said that it leaves, "/cold:" with the milliseconds for which the upstream
// stays cold, "/limit:" with the requests per second that it takes, or "-" if the limit
// that the sender knows has ended, and "/slowdown:" with the percentage and the age of the
// slowdown that the upstream has reported. Unknown further parts are ignored.
func readLoadReport(h http.Header) *routing.LoadReport {
	parts := strings.Split(h.Get(headerLoad), "/")
	var numbers [5]int
	if len(parts) < len(numbers) {
		return nil
	}
	for i := range numbers {
		v, err := strconv.Atoi(parts[i])
		if err != nil || v < 0 {
			return nil
		}
		numbers[i] = v
	}
	report := &routing.LoadReport{
		Runs:    readRunTimes(h),
		InUse:   numbers[0],
		Slots:   numbers[1],
		Waiting: numbers[2],
		Service: time.Duration(numbers[3]) * time.Microsecond,
		Wait:    time.Duration(numbers[4]) * time.Microsecond,
	}
	for _, extra := range parts[len(numbers):] {
		switch extra {
		case loadDraining:
			report.Draining = true
		case loadLeaving:
			report.Leaving = true
		}
		if ms, ok := strings.CutPrefix(extra, loadColdPrefix); ok {
			if v, err := strconv.ParseInt(ms, 10, 32); err == nil && v > 0 {
				report.Cold = time.Duration(v) * time.Millisecond
			}
		}
		if rate, ok := strings.CutPrefix(extra, loadLimitPrefix); ok {
			if limit, ok := parseLimit(rate); ok || rate == loadNoLimit {
				report.Limit = &limit
			}
		}
		if text, ok := strings.CutPrefix(extra, loadSlowdownPrefix); ok {
			report.ReadAt = clock.Now()
			report.Slowdown = parseSlowdown(report.ReadAt, text)
		}
	}
	return report
}

// Optional parts of a load report.
const (
	loadDraining    = "draining"
	loadLeaving     = "leaving"
	loadColdPrefix  = "cold:"
	loadLimitPrefix = "limit:"
	loadNoLimit     = "-"
)
