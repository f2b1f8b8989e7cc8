package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const (
	crashing Fingerprint = 1
	harmless Fingerprint = 2
	shop                 = "shop"
)

// sendCrashing attempts the crashing request at an interval for some time. Each time that
// it may run, it crashes an upstream. It returns the times of the runs.
func sendCrashing(b *Tracker, every, during time.Duration) []time.Time {
	var runs []time.Time
	for at := start; at.Before(start.Add(during)); at = at.Add(every) {
		b.Sweep(at)
		if b.Start(at, crashing, shop).Quarantined {
			continue
		}
		runs = append(runs, at)
		b.UpstreamCrashed(at.Add(time.Millisecond), uint64(len(runs)), shop, []Fingerprint{crashing, Fingerprint(100 + len(runs))})
	}
	return runs
}

// However often the request is sent, it may run at most three times in total after the
// third crash.
func TestCrashingRequestRunsAFewTimes(t *testing.T) {
	for _, every := range []time.Duration{70 * time.Millisecond, 2 * time.Second, 10 * time.Minute} {
		b := NewTracker(DefaultConfig())
		runs := sendCrashing(b, every, 24*time.Hour)
		assert.Assert(t, len(runs) <= 6, "every %v: runs at %v", every, runs)
	}
}

// A request that wasn't sent for long may have been fixed, and is no longer quarantined.
func TestUnseenRequestIsForgotten(t *testing.T) {
	b := NewTracker(DefaultConfig())
	sendCrashing(b, time.Second, time.Hour)
	later := start.Add(time.Hour)
	assert.Assert(t, b.Check(later, crashing, shop).Quarantined)
	later = later.Add(DefaultConfig().Retention + time.Second)
	b.Sweep(later)
	assert.Assert(t, !b.Check(later, crashing, shop).Quarantined)
	assert.Assert(t, b.Empty())
}

// A request that was running at two crashes together with the crashing one is released by
// one answer.
func TestAnswerClears(t *testing.T) {
	b := NewTracker(DefaultConfig())
	for id := range uint64(2) {
		b.UpstreamCrashed(start, id, shop, []Fingerprint{crashing, harmless})
	}
	assert.Assert(t, b.Check(start, harmless, shop).Quarantined)
	later := start.Add(8 * time.Second)
	v := b.Start(later, harmless, shop)
	assert.Assert(t, v.Probe && !v.Quarantined)
	assert.Assert(t, b.Start(later, harmless, shop).Quarantined, "one probe at a time")
	assert.Assert(t, b.Answered(later, harmless, shop))
	assert.Equal(t, b.Check(later, harmless, shop), Verdict{})
	b.UpstreamCrashed(later, 0, shop, []Fingerprint{harmless})
	assert.Equal(t, b.Check(later, harmless, shop).Crashes, 0, "a cleared crash must not count when it is reported again")
}

// A request that many callers send is running wherever an upstream crashes, and was
// answered a moment ago. It must not be quarantined.
func TestAnswerClearsLaterCrashes(t *testing.T) {
	here, there := NewTracker(DefaultConfig()), NewTracker(DefaultConfig())
	here.Answered(start, harmless, shop)
	soon := start.Add(300 * time.Millisecond)
	for id := range uint64(3) {
		there.UpstreamCrashed(soon, id, shop, []Fingerprint{crashing, harmless})
	}
	here.Merge(soon, there.Changes(soon))
	assert.Assert(t, !here.Check(soon, harmless, shop).Quarantined)
	assert.Assert(t, here.Check(soon, crashing, shop).Quarantined)
	there.Merge(soon, here.Changes(soon))
	assert.Equal(t, there.Check(soon, harmless, shop).Crashes, 0)
	later := start.Add(2 * time.Second)
	here.UpstreamCrashed(later, 9, shop, []Fingerprint{harmless})
	assert.Equal(t, here.Check(later, harmless, shop).Crashes, 1, "an answer of two seconds ago clears nothing")
}

// If a route moves to another service, or sends a share to a newer release, crashes count
// there until the request is answered there. An answer at another service clears nothing
// here.
func TestCrashesOfAnotherService(t *testing.T) {
	b := NewTracker(DefaultConfig())
	b.UpstreamCrashed(start, 1, shop, []Fingerprint{crashing})
	b.UpstreamCrashed(start, 2, shop, []Fingerprint{crashing})
	assert.Assert(t, b.Check(start, crashing, "shop-later").Quarantined)
	b.Answered(start, crashing, "shop-later")
	assert.Assert(t, !b.Check(start, crashing, "shop-later").Quarantined)
	assert.Assert(t, b.Check(start, crashing, shop).Quarantined)
}

// An operator releases a request at all services.
func TestRelease(t *testing.T) {
	b := NewTracker(DefaultConfig())
	sendCrashing(b, time.Second, time.Hour)
	now := start.Add(time.Hour)
	assert.Assert(t, !b.Release(now, harmless))
	assert.Assert(t, b.Release(now, crashing))
	assert.Assert(t, !b.Check(now, crashing, shop).Quarantined)
}

