package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const (
	culprit  Fingerprint = 1
	innocent Fingerprint = 2
	shop                 = "shop"
)

// deadly sends the culprit every interval for a time and lets it end an upstream each
// time that it may run. It returns when that was.
func deadly(b *Tracker, every, during time.Duration) []time.Time {
	var runs []time.Time
	for at := start; at.Before(start.Add(during)); at = at.Add(every) {
		b.Sweep(at)
		if b.Start(at, culprit, shop).Held {
			continue
		}
		runs = append(runs, at)
		b.UpstreamCrashed(at.Add(time.Millisecond), uint64(len(runs)), shop, []Fingerprint{culprit, Fingerprint(100 + len(runs))})
	}
	return runs
}

// The users' bound is three more runs in all after the third fall, however long the
// request comes: seldom, often, for hours.
func TestCulpritRunsAFewTimesInAll(t *testing.T) {
	for _, every := range []time.Duration{70 * time.Millisecond, 2 * time.Second, 10 * time.Minute} {
		b := NewTracker(DefaultConfig())
		runs := deadly(b, every, 24*time.Hour)
		assert.Assert(t, len(runs) <= 6, "every %v: runs at %v", every, runs)
	}
}

// One that was not seen for long may be mended, and is tried anew.
func TestCulpritIsForgottenWhenItDoesNotCome(t *testing.T) {
	b := NewTracker(DefaultConfig())
	deadly(b, time.Second, time.Hour)
	later := start.Add(time.Hour)
	assert.Assert(t, b.Check(later, culprit, shop).Held)
	later = later.Add(DefaultConfig().Memory + time.Second)
	b.Sweep(later)
	assert.Assert(t, !b.Check(later, culprit, shop).Held)
	assert.Assert(t, b.Empty())
}

// A request that was cut at two falls beside the culprit is free after one answer.
func TestAnswerClears(t *testing.T) {
	b := NewTracker(DefaultConfig())
	for id := range uint64(2) {
		b.UpstreamCrashed(start, id, shop, []Fingerprint{culprit, innocent})
	}
	assert.Assert(t, b.Check(start, innocent, shop).Held)
	later := start.Add(8 * time.Second)
	v := b.Start(later, innocent, shop)
	assert.Assert(t, v.Probe && !v.Held)
	assert.Assert(t, b.Start(later, innocent, shop).Held, "one probe at a time")
	assert.Assert(t, b.Answered(later, innocent, shop))
	assert.Equal(t, b.Check(later, innocent, shop), Verdict{})
	b.UpstreamCrashed(later, 0, shop, []Fingerprint{innocent})
	assert.Equal(t, b.Check(later, innocent, shop).Crashes, 0, "a fall that is told again was cleared")
}

// A request that many send was answered a moment ago wherever upstreams fall under it.
func TestAnswerClearsFallsThatFollow(t *testing.T) {
	here, there := NewTracker(DefaultConfig()), NewTracker(DefaultConfig())
	here.Answered(start, innocent, shop)
	soon := start.Add(300 * time.Millisecond)
	for id := range uint64(3) {
		there.UpstreamCrashed(soon, id, shop, []Fingerprint{culprit, innocent})
	}
	here.Merge(soon, there.Changes(soon))
	assert.Assert(t, !here.Check(soon, innocent, shop).Held)
	assert.Assert(t, here.Check(soon, culprit, shop).Held)
	there.Merge(soon, here.Changes(soon))
	assert.Equal(t, there.Check(soon, innocent, shop).Crashes, 0)
	later := start.Add(2 * time.Second)
	here.UpstreamCrashed(later, 9, shop, []Fingerprint{innocent})
	assert.Equal(t, here.Check(later, innocent, shop).Crashes, 1, "an answer of two seconds ago clears nothing")
}

