// Package ledger prevents a non-idempotent request with an idempotency key from running
// twice.
//
// Each key has one owner among the upstreams of its service, computed from the table
// alone (Owner). The node beside the owner keeps the outcome of each key in memory. If it
// can't know the outcome, because it started after the key may have been used, it reports
// that instead of running the request. The package is pure: time is passed in.
//
// The design follows the three outcomes of "What Changes in Client Retry Logic When the
// API Holds State": an attempt is pending, done or unknown, and unknown is never treated
// as one of the others.
package ledger

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/walldrift/walldrift/internal/version"
)

// Config holds the parameters of a ledger.
type Config struct {
	// Window is how long a key is remembered after its request ended, and how long a node
	// refuses keys without a creation time after it started. A longer window covers later
	// repeats; a shorter one needs less memory and serves such keys sooner after a
	// restart. Default 2 min.
	Window time.Duration
	// Skew is the largest clock difference between callers and nodes that is tolerated
	// for keys with a creation time. Default 2 s.
	Skew time.Duration
	// Settle is the time within which every node that isn't partitioned has a table
	// version that one node has. Default 16 s, the bound on convergence.
	Settle time.Duration
	// MaxEntries bounds the number of keys; when it is reached new keys are refused.
	// Default 32768.
	MaxEntries int
	// MaxResponse is the largest response body kept for repeats, in bytes. Default 4 KiB.
	MaxResponse int
	// MaxResponses bounds the size of all bodies kept, in bytes. Default 4 MiB.
	MaxResponses int
}

// DefaultConfig returns the default values documented at the fields.
func DefaultConfig() Config {
	return Config{
		Window:       2 * time.Minute,
		Skew:         2 * time.Second,
		Settle:       16 * time.Second,
		MaxEntries:   32768,
		MaxResponse:  4 << 10,
		MaxResponses: 4 << 20,
	}
}

// Key identifies a logical request.
type Key struct {
	Service string
	Tenant  string
	Value   string // the caller's Idempotency-Key
}

// CreatedAt returns the creation time of a key that has one, which is a version 7 UUID
// (RFC 9562).
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
	// Run means that the request is new. The caller must end it with Finish.
	Run Decision = iota
	// Replay means that the request has run; Response holds the response if it was kept.
	Replay
	// InProgress means that the request is running now.
	InProgress
	// Unknown means that the request was started and its outcome is unknown.
	Unknown
	// PriorUnknown means that this attempt was not run, and that an earlier one may have
	// been, before this node's records begin.
	PriorUnknown
	// Moved means that another owner has taken over the key.
	Moved
	// Conflict means that the key was used for a different request.
	Conflict
	// Future means that the key's creation time is ahead of this node's clock.
	Future
	// Full means that no more keys can be remembered now.
	Full
)

// String returns the name of the decision, as used in headers and metrics.
func (d Decision) String() string {
	return [...]string{"run", "replay", "in-progress", "unknown", "prior-unknown",
		"moved", "conflict", "future", "full"}[min(d, Full)]
}

// Response is a response kept for repeats.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Kept is false if the body was too large to keep.
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
	answer      *Response
	fence       Fence // of a fenced entry
}

// Fence names the later owner that took over a key, and the table version that made it
// the owner.
type Fence struct {
	Owner   string
	Version version.ID
}

// Ledger remembers keys. It is not safe for concurrent use.
type Ledger struct {
	cfg         Config
	started     time.Time
	entries     map[Key]*list.Element // of *entry
	order       *list.List            // entries by end time (running: start time), oldest first
	answerBytes int                   // size of the bodies kept
}

// New returns an empty ledger of a node that started at the given time.
func New(cfg Config, started time.Time) *Ledger {
	return &Ledger{cfg: cfg, started: started, entries: make(map[Key]*list.Element), order: list.New()}
}

// Len returns the number of keys remembered.
func (l *Ledger) Len() int { return len(l.entries) }

// Verdict is the result of Begin, Claim and ClaimFromOthers.
type Verdict struct {
	Decision Decision
	Response *Response // of Replay, if it was kept
	// AlsoClaimFrom names another owner that took over the key before and must be sent a
	// claim, too; empty if there is none.
	AlsoClaimFrom string
}

