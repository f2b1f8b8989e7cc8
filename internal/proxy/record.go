package proxy

import (
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/version"
)

// Record tells how a caller's request was decided, for logs.
type Record struct {
	ID         string // as the caller sent it
	Kind       string
	Service    string
	Route      string
	Version    version.ID // of the table in force when it came
	Status     int
	Outcome    string
	Reason     string // of an answer that a node made; empty for an upstream's
	NotRetried retry.Reason
	Took       time.Duration
	Deadline   time.Duration // given to it, from its coming
	// Age is the time since the caller's first attempt came, when this one did.
	Age time.Duration
	// Late says that it was taken for more likely late than not.
	Late bool
	// Staleness is how old the news of the upstreams were when it ended.
	Staleness time.Duration
	Cut       CutRecord
	Tries     []TryRecord
	// Fingerprint is the same for all attempts of a request.
	Fingerprint quarantine.Fingerprint
	// Leaving is set for a request that a leaving node took, refused or cut.
	Leaving *ShutdownRecord
}

// TryRecord is one try of a request.
type TryRecord struct {
	Upstream string
	At       time.Duration // since the request came
	Took     time.Duration
	Class    retry.Class
	Status   int
	Reason   string
	// Load is what the admitting node said: in use/slots/waiting.
	Load string
}

// Recorder takes records. It must not block, and keeps nothing of the record.
type Recorder func(*Record)

// slowShare is the part of its objective from which a served request counts as
// slow and is recorded.
const slowShare = 1.0

// noteTry adds a try to the record.
func (x *exchange) noteTry(upstream string, sent time.Time, class retry.Class, resp *http.Response) {
	if x.f.cfg.Record == nil {
		return
	}
	x.trail = append(x.trail, TryRecord{
		Upstream: upstream,
		At:       sent.Sub(x.start),
		Took:     clock.Since(sent),
		Class:    class,
		Status:   resp.StatusCode,
		Reason:   resp.Header.Get(HeaderReason),
		Load:     resp.Header.Get(headerLoad),
	})
}

// record hands a request over that failed, was refused, tried again or slow.
func (x *exchange) record(status int, outcome, reason string) {
	if x.f.cfg.Record == nil {
		return
	}
	took := clock.Since(x.start)
	slow := x.route.Objective > 0 && took > time.Duration(slowShare*float64(x.route.Objective))
	if status < http.StatusInternalServerError && outcome == outcomeNames[0] && x.tries <= 1 && !slow && !x.leaving.notable() {
		return
	}
	x.f.cfg.Record(&Record{
		ID:         x.req.Header.Get(x.f.cfg.Dialect.RequestID),
		Kind:       x.kind,
		Service:    x.service.Name,
		Route:      x.route.Name,
		Version:    x.version,
		Status:     status,
		Outcome:    outcome,
		Reason:     reason,
		NotRetried: x.ended,
		Took:       took,
		Deadline:   x.deadline.Sub(x.start),
		Age:        x.start.Sub(x.first),
		Late:       x.env.late(),
		Staleness:  x.f.cfg.Staleness(clock.Now()),
		Cut:        x.cut,
		Tries:      x.trail,

		Fingerprint: x.env.Fingerprint,
		Leaving:     x.leaving,
	})
}
