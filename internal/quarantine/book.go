package quarantine

import (
	"slices"
	"time"
)

// Config holds the settings of a Book.
type Config struct {
	// HoldAfter is the number of falls, with no answer since, from which on a request is
	// held back. Fewer saves upstreams, more holds back fewer innocent requests: those
	// that were cut with the cause are tried again with it, and fall with it twice.
	// Default 2.
	HoldAfter int
	// Trials are the times after the last fall or trial at which a request is let
	// through once more, by the number of its falls from HoldAfter on. After the last
	// one it waits until it is released or was not seen for Memory. Longer spares
	// upstreams, shorter clears innocent requests sooner. Default 5 s, 30 s, 2 min: an
	// innocent request that comes again is free soon, and the cause ends three more
	// upstreams at most.
	Trials []time.Duration
	// AnsweredFor is how long an answer also clears falls that come after it. A request
	// that many callers send is running at every upstream at any time, and was answered a
	// moment ago: without it such a one was held back when two upstreams fell at once.
	// Longer clears those that come more seldom; one that ran well and now ends upstreams
	// is noticed so much later. Default 1 s.
	AnsweredFor time.Duration
	// Memory is how long a request is remembered after its last attempt. Longer
	// recognises one that comes seldom. Default 1 h.
	Memory time.Duration
	// ClearedMemory is how long a request is remembered of which nothing is held against
	// it any more, so that other nodes hear of that. Default 1 min.
	ClearedMemory time.Duration
	// MaxRecords bounds the requests remembered, some 700 bytes each; those that are
	// not held back and were not seen for longest are forgotten first. Default 2,048:
	// the requests of some fifty falls.
	MaxRecords int
	// Seed differs from node to node, so that they do not try a request at once.
	Seed uint64
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config {
	return Config{
		HoldAfter:     2,
		Trials:        []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute},
		AnsweredFor:   time.Second,
		Memory:        time.Hour,
		ClearedMemory: time.Minute,
		MaxRecords:    2048,
	}
}

const (
	// maxFalls bounds the falls remembered of one request at one service: more than it
	// takes to hold it back for good.
	maxFalls = 8
	// maxCleared bounds those that an answer has cleared. One that is forgotten counts
	// again where a node tells of it late.
	maxCleared = 64
)

// Book remembers which requests were running when upstreams fell. It is not safe for
// concurrent use.
type Book struct {
	cfg     Config
	records map[Fingerprint]map[string]*record // by request and service
	count   int
	changed map[key]struct{} // to be told to other nodes
	swept   time.Time
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

// key names a record.
type key struct {
	request Fingerprint
	service string
}

// record is what is known of a request at one service.
type record struct {
	falls   []uint64 // at which it was running, with no answer since
	cleared []uint64 // that an answer has cleared
	good    bool     // an upstream of the service has answered it
	last    time.Time
	seen    time.Time
	since   time.Time // when it was first held back here
	refused int64
	about   About
}

// About describes a request for operators.
type About struct {
	Method, Host, Target, Tenant string
}

// NewBook returns an empty book.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, records: make(map[Fingerprint]map[string]*record), changed: make(map[key]struct{})}
}

// Changed reports whether there is anything to tell other nodes.
func (b *Book) Changed() bool { return len(b.changed) > 0 }

// Empty reports whether nothing is remembered.
func (b *Book) Empty() bool { return b.count == 0 }