// Begin decides about a request at its owner. fingerprint distinguishes different
// requests with the same key; held is the table version that makes this node the owner.
func (l *Ledger) Begin(now time.Time, k Key, fingerprint uint64, held version.ID) Verdict {
	l.expire(now)
	el, ok := l.entries[k]
	if !ok {
		if d := l.decideUnseen(now, k); d != Run {
			return Verdict{Decision: d}
		}
		l.insert(&entry{key: k, fingerprint: fingerprint, state: running})
		return Verdict{Decision: Run}
	}
	e := el.Value.(*entry)
	if e.state == fenced && held.Newer(e.fence.Version) {
		// A later version has made this node the owner again.
		previous := e.fence.Owner
		*e = entry{key: k, fingerprint: fingerprint, state: running}
		return Verdict{Decision: Run, AlsoClaimFrom: previous}
	}
	if e.state != fenced && e.fingerprint != fingerprint {
		return Verdict{Decision: Conflict}
	}
	return e.verdict()
}

// Claim handles the claim of another owner of the key. Moved means that the key did not
// run here and won't while the fence stands.
func (l *Ledger) Claim(now time.Time, k Key, f Fence) Verdict {
	l.expire(now)
	el, ok := l.entries[k]
	if !ok {
		if d := l.decideUnseen(now, k); d != Run {
			return Verdict{Decision: d}
		}
		e := &entry{key: k, state: fenced, fence: f}
		l.insert(e)
		l.markEnded(now, e)
		return Verdict{Decision: Moved}
	}
	e := el.Value.(*entry)
	if e.state != fenced {
		return e.verdict()
	}
	if e.fence.Version.Newer(f.Version) {
		return Verdict{Decision: PriorUnknown} // the claimant has an older table version
	}
	v := e.verdict()
	if e.fence.Owner != f.Owner {
		v.AlsoClaimFrom = e.fence.Owner
	}
	e.fence = f
	l.markEnded(now, e)
	return v
}

// decideUnseen decides about a key that is not remembered: Run only if it can't have been
// used before.
func (l *Ledger) decideUnseen(now time.Time, k Key) Decision {
	created, timed := k.CreatedAt()
	switch {
	case timed && created.After(now.Add(l.cfg.Skew)):
		return Future
	case timed && created.Before(now.Add(-l.cfg.Window)):
		return PriorUnknown // older than anything remembered
	case timed && created.Before(l.started.Add(l.cfg.Skew)):
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
	// NotRun means that the upstream certainly did not run the request; the key may be
	// used again.
	NotRun Outcome = iota
	// Done means that the request ran and was answered.
	Done
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Finish ends a request that Begin let run.
func (l *Ledger) Finish(now time.Time, k Key, o Outcome, a *Response) {
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
		e.answer = l.keepAnswer(a)
	case OutcomeUnknown:
		e.state = unknown
	}
	l.markEnded(now, e)
}

// keepAnswer applies the size limits: a body beyond them is dropped, its status is kept.
func (l *Ledger) keepAnswer(a *Response) *Response {
	if a == nil {
		return nil
	}
	if !a.Kept || len(a.Body) > l.cfg.MaxResponse || l.answerBytes+len(a.Body) > l.cfg.MaxResponses {
		return &Response{Status: a.Status}
	}
	l.answerBytes += len(a.Body)
	return a
}

func (l *Ledger) insert(e *entry) { l.entries[e.key] = l.order.PushBack(e) }

// markEnded sets the end time of an entry and moves it to the end of the expiry order.
func (l *Ledger) markEnded(now time.Time, e *entry) {
	e.ended = now
	l.order.MoveToBack(l.entries[e.key])
}

// expire removes entries whose window has passed. Running ones never expire.
func (l *Ledger) expire(now time.Time) {
	for el := l.order.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*entry)
		if e.state != running {
			if now.Sub(e.ended) <= l.cfg.Window {
				return
			}
			if e.answer != nil {
				l.answerBytes -= len(e.answer.Body)
			}
			l.order.Remove(el)
			delete(l.entries, e.key)
		}
		el = next
	}
}

func (e *entry) verdict() Verdict {
	d := [...]Decision{running: InProgress, done: Replay, unknown: Unknown, fenced: Moved}[e.state]
	return Verdict{Decision: d, Response: e.answer}
}