// Many crashes under different requests take bounded memory, and quarantined requests
// stay quarantined.
func TestRecordsAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRecords = 50
	b := NewTracker(cfg)
	sendCrashing(b, time.Second, time.Minute)
	for i := range 1000 {
		b.UpstreamCrashed(start.Add(time.Minute), uint64(1000+i), shop, []Fingerprint{Fingerprint(5000 + i), Fingerprint(9000 + i)})
	}
	assert.Equal(t, b.count(), cfg.MaxRecords)
	assert.Assert(t, b.Check(start.Add(time.Minute), crashing, shop).Quarantined)
}

// trackerFleet is the state machine of trackers that learn of crashes and answers and
// exchange records.
type trackerFleet struct {
	now      time.Time
	trackers []*Tracker
	// running and cleared hold the crashes at which each request was running, and those
	// cleared by an answer at a node that knew of them.
	running, cleared map[Fingerprint]map[uint64]bool
	crashes          uint64
}

const (
	fleetTrackers = 3
	fleetRequests = 4
)

// fleetConfig disables AnsweredLifetime, so that an answer only clears the crashes known
// when it comes.
func fleetConfig() Config {
	cfg := DefaultConfig()
	cfg.AnsweredLifetime = 0
	return cfg
}

func drawRequest(t *rapid.T) Fingerprint {
	return Fingerprint(rapid.IntRange(1, fleetRequests).Draw(t, "request"))
}

func (m *trackerFleet) drawTracker(t *rapid.T) *Tracker {
	return m.trackers[rapid.IntRange(0, fleetTrackers-1).Draw(t, "tracker")]
}

func (m *trackerFleet) crash(t *rapid.T) {
	m.crashes++
	requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, fleetRequests).Draw(t, "requests")
	m.drawTracker(t).UpstreamCrashed(m.now, m.crashes, shop, requests)
	for _, r := range requests {
		m.running[r][m.crashes] = true
	}
}

func (m *trackerFleet) answer(t *rapid.T) {
	b, r := m.drawTracker(t), drawRequest(t)
	if rec, ok := b.records[r][shop]; ok {
		for _, id := range rec.crashes {
			m.cleared[r][id] = true
		}
	}
	b.Answered(m.now, r, shop)
}

// exchange merges the changed records, or all records, of one tracker into another.
func (m *trackerFleet) exchange(t *rapid.T) {
	from, to := m.drawTracker(t), m.drawTracker(t)
	if rapid.Bool().Draw(t, "changes") {
		to.Merge(m.now, from.Changes(m.now))
		return
	}
	to.Merge(m.now, from.Records(m.now))
}

func (m *trackerFleet) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// restart replaces a tracker by an empty one, as after a restart of its node.
func (m *trackerFleet) restart(t *rapid.T) {
	m.trackers[rapid.IntRange(1, fleetTrackers-1).Draw(t, "tracker")] = NewTracker(fleetConfig())
}

// uncleared returns the number of crashes that count against a request if everything is
// known.
func (m *trackerFleet) uncleared(r Fingerprint) int {
	n := 0
	for id := range m.running[r] {
		if !m.cleared[r][id] {
			n++
		}
	}
	return n
}

// check verifies that no tracker counts more crashes against a request than those at which
// the request was running.
func (m *trackerFleet) check(t *rapid.T) {
	for _, b := range m.trackers {
		for r := Fingerprint(1); r <= fleetRequests; r++ {
			if crashes := b.Check(m.now, r, shop).Crashes; crashes > len(m.running[r]) {
				t.Fatalf("request %d was running at %d crashes, a tracker counts %d", r, len(m.running[r]), crashes)
			}
		}
	}
}

// Trackers that have exchanged all records agree, whatever the order of the exchanges,
// and count against a request exactly the crashes that no answer has cleared.
func TestTrackersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &trackerFleet{now: start, running: make(map[Fingerprint]map[uint64]bool), cleared: make(map[Fingerprint]map[uint64]bool)}
		for range fleetTrackers {
			m.trackers = append(m.trackers, NewTracker(fleetConfig()))
		}
		for r := Fingerprint(1); r <= fleetRequests; r++ {
			m.running[r], m.cleared[r] = make(map[uint64]bool), make(map[uint64]bool)
		}
		restarts := rapid.Bool().Draw(t, "restarts")
		actions := map[string]func(*rapid.T){"crash": m.crash, "answer": m.answer, "sync": m.exchange, "pass time": m.advance, "": m.check}
		if restarts {
			actions["restart"] = m.restart
		}
		t.Repeat(actions)
		for range fleetTrackers {
			for _, from := range m.trackers {
				for _, to := range m.trackers {
					to.Merge(m.now, from.Records(m.now))
				}
			}
		}
		for _, b := range m.trackers {
			if b.Digest() != m.trackers[0].Digest() {
				t.Fatalf("trackers differ after exchanging all records")
			}
			for r := Fingerprint(1); r <= fleetRequests; r++ {
				if restarts || len(m.running[r]) > maxCrashes {
					continue // some records may have been lost
				}
				if got, want := b.Check(m.now, r, shop).Crashes, m.uncleared(r); got != want {
					t.Fatalf("request %d: %d crashes count, want %d", r, got, want)
				}
			}
		}
	})
}

// The fingerprint depends on what the caller requests and on nothing else.
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