// Fell notes a fall of an upstream of a service and the requests that it may have been
// running. The ID tells it from other falls.
func (b *Book) Fell(now time.Time, id uint64, service string, requests []Fingerprint) {
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
func (b *Book) clearIfAnswered(now time.Time, k key) {
	a := b.answers[k.place()]
	if a.key == k && now.Sub(a.at) < b.cfg.AnsweredFor {
		b.release(now, k)
	}
}

func (k key) place() uint64 { return mix(uint64(k.request)) % answersKept }

// add adds a fall that is not known yet. Of too many the least IDs are kept, so that all
// nodes keep the same.
func (r *record) add(id uint64) bool {
	at, known := slices.BinarySearch(r.falls, id)
	if known || at == maxFalls || slices.Contains(r.cleared, id) {
		return false
	}
	r.falls = slices.Insert(r.falls, at, id)
	r.falls = r.falls[:min(len(r.falls), maxFalls)]
	return true
}

// clear takes falls for no fault of the request.
func (r *record) clear(ids ...uint64) bool {
	changed := false
	for _, id := range ids {
		r.falls = slices.DeleteFunc(r.falls, func(fall uint64) bool { return fall == id })
		if slices.Contains(r.cleared, id) {
			continue
		}
		r.cleared = append(r.cleared, id)
		changed = true
	}
	r.cleared = r.cleared[max(len(r.cleared)-maxCleared, 0):]
	return changed
}

// Answered notes that an upstream of a service has answered a request, and so lives. It
// reports whether that clears it of anything.
func (b *Book) Answered(now time.Time, r Fingerprint, service string) bool {
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
func (b *Book) release(now time.Time, k key) {
	rec := b.record(now, k)
	rec.seen, rec.good, rec.since = now, true, time.Time{}
	rec.clear(slices.Clone(rec.falls)...)
	b.changed[k] = struct{}{}
}

// Release lets a request through again at all services. It reports whether it was held
// back.
func (b *Book) Release(now time.Time, r Fingerprint) bool {
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
	Held  bool
	After time.Duration // until it may be tried again, if it is held
	Trial bool          // it may run once, to see whether the upstream bears it
	Falls int
}

// Check says whether a request may run at a service.
func (b *Book) Check(now time.Time, r Fingerprint, service string) Verdict {
	services, ok := b.records[r]
	if !ok {
		return Verdict{}
	}
	falls, last := weigh(services, service)
	if falls < b.cfg.HoldAfter {
		return Verdict{Falls: falls}
	}
	for _, rec := range services {
		rec.seen = now
	}
	number := falls - b.cfg.HoldAfter
	if number >= len(b.cfg.Trials) {
		return Verdict{Held: true, After: b.cfg.Memory, Falls: falls}
	}
	wait := b.cfg.Trials[number]
	due := last.Add(wait + b.spread(r, wait))
	if now.Before(due) {
		return Verdict{Held: true, After: due.Sub(now), Falls: falls}
	}
	return Verdict{Trial: true, Falls: falls}
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

// spreadShare is the part of the wait for a trial over which nodes are spread, so that
// the first one has told the others when the next would try.
const spreadShare = 0.5

func (b *Book) spread(r Fingerprint, wait time.Duration) time.Duration {
	const buckets = 1 << 16
	at := float64(mix(uint64(r)^b.cfg.Seed)%buckets) / buckets
	return time.Duration(spreadShare * at * float64(wait))
}

// Start is Check for a request that is passed to an upstream now. A trial is noted, so
// that no other follows before its end is known.
func (b *Book) Start(now time.Time, r Fingerprint, service string) Verdict {
	v := b.Check(now, r, service)
	if v.Trial {
		k := key{r, service}
		rec := b.record(now, k)
		rec.last = now
		b.changed[k] = struct{}{}
	}
	return v
}

// Refused notes that a request was held back, and what it is. It reports whether that
// has begun with it, at this node.
func (b *Book) Refused(now time.Time, r Fingerprint, service string, about About) bool {
	rec := b.record(now, key{r, service})
	rec.refused++
	first := rec.since.IsZero()
	if first {
		rec.since, rec.about = now, about
	}
	return first
}

// HeldRequest is a request that is held back, for operators.
type HeldRequest struct {
	Request Fingerprint
	Service string
	Falls   int
	Since   time.Duration // that it has been held back here
	After   time.Duration // until it is tried again; 0 if that is due
	Refused int64         // attempts, here
	About   About
}

// HeldBack lists the requests that are held back, by fingerprint.
func (b *Book) HeldBack(now time.Time) []HeldRequest {
	var out []HeldRequest
	for r, services := range b.records {
		for service, rec := range services {
			falls, last := weigh(services, service)
			if falls < b.cfg.HoldAfter {
				continue
			}
			h := HeldRequest{Request: r, Service: service, Falls: falls, Refused: rec.refused, About: rec.about, After: b.untilTrial(now, falls, last)}
			if !rec.since.IsZero() {
				h.Since = now.Sub(rec.since)
			}
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, c HeldRequest) int { return compareKeys(key{a.Request, a.Service}, key{c.Request, c.Service}) })
	return out
}

func (b *Book) untilTrial(now time.Time, falls int, last time.Time) time.Duration {
	number := falls - b.cfg.HoldAfter
	if number >= len(b.cfg.Trials) {
		return b.cfg.Memory
	}
	return max(last.Add(b.cfg.Trials[number]).Sub(now), 0)
}

// record returns the record of a request at a service, new if there is none.
func (b *Book) record(now time.Time, k key) *record {
	services, ok := b.records[k.request]
	if !ok {
		services = make(map[string]*record)
		b.records[k.request] = services
	}
	rec, ok := services[k.service]
	if !ok {
		rec = &record{}
		services[k.service] = rec
		b.count++
	}
	rec.seen = latest(rec.seen, now)
	return rec
}

func (b *Book) forget(k key) {
	delete(b.records[k.request], k.service)
	if len(b.records[k.request]) == 0 {
		delete(b.records, k.request)
	}
	delete(b.changed, k)
	b.count--
}

// sweepEvery is the time between two removals of what is too old.
const sweepEvery = time.Second

// Sweep forgets what was not seen for long. Call it now and then.
func (b *Book) Sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for r, services := range b.records {
		for service, rec := range services {
			if now.Sub(rec.seen) > b.memoryOf(rec) {
				b.forget(key{r, service})
			}
		}
	}
}

func (b *Book) memoryOf(rec *record) time.Duration {
	if len(rec.falls) == 0 {
		return b.cfg.ClearedMemory
	}
	return b.cfg.Memory
}

// makeRoom forgets what speaks least against a request, until the rest fits.
func (b *Book) makeRoom(now time.Time) {
	if b.count <= b.cfg.MaxRecords {
		return
	}
	b.swept = time.Time{}
	b.Sweep(now)
	type aged struct {
		key
		falls int
		seen  time.Time
	}
	var all []aged
	for r, services := range b.records {
		for service, rec := range services {
			all = append(all, aged{key{r, service}, len(rec.falls), rec.seen})
		}
	}
	slices.SortFunc(all, func(x, y aged) int {
		if x.falls != y.falls {
			return x.falls - y.falls
		}
		if c := x.seen.Compare(y.seen); c != 0 {
			return c
		}
		return compareKeys(x.key, y.key)
	})
	for _, a := range all[:max(b.count-b.cfg.MaxRecords, 0)] {
		b.forget(a.key)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
