package proxy

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
)

// maxLabels bounds the kinds and tenants with histograms of their own; later
// ones share otherLabel.
const (
	maxLabels  = 64
	otherLabel = "other"
)

// latencyBuckets and tryBuckets are the histogram bounds.
var (
	latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18)
	tryBuckets     = tally.MustMakeLinearValueBuckets(1, 1, 6)
)

// Metrics holds the counters and histograms of the request path.
type Metrics struct {
	scope   tally.Scope
	mu      sync.RWMutex
	kinds   map[string]*kindMetrics
	tenants map[string]tally.Histogram
}

// kindMetrics are the metrics of one kind of request.
type kindMetrics struct {
	latency, queueing, tries tally.Histogram
	outcomes                 map[string]tally.Counter
}

// outcomeNames are the values of the outcome label.
var outcomeNames = []string{"answered", string(OutcomeNotRun), string(OutcomeUnknown), string(OutcomeRunning), string(OutcomeRan), "cut"}

// NewMetrics returns the metrics under a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope:   scope,
		kinds:   make(map[string]*kindMetrics),
		tenants: make(map[string]tally.Histogram),
	}
}

func (m *Metrics) kind(name string) *kindMetrics {
	m.mu.RLock()
	k, ok := m.kinds[name]
	m.mu.RUnlock()
	if ok {
		return k
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.kinds[name]; ok {
		return k
	}
	label := name
	if len(m.kinds) >= maxLabels {
		label = otherLabel
		if k, ok := m.kinds[otherLabel]; ok {
			return k
		}
	}
	k = newKindMetrics(m.scope.Tagged(map[string]string{"kind": label}))
	m.kinds[label] = k
	return k
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

func (m *Metrics) tenant(name string) tally.Histogram {
	m.mu.RLock()
	h, ok := m.tenants[name]
	m.mu.RUnlock()
	if ok {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.tenants[name]; ok {
		return h
	}
	label := name
	if len(m.tenants) >= maxLabels {
		label = otherLabel
		if h, ok := m.tenants[otherLabel]; ok {
			return h
		}
	}
	h = m.scope.Tagged(map[string]string{"tenant": label}).Histogram("tenant_request_seconds", latencyBuckets)
	m.tenants[label] = h
	return h
}

func (m *Metrics) queued(kind string, d time.Duration) { m.kind(kind).queueing.RecordDuration(d) }

// finished counts one request of a caller.
func (m *Metrics) finished(kind, tenant, outcome string, took time.Duration, tries int) {
	k := m.kind(kind)
	k.latency.RecordDuration(took)
	k.tries.RecordValue(float64(tries))
	if c, ok := k.outcomes[outcome]; ok {
		c.Inc(1)
	}
	if tenant != "" {
		m.tenant(tenant).RecordDuration(took)
	}
}

func (m *Metrics) tried(c retry.Class) {
	m.scope.Tagged(map[string]string{"class": c.String()}).Counter("tries_ended").Inc(1)
}

func (m *Metrics) notRetried(r retry.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("not_retried").Inc(1)
}

func (m *Metrics) keyDecision(d ledger.Decision) {
	m.scope.Tagged(map[string]string{"decision": d.String()}).Counter("key_decisions").Inc(1)
}
