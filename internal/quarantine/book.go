package quarantine

import (
	"slices"
	"time"
)

// Tracker remembers which requests were running when upstreams fell. It is not safe for
// concurrent use.
type Tracker struct {
	cfg     Config
	records map[Fingerprint]map[string]*record // by request and service
	changed map[key]struct{}                   // to be told to other nodes
	// answers are the last ones, each at a place given by its request.
	answers [answersKept]answer
}

// answersKept is the number of answers that are remembered: those of a second at some
// thousand a second. One takes the place of another.
const answersKept = 4096

// answer is an answer of an upstream.
type answer struct {
	key
	at time.Time
}

// NewTracker returns an empty book.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, records: make(map[Fingerprint]map[string]*record), changed: make(map[key]struct{})}
}

// Changed reports whether there is anything to tell other nodes.
func (b *Tracker) Changed() bool { return len(b.changed) > 0 }

// Empty reports whether nothing is remembered.
func (b *Tracker) Empty() bool { return len(b.records) == 0 }

// UpstreamCrashed notes a fall of an upstream of a service and the requests that it may have been
// running. The ID tells it from other falls.
func (b *Tracker) UpstreamCrashed(now time.Time, id uint64, service string, requests []Fingerprint) {
	for _, r := range requests {
		if r == 0 {
			continue
		}
		k := key{r, service}
		rec := b.record(now, k)
		if rec.add(id) {
			rec.last = latest(rec.last, now)
			b.changed[k] = struct{}{}
			b.clearIfAnswered(now, k)
		}
	}
	b.makeRoom(now)
}

// clearIfAnswered clears a request of a fall that has just been heard of, if an upstream
// has answered it a moment ago.
func (b *Tracker) clearIfAnswered(now time.Time, k key) {
	a := b.answers[k.place()]
	if a.key == k && now.Sub(a.at) < b.cfg.AnsweredFor {
		b.release(now, k)
	}
}

func (k key) place() uint64 { return mix(uint64(k.request)) % answersKept }

// Answered notes that an upstream of a service has answered a request, and so lives. It
// reports whether that clears it of anything.
func (b *Tracker) Answered(now time.Time, r Fingerprint, service string) bool {
	k := key{r, service}
	b.answers[k.place()] = answer{k, now}
	services, ok := b.records[r]
	if !ok {
		return false
	}
	if rec, ok := services[service]; ok && rec.good && len(rec.falls) == 0 {
		rec.seen = now
		return false
	}
	b.release(now, k)
	return true
}

// release clears all falls of a record.
func (b *Tracker) release(now time.Time, k key) {
	rec := b.record(now, k)
	rec.seen, rec.good, rec.since = now, true, time.Time{}
	rec.clear(slices.Clone(rec.falls)...)
	b.changed[k] = struct{}{}
}

// Release lets a request through again at all services. It reports whether it was held
// back.
func (b *Tracker) Release(now time.Time, r Fingerprint) bool {
	held := false
	for service, rec := range b.records[r] {
		if len(rec.falls) > 0 {
			held = true
			b.release(now, key{r, service})
		}
	}
	return held
}

// Verdict says whether a request may run.
type Verdict struct {
	Held    bool
	After   time.Duration // until it may be tried again, if it is held
	Probe   bool          // it may run once, to see whether the upstream bears it
	Crashes int
}

// Check says whether a request may run at a service.
func (b *Tracker) Check(now time.Time, r Fingerprint, service string) Verdict {
	v := b.judge(now, r, service)
	if v.Crashes >= b.cfg.HoldAfter {
		for _, rec := range b.records[r] {
			rec.seen = now
		}
	}
	return v
}

// judge is Check for one who does not ask for an attempt.
func (b *Tracker) judge(now time.Time, r Fingerprint, service string) Verdict {
	services, ok := b.records[r]
	if !ok {
		return Verdict{}
	}
	falls, last := weigh(services, service)
	if falls < b.cfg.HoldAfter {
		return Verdict{Crashes: falls}
	}
	number := falls - b.cfg.HoldAfter
	if number >= len(b.cfg.Probes) {
		return Verdict{Held: true, After: b.cfg.Memory, Crashes: falls}
	}
	wait := b.cfg.Probes[number]
	due := last.Add(wait + b.spread(r, wait))
	if now.Before(due) {
		return Verdict{Held: true, After: due.Sub(now), Crashes: falls}
	}
	return Verdict{Probe: true, Crashes: falls}
}

// weigh counts what speaks against a request at a service, and says when it last ran
// with an unknown end. Falls elsewhere count as long as nobody has seen it answered here:
// a route may move to another service, and a release may be what cannot bear it.
func weigh(services map[string]*record, service string) (falls int, last time.Time) {
	own := services[service]
	for _, rec := range services {
		if own != nil && own.good && rec != own {
			continue
		}
		falls += len(rec.falls)
		last = latest(last, rec.last)
	}
	return falls, last
}

// spreadShare is the part of the wait for a probe over which nodes are spread, so that
// the first one has told the others when the next would try.
const spreadShare = 0.5

func (b *Tracker) spread(r Fingerprint, wait time.Duration) time.Duration {
	const buckets = 1 << 16
	at := float64(mix(uint64(r)^b.cfg.Seed)%buckets) / buckets
	return time.Duration(spreadShare * at * float64(wait))
}

// Start is Check for a request that is passed to an upstream now. A probe is noted, so
// that no other follows before its end is known.
func (b *Tracker) Start(now time.Time, r Fingerprint, service string) Verdict {
	v := b.Check(now, r, service)
	if v.Probe {
		k := key{r, service}
		rec := b.record(now, k)
		rec.last = now
		b.changed[k] = struct{}{}
	}
	return v
}

// Refused notes that a request was held back, and what it is. It reports whether that
// has begun with it, at this node.
func (b *Tracker) Refused(now time.Time, r Fingerprint, service string, about RequestInfo) bool {
	rec := b.record(now, key{r, service})
	rec.refused++
	first := rec.since.IsZero()
	if first {
		rec.since, rec.about = now, about
	}
	return first
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
