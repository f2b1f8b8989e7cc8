package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// heldRequests is the memory of requests that end upstreams, shared by all that this
// sidecar runs and kept alike with other sidecars.
type heldRequests struct {
	log     *log.Logger
	lines   *lineBudget
	refused tally.Counter
	others  *heldPeers
	// urgent and soon ask for the changes to be told to other sidecars; told says that
	// they are.
	urgent, soon, told chan struct{}

	mu   sync.Mutex // guards what follows
	book *quarantine.Tracker
}

func newHeldRequests(s *Sidecar) *heldRequests {
	cfg := quarantine.DefaultConfig()
	cfg.Seed = rand.Uint64()
	return &heldRequests{
		log:     s.log,
		lines:   newLineBudget(),
		refused: s.metrics.Scope.Counter("quarantine_refusals"),
		others: &heldPeers{
			client:  s.hop,
			members: s.follower.Members,
			self:    s.cfg.Upstream.Addr(),
			service: func() string { return *s.service.Load() },
		},
		urgent: make(chan struct{}, 1),
		soon:   make(chan struct{}, 1),
		told:   make(chan struct{}, 1),
		book:   quarantine.NewTracker(cfg),
	}
}

// wake wakes who waits at a channel of capacity 1.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// fell takes over a fall of the own upstream.
func (h *heldRequests) fell(f proxy.Crash) {
	h.mu.Lock()
	h.book.UpstreamCrashed(clock.Now(), f.ID, h.others.service(), f.Requests)
	h.mu.Unlock()
	wake(h.urgent)
}

// Check is described at proxy.Quarantine.
func (h *heldRequests) Check(r quarantine.Fingerprint, service string) quarantine.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.book.Check(clock.Now(), r, service)
}

// Start is described at proxy.Quarantine.
func (h *heldRequests) Start(r quarantine.Fingerprint, service string) quarantine.Verdict {
	h.mu.Lock()
	v := h.book.Start(clock.Now(), r, service)
	h.mu.Unlock()
	if v.Probe {
		wake(h.urgent)
		h.log.Warn("request tried again", "fingerprint", r.String(), "service", service, "falls", v.Crashes)
	}
	return v
}

// Answered is described at proxy.Quarantine.
func (h *heldRequests) Answered(r quarantine.Fingerprint, service string) {
	h.mu.Lock()
	cleared := h.book.Answered(clock.Now(), r, service)
	h.mu.Unlock()
	if cleared {
		wake(h.soon)
	}
}

// Refused is described at proxy.Quarantine.
func (h *heldRequests) Refused(r quarantine.Fingerprint, service string, v quarantine.Verdict, about quarantine.RequestInfo) {
	h.refused.Inc(1)
	h.mu.Lock()
	first := h.book.Refused(clock.Now(), r, service, about)
	h.mu.Unlock()
	if !first {
		return
	}
	leftOut, ok := h.lines.take()
	if !ok {
		return
	}
	h.log.Warn("request held back",
		"fingerprint", r.String(),
		"service", service,
		"falls", v.Crashes,
		"tried_again", v.After,
		"method", about.Method,
		"host", about.Host,
		"target", about.Target,
		"customer", about.Tenant,
		"left_out", leftOut,
	)
}

// release lets a request through again, here and at all other sidecars.
func (h *heldRequests) release(ctx context.Context, r quarantine.Fingerprint) bool {
	h.mu.Lock()
	held := h.book.Release(clock.Now(), r)
	h.mu.Unlock()
	if held {
		h.log.Warn("request released", "fingerprint", r.String())
		h.tell(ctx, slices.Concat(h.others.siblings()))
	}
	return held
}

// list returns what is held back now.
func (h *heldRequests) list(now time.Time) []quarantine.QuarantinedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.book.Quarantined(now)
}

func (h *heldRequests) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.book.Sweep(now)
}
