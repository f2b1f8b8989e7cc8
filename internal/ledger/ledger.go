// Package ledger keeps a non-idempotent request with a key from running twice.
//
// Each key has one home among the upstreams of its service, computed from the
// table alone (Home). The node beside the home keeps, in memory, what became
// of each key. What it cannot know, because it started after the key may have
// been used, it says so instead of running the request. The package is pure:
// time is passed in.
//
// The scheme follows the three outcomes of "What Changes in Client Retry Logic
// When the API Holds State": an attempt is pending, done or unknown, and
// unknown is never folded into one of the others.
package ledger

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/walldrift/walldrift/internal/version"
)

// Config bounds a ledger.
type Config struct {
	// Window is how long a key is remembered after its request ended, and how
	// long a started node refuses keys that carry no time. Longer covers later
	// repeats, shorter frees memory and serves sooner after a restart.
	// Default 2 min.
	Window time.Duration
	// Skew is the largest difference of clocks between callers and nodes that
	// is allowed for in keys that carry their time. Default 2 s.
	Skew time.Duration
	// Settle is the time within which every node that is not cut off holds a
	// version that one node holds. Default 16 s, the bound on convergence.
	Settle time.Duration
	// MaxEntries bounds the keys kept; when all are in use, new keys are
	// refused. Default 32768.
	MaxEntries int
	// MaxAnswer is the longest answer body kept for repeats. Default 4 KiB.
	MaxAnswer int
	// MaxAnswers bounds the bytes of all answers kept. Default 4 MiB.
	MaxAnswers int
}

// DefaultConfig returns the defaults given at the fields.
func DefaultConfig() Config {
	return Config{
		Window:     2 * time.Minute,
		Skew:       2 * time.Second,
		Settle:     16 * time.Second,
		MaxEntries: 32768,
		MaxAnswer:  4 << 10,
		MaxAnswers: 4 << 20,
	}
}

// Key identifies a logical request.
type Key struct {
	Service string
	Tenant  string
	Value   string // the caller's Idempotency-Key
}

// CreatedAt returns the time in a key that carries one: a version 7 UUID, RFC 9562.
func (k Key) CreatedAt() (time.Time, bool) {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// Decision is what to do with a request.
type Decision uint8

// The decisions.
const (
	// Run means that the request is new; the caller must end it with Finish.
	Run Decision = iota
	// Replay means that it has run; Answer holds the answer if it was kept.
	Replay
	// InProgress means that it is running now.
	InProgress
	// Unknown means that it was started and its outcome is not known.
	Unknown
	// PriorUnknown means that this attempt was not run, and that an earlier one
	// may have been, before this node began to remember.
	PriorUnknown
	// Moved means that another home has taken the key over.
	Moved
	// Conflict means that the key was used for a different request.
	Conflict
	// Future means that the key's time lies ahead of this node's clock.
	Future
	// Full means that no more keys can be remembered now.
	Full
)

// String returns the decision in the form used in headers and metrics.
func (d Decision) String() string {
	return [...]string{"run", "replay", "in-progress", "unknown", "prior-unknown",
		"moved", "conflict", "future", "full"}[min(d, Full)]
}

// Answer is an answer kept for repeats.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Kept is false if the body was too long to keep.
	Kept bool
}

type state uint8

const (
	running state = iota
	done
	unknown
	fenced
)

type entry struct {
	key         Key
	fingerprint uint64
	state       state
	ended       time.Time
	answer      *Answer
	fence       Fence // of a fenced entry
}

// Fence names the later home that took a key over, and the table version that
// made it one.
type Fence struct {
	Home    string
	Version version.ID
}

// Ledger remembers keys. It is not safe for concurrent use.
type Ledger struct {
	cfg     Config
	started time.Time
	entries map[Key]*list.Element // of *entry
	order   *list.List            // ended entries, oldest first
	answers int                   // bytes of answers kept
}

// New returns an empty ledger of a node that started at the given time.
func New(cfg Config, started time.Time) *Ledger {
	return &Ledger{cfg: cfg, started: started, entries: make(map[Key]*list.Element), order: list.New()}
}

// Len returns the number of keys remembered.
func (l *Ledger) Len() int { return len(l.entries) }

// Verdict is the answer to Begin and Claim.
type Verdict struct {
	Decision Decision
	Answer   *Answer // of Replay, if it was kept
	// AlsoClaimFrom names another home that took the key over before and must be asked
	// as well; empty if none did.
	AlsoClaimFrom string
}

