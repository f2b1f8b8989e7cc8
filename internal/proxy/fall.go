package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// Crash tells that the process of an upstream ended while it may have been running
// requests.
type Crash struct {
	// ID is the same for what is learnt later of the same fall, and no other has it.
	ID uint64
	// FirstReport says that nothing was told of this fall before.
	FirstReport bool
	Upstream    string
	Requests    []quarantine.Fingerprint
}

// fallWatch finds out whether requests lost their connection because the upstream
// beside this node ended, and which it may have been running then.
type fallWatch struct {
	refuses func() bool // whether the upstream refuses connections now
	tell    func(Crash)

	mu       sync.Mutex // guards what follows
	running  map[*backendCall]struct{}
	lost     []lostRequest
	upstream string // whose connections broke last
	looking  bool
	fall     uint64    // ID of the last one; 0 once the upstream is known to be back
	at       time.Time // when it was noticed
}

// lostRequest is a request whose connection broke.
type lostRequest struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

const (
	// lostMemory is how long after a broken connection a refused one explains it.
	lostMemory = 2 * time.Second
	// maxLost bounds the requests that one fall explains: several times the slots of an
	// upstream.
	maxLost = 256
	// secondLook is the wait before an upstream that accepts a connection is looked at
	// again: a process that ends may close its listener after its connections.
	secondLook = 20 * time.Millisecond
	// fallSettles is how long connections made before a fall may still take requests.
	fallSettles = 50 * time.Millisecond
)

func newFallWatch(refuses func() bool, tell func(Crash)) *fallWatch {
	return &fallWatch{refuses: refuses, tell: tell, running: make(map[*backendCall]struct{})}
}

// sent notes that a request is passed to the upstream.
func (f *fallWatch) sent(c *backendCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[c] = struct{}{}
}

// ended notes that the upstream runs a request no more.
func (f *fallWatch) ended(c *backendCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, c)
}

// answered notes that the upstream lives.
func (f *fallWatch) answered(c *backendCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteBack(c)
}

// noteBack ends the last fall if a request reached the upstream after it. The lock is
// held.
func (f *fallWatch) noteBack(c *backendCall) {
	if c.env.Target != f.upstream || c.sent.After(f.at.Add(fallSettles)) {
		f.fall = 0
	}
}

// lostConnection notes that the connection of a request broke, and looks whether the
// upstream is there.
func (f *fallWatch) lostConnection(c *backendCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteBack(c)
	f.upstream = c.env.Target
	now := clock.Now()
	f.lost = append(f.recent(now), lostRequest{c.env.Fingerprint, now})
	if f.looking || f.refuses == nil {
		return
	}
	f.looking = true
	go f.look()
}

// look asks the upstream for a connection, twice if it gives one.
func (f *fallWatch) look() {
	refused := f.refuses()
	if !refused {
		time.Sleep(secondLook)
		refused = f.refuses()
	}
	f.mu.Lock()
	f.looking = false
	f.mu.Unlock()
	if refused {
		f.fell()
	}
}

// fell notes that the upstream has ended, by whatever showed it. That explains the
// connections lost a short while ago and those that will be.
func (f *fallWatch) fell() {
	fall, ok := f.takeFall(clock.Now())
	if ok && f.tell != nil {
		f.tell(fall)
	}
}

// recent returns the requests that lost their connection a short while ago, the last
// ones if they are many. The lock is held.
func (f *fallWatch) recent(now time.Time) []lostRequest {
	lost := slices.DeleteFunc(f.lost, func(l lostRequest) bool { return now.Sub(l.at) >= lostMemory })
	return lost[max(len(lost)-maxLost, 0):]
}

func (f *fallWatch) takeFall(now time.Time) (Crash, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.recent(now)
	if len(lost) == 0 {
		return Crash{}, false
	}
	var requests []quarantine.Fingerprint
	for _, l := range lost {
		requests = append(requests, l.fingerprint)
	}
	for c := range f.running {
		requests = append(requests, c.env.Fingerprint)
	}
	f.lost = nil
	first := f.fall == 0
	if first {
		f.fall, f.at = rand.Uint64(), now
	}
	return Crash{ID: f.fall, FirstReport: first, Upstream: f.upstream, Requests: requests}, true
}
