package quarantine

import (
	"slices"
	"time"
)

// Tracker remembers which requests were running when upstreams crashed, and decides which
// requests may run. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	records map[Fingerprint]map[string]*record // by request and service
	changed map[key]struct{}                   // to be sent to other nodes
	// answers holds the most recent answers, each in the slot given by the hash of its
	// key.
	answers [answerSlots]answer
}

// answerSlots is the number of answers that are remembered: those of one second at a rate
// of some thousand a second. A new answer overwrites the old one in its slot.
const answerSlots = 4096

// answer is a response of an upstream to a request.
type answer struct {
	key
	at time.Time
}

// NewTracker returns a tracker without records.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, records: make(map[Fingerprint]map[string]*record), changed: make(map[key]struct{})}
}

// Changed reports whether there are changed records to send to other nodes.
func (t *Tracker) Changed() bool { return len(t.changed) > 0 }

// Empty reports whether there are no records.
func (t *Tracker) Empty() bool { return len(t.records) == 0 }

// UpstreamCrashed records a crash of an upstream of a service and the requests that it
// may have been running. id identifies the crash on all nodes.
func (t *Tracker) UpstreamCrashed(now time.Time, id uint64, service string, requests []Fingerprint) {
	for _, r := range requests {
		if r == 0 {
			continue
		}
		k := key{r, service}
		rec := t.record(now, k)
		if rec.addCrash(id) {
			rec.lastRun = latest(rec.lastRun, now)
			t.changed[k] = struct{}{}
			t.clearIfAnswered(now, k)
		}
	}
	t.evict(now)
}

// clearIfAnswered clears a request of a crash that has just become known if an upstream
// answered the request within AnsweredLifetime.
func (t *Tracker) clearIfAnswered(now time.Time, k key) {
	a := t.answers[k.answerSlot()]
	if a.key == k && now.Sub(a.at) < t.cfg.AnsweredLifetime {
		t.release(now, k)
	}
}

func (k key) answerSlot() uint64 { return hash64(uint64(k.request)) % answerSlots }

// Answered records that an upstream of a service has answered a request and so wasn't
// crashed by it. It reports whether that changed the record of the request.
func (t *Tracker) Answered(now time.Time, r Fingerprint, service string) bool {
	k := key{r, service}
	t.answers[k.answerSlot()] = answer{k, now}
	services, ok := t.records[r]
	if !ok {
		return false
	}
	if rec, ok := services[service]; ok && rec.answered && len(rec.crashes) == 0 {
		rec.lastSeen = now
		return false
	}
	t.release(now, k)
	return true
}

// release clears all crashes of a record.
func (t *Tracker) release(now time.Time, k key) {
	rec := t.record(now, k)
	rec.lastSeen, rec.answered, rec.quarantinedAt = now, true, time.Time{}
	rec.clear(slices.Clone(rec.crashes)...)
	t.changed[k] = struct{}{}
}

// Release releases a request from quarantine at all services. It reports whether any
// crashes were held against it.
func (t *Tracker) Release(now time.Time, r Fingerprint) bool {
	held := false
	for service, rec := range t.records[r] {
		if len(rec.crashes) > 0 {
			held = true
			t.release(now, key{r, service})
		}
	}
	return held
}

// Verdict says whether a request may run.
type Verdict struct {
	Quarantined bool
	After       time.Duration // until the next probe may run, if the request is quarantined
	Probe       bool          // may run once, to find out whether it still crashes its upstream
	Crashes     int
}

// Check returns whether a request may run at a service. If the request is quarantined or
// due for a probe, the check counts as an attempt, so that its records are kept for
// another Config.Retention.
func (t *Tracker) Check(now time.Time, r Fingerprint, service string) Verdict {
	v := t.evaluate(now, r, service)
	if v.Crashes >= t.cfg.QuarantineAfter {
		for _, rec := range t.records[r] {
			rec.lastSeen = now
		}
	}
	return v
}

// evaluate is Check without counting an attempt.
func (t *Tracker) evaluate(now time.Time, r Fingerprint, service string) Verdict {
	services, ok := t.records[r]
	if !ok {
		return Verdict{}
	}
	crashes, lastRun := countCrashes(services, service)
	if crashes < t.cfg.QuarantineAfter {
		return Verdict{Crashes: crashes}
	}
	number := crashes - t.cfg.QuarantineAfter
	if number >= len(t.cfg.Probes) {
		return Verdict{Quarantined: true, After: t.cfg.Retention, Crashes: crashes}
	}
	wait := t.cfg.Probes[number]
	due := lastRun.Add(wait + t.probeDelay(r, wait))
	if now.Before(due) {
		return Verdict{Quarantined: true, After: due.Sub(now), Crashes: crashes}
	}
	return Verdict{Probe: true, Crashes: crashes}
}

// countCrashes returns the number of crashes that count against a request at a service,
// and when the request last ran without a known result. Crashes at other services count
// until the request has been answered at this one: a route may move to another service,
// and a newer release of a service may be what the request crashes.
func countCrashes(services map[string]*record, service string) (crashes int, lastRun time.Time) {
	own := services[service]
	for _, rec := range services {
		if own != nil && own.answered && rec != own {
			continue
		}
		crashes += len(rec.crashes)
		lastRun = latest(lastRun, rec.lastRun)
	}
	return crashes, lastRun
}

// probeSpread is the share of the wait for a probe over which the probes of the nodes are
// spread, so that the first one has sent its record to the others before the next would
// probe.
const probeSpread = 0.5

func (t *Tracker) probeDelay(r Fingerprint, wait time.Duration) time.Duration {
	const buckets = 1 << 16
	at := float64(hash64(uint64(r)^t.cfg.Seed)%buckets) / buckets
	return time.Duration(probeSpread * at * float64(wait))
}

// Start is Check for a request that is dispatched to an upstream now. It records a probe,
// so that no other one follows before its result is known.
func (t *Tracker) Start(now time.Time, r Fingerprint, service string) Verdict {
	v := t.Check(now, r, service)
	if v.Probe {
		k := key{r, service}
		rec := t.record(now, k)
		rec.lastRun = now
		t.changed[k] = struct{}{}
	}
	return v
}

// Refused records that a quarantined request was refused, with a description of it for
// operators. It reports whether this is the first refusal of its quarantine at this node.
func (t *Tracker) Refused(now time.Time, r Fingerprint, service string, about RequestInfo) bool {
	rec := t.record(now, key{r, service})
	rec.refused++
	first := rec.quarantinedAt.IsZero()
	if first {
		rec.quarantinedAt, rec.info = now, about
	}
	return first
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