// Where a route moves to another service, or gives a part to a later release, falls
// count until the request is answered there; an answer elsewhere clears nothing here.
func TestFallsOfAnotherService(t *testing.T) {
	b := NewTracker(DefaultConfig())
	b.UpstreamCrashed(start, 1, shop, []Fingerprint{culprit})
	b.UpstreamCrashed(start, 2, shop, []Fingerprint{culprit})
	assert.Assert(t, b.Check(start, culprit, "shop-later").Held)
	b.Answered(start, culprit, "shop-later")
	assert.Assert(t, !b.Check(start, culprit, "shop-later").Held)
	assert.Assert(t, b.Check(start, culprit, shop).Held)
}

// An operator lets a request through at all services.
func TestRelease(t *testing.T) {
	b := NewTracker(DefaultConfig())
	deadly(b, time.Second, time.Hour)
	now := start.Add(time.Hour)
	assert.Assert(t, !b.Release(now, innocent))
	assert.Assert(t, b.Release(now, culprit))
	assert.Assert(t, !b.Check(now, culprit, shop).Held)
}

// A flood of falls under different requests takes bounded memory, and what is held back
// stays so.
func TestRoomIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRecords = 50
	b := NewTracker(cfg)
	deadly(b, time.Second, time.Minute)
	for i := range 1000 {
		b.UpstreamCrashed(start.Add(time.Minute), uint64(1000+i), shop, []Fingerprint{Fingerprint(5000 + i), Fingerprint(9000 + i)})
	}
	assert.Equal(t, b.count(), cfg.MaxRecords)
	assert.Assert(t, b.Check(start.Add(time.Minute), culprit, shop).Held)
}

// fleetOfBooks is the state machine of books that hear of falls and answers and tell
// each other.
type fleetOfBooks struct {
	now   time.Time
	books []*Tracker
	// at and cleared are the falls of each request, and those after which it was answered
	// by a node that knew of them.
	at, cleared map[Fingerprint]map[uint64]bool
	falls       uint64
}

const (
	machineBooks    = 3
	machineRequests = 4
)

// machineConfig has answers clear what is known when they come, and no more.
func machineConfig() Config {
	cfg := DefaultConfig()
	cfg.AnsweredFor = 0
	return cfg
}

func drawRequest(t *rapid.T) Fingerprint {
	return Fingerprint(rapid.IntRange(1, machineRequests).Draw(t, "request"))
}

func (m *fleetOfBooks) book(t *rapid.T) *Tracker {
	return m.books[rapid.IntRange(0, machineBooks-1).Draw(t, "book")]
}

func (m *fleetOfBooks) fall(t *rapid.T) {
	m.falls++
	requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, machineRequests).Draw(t, "requests")
	m.book(t).UpstreamCrashed(m.now, m.falls, shop, requests)
	for _, r := range requests {
		m.at[r][m.falls] = true
	}
}

func (m *fleetOfBooks) answer(t *rapid.T) {
	b, r := m.book(t), drawRequest(t)
	if rec, ok := b.records[r][shop]; ok {
		for _, id := range rec.falls {
			m.cleared[r][id] = true
		}
	}
	b.Answered(m.now, r, shop)
}

// tell gives one book the changes or all records of another one.
func (m *fleetOfBooks) tell(t *rapid.T) {
	from, to := m.book(t), m.book(t)
	if rapid.Bool().Draw(t, "changes") {
		to.Merge(m.now, from.Changes(m.now))
		return
	}
	to.Merge(m.now, from.Records(m.now))
}

func (m *fleetOfBooks) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// restart makes a book forget all, as its process ends.
func (m *fleetOfBooks) restart(t *rapid.T) {
	m.books[rapid.IntRange(1, machineBooks-1).Draw(t, "book")] = NewTracker(machineConfig())
}

// against counts what speaks against a request if all is known.
func (m *fleetOfBooks) against(r Fingerprint) int {
	n := 0
	for id := range m.at[r] {
		if !m.cleared[r][id] {
			n++
		}
	}
	return n
}

