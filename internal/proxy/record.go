package proxy

import (
	"net/http"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/version"
)

// Record describes how a caller's request was handled, for logs.
type Record struct {
	ID         string // sent by the caller
	Kind       string
	Service    string
	Route      string
	Version    version.ID // of the table in force when the request arrived
	Status     int
	Outcome    string
	Reason     string // of a response that a node made; empty for an upstream's
	NotRetried retry.Reason
	Took       time.Duration
	Deadline   time.Duration // the request's timeout, from its arrival
	// Age is the time from the arrival of the caller's first attempt to that of this
	// one.
	Age time.Duration
	// Late says that the request was expected to miss its objective deadline.
	Late bool
	// Staleness is the staleness of the known upstreams when the request ended.
	Staleness time.Duration
	Cut       CutRecord
	Tries     []TryRecord
	// Fingerprint is the same for all attempts of a request.
	Fingerprint quarantine.Fingerprint
	// Leaving is set for a request that this node accepted, refused or cut during its
	// shutdown.
	Leaving *ShutdownRecord
	// Link is what the last refusal because of a link is based on, as in headerLink; empty
	// if there was none.
	Link string
	// Retry is the last decision on a further try that depended on the request's rank;
	// nil if there was none.
	Retry *RetryRecord
}

// TryRecord describes one try of a request.
type TryRecord struct {
	Upstream string
	At       time.Duration // from the request's arrival
	Took     time.Duration
	Class    retry.Class
	Status   int
	Reason   string
	// Load is the admitting node's load report, which starts with in use/slots/waiting. If
	// the upstream was chosen by a report of its load, "/chosen:own:" or "/chosen:peer:"
	// with the age of that in milliseconds follows, for services whose upstreams report
	// slowdowns.
	Load string
	// WaitBound is the wait that was worthwhile at the upstream; 0 if the request could
	// not be moved. Reports is what it was based on.
	WaitBound time.Duration
	Reports   ReportAges
}

// ReportAges holds the ages of the load reports by which a wait bound was determined.
type ReportAges struct {
	Chosen, Second time.Duration // of the chosen upstream and of the second choice
}

// Recorder receives records. It must not block or retain the record.
type Recorder func(*Record)

// slowShare is the fraction of its objective that a served request must exceed to count
// as slow and be recorded.
const slowShare = 1.0

// recordTry adds a try to the request's record.
func (ex *exchange) recordTry(upstream string, sent time.Time, class retry.Class, resp *http.Response) {
	if ex.f.cfg.Record == nil {
		return
	}
	if d := resp.Header.Get(headerLink); d != "" {
		ex.linkDecision = d
	}
	ex.tryRecords = append(ex.tryRecords, TryRecord{
		Upstream: upstream,
		At:       sent.Sub(ex.start),
		Took:     clock.Since(sent),
		Class:    class,
		Status:   resp.StatusCode,
		Reason:   resp.Header.Get(HeaderReason),

		WaitBound: ex.env.WaitBound.Worthwhile,
		Reports:   ex.reports,
		Load:      resp.Header.Get(headerLoad) + ex.chosenBy,
	})
}

// record passes a request that failed, was refused, was retried, was moved or was slow to
// the recorder.
func (ex *exchange) record(status int, outcome, reason string) {
	if ex.f.cfg.Record == nil {
		return
	}
	took := clock.Since(ex.start)
	slow := ex.route.Objective > 0 && took > time.Duration(slowShare*float64(ex.route.Objective))
	if status < http.StatusInternalServerError && outcome == outcomeNames[0] && ex.tries <= 1 && ex.moves == 0 && !slow && !ex.shutdown.notable() {
		return
	}
	ex.f.cfg.Record(&Record{
		ID:         ex.req.Header.Get(ex.f.cfg.Dialect.RequestID),
		Kind:       ex.kind,
		Service:    ex.service.Name,
		Route:      ex.route.Name,
		Version:    ex.version,
		Status:     status,
		Outcome:    outcome,
		Reason:     reason,
		NotRetried: ex.notRetriedReason,
		Took:       took,
		Deadline:   ex.deadline.Sub(ex.start),
		Age:        ex.start.Sub(ex.firstAttempt),
		Late:       ex.env.late(),
		Staleness:  ex.f.cfg.Staleness(clock.Now()),
		Cut:        ex.cut,
		Tries:      ex.tryRecords,

		Fingerprint: ex.env.Fingerprint,
		Leaving:     ex.shutdown,
		Link:        ex.linkDecision,
		Retry:       ex.retry,
	})
}
