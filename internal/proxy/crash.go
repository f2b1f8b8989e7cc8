package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// Crash reports that an upstream's process ended while it may have been running
// requests.
type Crash struct {
	// ID identifies the crash; later reports about the same crash have the same ID.
	ID uint64
	// FirstReport says that this crash has not been reported before.
	FirstReport bool
	Upstream    string
	Requests    []quarantine.Fingerprint
}

// crashDetector finds out whether requests lost their connection because the upstream
// beside this node crashed, and which requests it may have been running then.
type crashDetector struct {
	refusesConnections func() bool // probes whether the upstream refuses connections now
	report             func(Crash)

	mu        sync.Mutex // guards the fields below
	running   map[*backendCall]struct{}
	lost      []lostRequest
	upstream  string // instance whose connection broke last
	probing   bool
	crashID   uint64    // ID of the last crash; 0 once the upstream is known to be back
	crashedAt time.Time // when the crash was detected
}

// lostRequest is a request whose connection broke.
type lostRequest struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

const (
	// lostWindow is how long after a broken connection a refused one still counts as
	// its explanation.
	lostWindow = 2 * time.Second
	// maxLost bounds the requests that are attributed to one crash. It is several times
	// the slots of an upstream.
	maxLost = 256
	// recheckDelay is the wait before an upstream that accepted the probe's connection
	// is probed again: a process that ends may close its listener after its
	// connections.
	recheckDelay = 20 * time.Millisecond
	// crashSettleTime is how long after a crash the connections made before it may
	// still accept requests.
	crashSettleTime = 50 * time.Millisecond
)

func newCrashDetector(refusesConnections func() bool, report func(Crash)) *crashDetector {
	return &crashDetector{refusesConnections: refusesConnections, report: report, running: make(map[*backendCall]struct{})}
}

// requestSent records that a request is sent to the upstream.
func (d *crashDetector) requestSent(c *backendCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[c] = struct{}{}
}

// requestEnded records that the upstream no longer runs a request.
func (d *crashDetector) requestEnded(c *backendCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, c)
}

// requestAnswered records a response, which shows that the upstream is alive.
func (d *crashDetector) requestAnswered(c *backendCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteRecovery(c)
}

// noteRecovery ends the last crash if the request shows that the upstream is back: it
// was sent to another instance, or more than crashSettleTime after the crash. The lock
// must be held.
func (d *crashDetector) noteRecovery(c *backendCall) {
	if c.env.Target != d.upstream || c.sentAt.After(d.crashedAt.Add(crashSettleTime)) {
		d.crashID = 0
	}
}

// connectionLost records that the connection of a request broke, and probes the
// upstream in the background.
func (d *crashDetector) connectionLost(c *backendCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteRecovery(c)
	d.upstream = c.env.Target
	now := clock.Now()
	d.lost = append(d.recentLost(now), lostRequest{c.env.Fingerprint, now})
	if d.probing || d.refusesConnections == nil {
		return
	}
	d.probing = true
	go d.probe()
}

// probe checks whether the upstream refuses connections, a second time if it does not.
func (d *crashDetector) probe() {
	refused := d.refusesConnections()
	if !refused {
		time.Sleep(recheckDelay)
		refused = d.refusesConnections()
	}
	d.mu.Lock()
	d.probing = false
	d.mu.Unlock()
	if refused {
		d.recordCrash()
	}
}

// recordCrash records that the upstream has crashed, however that was found out. It
// explains the connections lost shortly before and those lost from now on.
func (d *crashDetector) recordCrash() {
	crash, ok := d.takeCrash(clock.Now())
	if ok && d.report != nil {
		d.report(crash)
	}
}

// recentLost returns the requests that lost their connection within lostWindow, at most
// the last maxLost. The lock must be held.
func (d *crashDetector) recentLost(now time.Time) []lostRequest {
	lost := slices.DeleteFunc(d.lost, func(l lostRequest) bool { return now.Sub(l.at) >= lostWindow })
	return lost[max(len(lost)-maxLost, 0):]
}

func (d *crashDetector) takeCrash(now time.Time) (Crash, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.recentLost(now)
	if len(lost) == 0 {
		return Crash{}, false
	}
	var requests []quarantine.Fingerprint
	for _, l := range lost {
		requests = append(requests, l.fingerprint)
	}
	for c := range d.running {
		requests = append(requests, c.env.Fingerprint)
	}
	d.lost = nil
	isNew := d.crashID == 0
	if isNew {
		d.crashID, d.crashedAt = rand.Uint64(), now
	}
	return Crash{ID: d.crashID, FirstReport: isNew, Upstream: d.upstream, Requests: requests}, true
}