// check holds for each book at any time: nothing is held against a request that was not
// running at a fall.
func (m *fleetOfBooks) check(t *rapid.T) {
	for _, b := range m.books {
		for r := Fingerprint(1); r <= machineRequests; r++ {
			if falls := b.Check(m.now, r, shop).Crashes; falls > len(m.at[r]) {
				t.Fatalf("request %d was at %d falls, a book has %d", r, len(m.at[r]), falls)
			}
		}
	}
}

// Books that have told each other all agree, in whatever order that came, and hold
// against a request exactly the falls after which nobody saw it answered.
func TestBooksAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetOfBooks{now: start, at: make(map[Fingerprint]map[uint64]bool), cleared: make(map[Fingerprint]map[uint64]bool)}
		for range machineBooks {
			m.books = append(m.books, NewTracker(machineConfig()))
		}
		for r := Fingerprint(1); r <= machineRequests; r++ {
			m.at[r], m.cleared[r] = make(map[uint64]bool), make(map[uint64]bool)
		}
		restarts := rapid.Bool().Draw(t, "restarts")
		actions := map[string]func(*rapid.T){"fall": m.fall, "answer": m.answer, "tell": m.tell, "pass": m.pass, "": m.check}
		if restarts {
			actions["restart"] = m.restart
		}
		t.Repeat(actions)
		for range machineBooks {
			for _, from := range m.books {
				for _, to := range m.books {
					to.Merge(m.now, from.Records(m.now))
				}
			}
		}
		for _, b := range m.books {
			if b.Digest() != m.books[0].Digest() {
				t.Fatalf("books differ after all was told")
			}
			for r := Fingerprint(1); r <= machineRequests; r++ {
				if restarts || len(m.at[r]) > maxFalls {
					continue // some of what was known may be lost
				}
				if got, want := b.Check(m.now, r, shop).Crashes, m.against(r); got != want {
					t.Fatalf("request %d: %d falls count, want %d", r, got, want)
				}
			}
		}
	})
}

// The fingerprint tells what callers ask for, and nothing else.
func TestFingerprints(t *testing.T) {
	base := Request{RequestInfo: RequestInfo{Method: "POST", Host: "a.example", Target: "/x?y=1", Tenant: "t"}, Body: []byte("body")}
	others := map[string]Request{
		"method": {RequestInfo: RequestInfo{Method: "PUT", Host: base.Host, Target: base.Target, Tenant: base.Tenant}, Body: base.Body},
		"host":   {RequestInfo: RequestInfo{Method: base.Method, Host: "b.example", Target: base.Target, Tenant: base.Tenant}, Body: base.Body},
		"query":  {RequestInfo: RequestInfo{Method: base.Method, Host: base.Host, Target: "/x?y=2", Tenant: base.Tenant}, Body: base.Body},
		"tenant": {RequestInfo: RequestInfo{Method: base.Method, Host: base.Host, Target: base.Target, Tenant: "u"}, Body: base.Body},
		"body":   {RequestInfo: RequestInfo{Method: base.Method, Host: base.Host, Target: base.Target, Tenant: base.Tenant}, Body: []byte("bode")},
		"parts":  {RequestInfo: RequestInfo{Method: base.Method, Host: "a.example/x", Target: "?y=1", Tenant: base.Tenant}, Body: base.Body},
		"unread": {RequestInfo: RequestInfo{Method: base.Method, Host: base.Host, Target: base.Target, Tenant: base.Tenant}, Length: 4},
	}
	assert.Equal(t, base.Fingerprint(), base.Fingerprint())
	for name, r := range others {
		assert.Assert(t, r.Fingerprint() != base.Fingerprint(), name)
	}
	for _, f := range []Fingerprint{0, 1, base.Fingerprint()} {
		got, err := ParseFingerprint(f.String())
		assert.NilError(t, err)
		assert.Equal(t, got, f)
	}
}