// Begin decides about a request at its home. fingerprint tells different
// requests apart; held is the table version that makes this node the home.
func (l *Ledger) Begin(now time.Time, k Key, fingerprint uint64, held version.ID) Verdict {
	l.expire(now)
	el, ok := l.entries[k]
	if !ok {
		if d := l.unseen(now, k); d != Run {
			return Verdict{Decision: d}
		}
		l.insert(&entry{key: k, fingerprint: fingerprint, state: running})
		return Verdict{Decision: Run}
	}
	e := el.Value.(*entry)
	if e.state == fenced && held.Newer(e.fence.Version) {
		// A later version has made this node the home again.
		ask := e.fence.Home
		*e = entry{key: k, fingerprint: fingerprint, state: running}
		return Verdict{Decision: Run, AlsoClaimFrom: ask}
	}
	if e.state != fenced && e.fingerprint != fingerprint {
		return Verdict{Decision: Conflict}
	}
	return e.verdict()
}

// Claim is asked by another home of the key. Moved means that the key did not
// run here and will not while the fence stands.
func (l *Ledger) Claim(now time.Time, k Key, f Fence) Verdict {
	l.expire(now)
	el, ok := l.entries[k]
	if !ok {
		if d := l.unseen(now, k); d != Run {
			return Verdict{Decision: d}
		}
		e := &entry{key: k, state: fenced, fence: f}
		l.insert(e)
		l.end(now, e)
		return Verdict{Decision: Moved}
	}
	e := el.Value.(*entry)
	if e.state != fenced {
		return e.verdict()
	}
	if e.fence.Version.Newer(f.Version) {
		return Verdict{Decision: PriorUnknown} // the claimant is behind
	}
	v := e.verdict()
	if e.fence.Home != f.Home {
		v.AlsoClaimFrom = e.fence.Home
	}
	e.fence = f
	l.end(now, e)
	return v
}

// unseen decides about a key that is not remembered: Run only if it cannot
// have been used before.
func (l *Ledger) unseen(now time.Time, k Key) Decision {
	birth, timed := k.CreatedAt()
	switch {
	case timed && birth.After(now.Add(l.cfg.Skew)):
		return Future
	case timed && birth.Before(now.Add(-l.cfg.Window)):
		return PriorUnknown // older than anything remembered
	case timed && birth.Before(l.started.Add(l.cfg.Skew)):
		return PriorUnknown
	case !timed && now.Before(l.started.Add(l.cfg.Window)):
		return PriorUnknown
	case len(l.entries) >= l.cfg.MaxEntries:
		return Full
	}
	return Run
}

// Outcome is how a started request ended.
type Outcome uint8

// The outcomes.
const (
	// NotRun means that the upstream certainly did not run it; the key is free.
	NotRun Outcome = iota
	// Done means that it ran and was answered.
	Done
	// OutcomeUnknown means that it may have run.
	OutcomeUnknown
)

// Finish ends a request that Begin let run.
func (l *Ledger) Finish(now time.Time, k Key, o Outcome, a *Answer) {
	el, ok := l.entries[k]
	if !ok {
		return
	}
	e := el.Value.(*entry)
	switch o {
	case NotRun:
		l.order.Remove(el)
		delete(l.entries, k)
		return
	case Done:
		e.state = done
		e.answer = l.keep(a)
	case OutcomeUnknown:
		e.state = unknown
	}
	l.end(now, e)
}

// keep bounds the memory of answers: a body beyond the bounds is dropped, its
// status stays.
func (l *Ledger) keep(a *Answer) *Answer {
	if a == nil {
		return nil
	}
	if !a.Kept || len(a.Body) > l.cfg.MaxAnswer || l.answers+len(a.Body) > l.cfg.MaxAnswers {
		return &Answer{Status: a.Status}
	}
	l.answers += len(a.Body)
	return a
}

func (l *Ledger) insert(e *entry) { l.entries[e.key] = l.order.PushBack(e) }

// end stamps an entry and moves it to the end of the expiry order.
func (l *Ledger) end(now time.Time, e *entry) {
	e.ended = now
	l.order.MoveToBack(l.entries[e.key])
}

// expire forgets entries whose window has passed. Running ones never expire.
func (l *Ledger) expire(now time.Time) {
	for el := l.order.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*entry)
		if e.state != running {
			if now.Sub(e.ended) <= l.cfg.Window {
				return
			}
			if e.answer != nil {
				l.answers -= len(e.answer.Body)
			}
			l.order.Remove(el)
			delete(l.entries, e.key)
		}
		el = next
	}
}

func (e *entry) verdict() Verdict {
	d := [...]Decision{running: InProgress, done: Replay, unknown: Unknown, fenced: Moved}[e.state]
	return Verdict{Decision: d, Answer: e.answer}
}
