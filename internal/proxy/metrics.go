package proxy

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
)

// maxLabels bounds the number of kinds and of tenants with histograms of their own;
// further ones share otherLabel.
const (
	maxLabels  = 64
	otherLabel = "other"
)

// latencyBuckets and tryBuckets are the bucket bounds of the histograms.
var (
	latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18)
	tryBuckets     = tally.MustMakeLinearValueBuckets(1, 1, 6)
)

// Metrics holds the counters and histograms of the request path.
type Metrics struct {
	scope    tally.Scope
	kinds    *labelled[*kindMetrics]
	tenants  *labelled[tally.Histogram]
	classes  *labelled[tally.Counter]
	reasons  *labelled[tally.Counter]
	cuts     *labelled[tally.Counter]
	refusals *labelled[tally.Counter]
	// linkRefusals counts refusals because of the link by cause.
	linkRefusals *labelled[tally.Counter]
	// ranked counts further tries at services that reject many requests, by rank.
	ranked *labelled[tally.Counter]
	// peerLoads counts the received peer load reports by what became of them.
	peerLoads *labelled[tally.Counter]
}

// kindMetrics are the metrics of one kind of request.
type kindMetrics struct {
	latency, queueing, tries tally.Histogram
	outcomes                 map[string]tally.Counter
}

// outcomeCut is the outcome of a truncated response.
const outcomeCut = "cut"

// outcomeNames are the values of the outcome label.
var outcomeNames = []string{"answered", string(OutcomeNotRun), string(OutcomeUnknown), string(OutcomeRunning), string(OutcomeRan), outcomeCut}

// NewMetrics returns the metrics under a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	tagged := func(name, label string) tally.Scope { return scope.Tagged(map[string]string{name: label}) }
	return &Metrics{
		scope: scope,
		kinds: newLabelled(func(l string) *kindMetrics { return newKindMetrics(tagged("kind", l)) }),
		tenants: newLabelled(func(l string) tally.Histogram {
			return tagged("tenant", l).Histogram("tenant_request_seconds", latencyBuckets)
		}),
		classes:      newLabelled(func(l string) tally.Counter { return tagged("class", l).Counter("tries_ended") }),
		reasons:      newLabelled(func(l string) tally.Counter { return tagged("reason", l).Counter("not_retried") }),
		refusals:     newLabelled(func(l string) tally.Counter { return tagged("reason", l).Counter("upstream_refusals") }),
		linkRefusals: newLabelled(func(l string) tally.Counter { return tagged("cause", l).Counter("link_refusals") }),
		cuts:         newLabelled(func(l string) tally.Counter { return tagged("reason", l).Counter("answers_cut") }),
		ranked:       newLabelled(func(l string) tally.Counter { return tagged("rank", l).Counter("ranked_retries") }),
		peerLoads:    newLabelled(func(l string) tally.Counter { return tagged("result", l).Counter("peer_loads") }),
	}
}

// labelled holds one value for each label: the first maxLabels labels have their own,
// the rest share that of otherLabel.
type labelled[T any] struct {
	mu     sync.RWMutex
	values map[string]T
	make   func(label string) T
}

func newLabelled[T any](f func(label string) T) *labelled[T] {
	return &labelled[T]{values: make(map[string]T), make: f}
}

// get returns the value of a label and creates it on first use.
func (l *labelled[T]) get(label string) T {
	l.mu.RLock()
	v, ok := l.values[label]
	full := len(l.values) >= maxLabels
	l.mu.RUnlock()
	if ok {
		return v
	}
	if full && label != otherLabel {
		return l.get(otherLabel)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, ok := l.values[label]; ok {
		return v
	}
	v = l.make(label)
	l.values[label] = v
	return v
}

func newKindMetrics(s tally.Scope) *kindMetrics {
	k := &kindMetrics{
		latency:  s.Histogram("request_seconds", latencyBuckets),
		queueing: s.Histogram("queue_seconds", latencyBuckets),
		tries:    s.Histogram("tries", tryBuckets),
		outcomes: make(map[string]tally.Counter, len(outcomeNames)),
	}
	for _, o := range outcomeNames {
		k.outcomes[o] = s.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	return k
}

func (m *Metrics) queued(kind string, d time.Duration) { m.kinds.get(kind).queueing.RecordDuration(d) }

// finished counts one request of a caller.
func (m *Metrics) finished(kind, tenant, outcome string, took time.Duration, tries int) {
	k := m.kinds.get(kind)
	k.latency.RecordDuration(took)
	k.tries.RecordValue(float64(tries))
	if c, ok := k.outcomes[outcome]; ok {
		c.Inc(1)
	}
	if tenant != "" {
		m.tenants.get(tenant).RecordDuration(took)
	}
}

func (m *Metrics) tryEnded(c retry.Class) {
	m.classes.get(c.String()).Inc(1)
}

func (m *Metrics) notRetried(r retry.Reason) {
	m.reasons.get(string(r)).Inc(1)
}

// lateBodyRead counts a read of a request body by a try that had ended.
func (m *Metrics) lateBodyRead() { m.scope.Counter("late_body_reads").Inc(1) }

// refused counts a request that the backend refused to dispatch to its upstream.
func (m *Metrics) refused(reason string) { m.refusals.get(reason).Inc(1) }

func (m *Metrics) responseCut(r CutReason) {
	m.cuts.get(string(r)).Inc(1)
}

func (m *Metrics) keyDecision(d ledger.Decision) {
	m.scope.Tagged(map[string]string{"decision": d.String()}).Counter("key_decisions").Inc(1)
}

// shutdownRequest counts one request that a node accepted, refused or cut during its
// shutdown.
func (m *Metrics) shutdownRequest(stage string, outcome ShutdownOutcome) {
	m.scope.Tagged(map[string]string{"stage": stage, "fate": string(outcome)}).Counter("leaving_requests").Inc(1)
}

// peerLoadsReceived counts the peer load reports of one response: those that were accepted,
// those that told nothing new, and those that can't be read.
func (m *Metrics) peerLoadsReceived(accepted, ignored, malformed int) {
	m.peerLoads.get("accepted").Inc(int64(accepted))
	m.peerLoads.get("ignored").Inc(int64(ignored))
	m.peerLoads.get("malformed").Inc(int64(malformed))
}
