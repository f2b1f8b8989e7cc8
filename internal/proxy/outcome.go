package proxy

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
)

// Outcome tells a caller whether its request ran. It stands in HeaderOutcome
// of every answer that a node makes itself.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that this attempt certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning means that the same key is running now.
	OutcomeRunning Outcome = "running"
	// OutcomeRan means that the same key has run, and its answer is not kept.
	OutcomeRan Outcome = "ran"
)

// Reasons given besides those of admission and ledger.
const (
	reasonNoTable     = "no-table"
	reasonNotInSync   = "not-in-sync" // no neighbour has told what it holds, since the start or a pause
	reasonFull        = "too-many-requests"
	reasonLeaving     = "node-leaves" // its answer would not come before the end of this node
	reasonNoRoute     = "no-route"
	reasonUnknownKey  = "unknown-key" // no customer holds the key of the request, or it has none
	reasonQuota       = "quota"       // the customer is over its limit
	reasonBusy        = "all-busy"    // every upstream is known to have too many waiting
	reasonNoUpstream  = "no-upstream"
	reasonBadRequest  = "bad-request"
	reasonBodyCut     = "body-cut" // the sender broke off amid the body
	reasonUnreachable = "unreachable"
	reasonLost        = "connection-lost"
	reasonDeadline    = "deadline"
	reasonHome        = "home-unavailable"
	reasonUpstream    = "upstream-refused-connection"
	reasonRejected    = "upstream-rejected"  // the upstream says that it did not run it
	reasonMisdirected = "another-instance"   // the upstream's address answers for another instance
	reasonNotGenuine  = "answer-not-genuine" // a success without the upstream's signature
	reasonUnproven    = "refusal-not-proven" // a refusing status that does not say "not run"
)

// Problem is an answer that a node makes itself, in the form of RFC 9457.
type Problem struct {
	Status       int     `json:"status"`
	Title        string  `json:"title"`
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	// class is how the caller's node counts it.
	class retry.Class
}

const problemType = "application/problem+json"

// rejectedRetryAfter is the advice where an upstream rejected a request: its
// queue is short, so room comes soon.
const rejectedRetryAfter = 150 * time.Millisecond

// defaultRetryAfter is the advice where nothing better is known.
const defaultRetryAfter = time.Second

func notRun(status int, class retry.Class, reason string, after time.Duration) *Problem {
	return &Problem{Status: status, Title: "the request was not run", Outcome: OutcomeNotRun,
		Reason: reason, RetryAfterMs: after.Milliseconds(), class: class}
}

func unknownOutcome(status int, reason string) *Problem {
	return &Problem{Status: status, Title: "the request may have run", Outcome: OutcomeUnknown,
		Reason: reason, RetryAfterMs: defaultRetryAfter.Milliseconds(), class: retry.Ambiguous}
}

// refusedBy turns a verdict of admission into a problem.
func refusedBy(v admission.Verdict) *Problem {
	status, class := http.StatusServiceUnavailable, retry.Limited
	switch v.Reason {
	case admission.ReasonRate, admission.ReasonConcurrency:
		status = http.StatusTooManyRequests
	case admission.ReasonDraining, admission.ReasonEvacuated, admission.ReasonWrongTarget:
		class = retry.Refused
	}
	return notRun(status, class, string(v.Reason), v.RetryAfter)
}

// keyProblem turns a decision of the ledger into a problem.
func keyProblem(d ledger.Decision) *Problem {
	p := &Problem{Status: http.StatusConflict, Reason: d.String(), class: retry.Answered}
	switch d {
	case ledger.InProgress:
		p.Title, p.Outcome = "the same key is running", OutcomeRunning
		p.RetryAfterMs = defaultRetryAfter.Milliseconds()
	case ledger.Replay:
		p.Title, p.Outcome = "the same key has run, its answer is not kept", OutcomeRan
	case ledger.Unknown:
		p.Title, p.Outcome = "an earlier attempt may have run", OutcomeUnknown
	case ledger.PriorUnknown:
		p.Title, p.Outcome = "not run now; an earlier attempt with this key may have run", OutcomeNotRun
	case ledger.Conflict:
		p.Title, p.Outcome, p.Status = "the key belongs to another request", OutcomeNotRun, http.StatusUnprocessableEntity
	case ledger.Future:
		p.Title, p.Outcome, p.Status = "the key's time is in the future", OutcomeNotRun, http.StatusBadRequest
	case ledger.Full:
		return notRun(http.StatusServiceUnavailable, retry.Limited, d.String(), defaultRetryAfter)
	case ledger.Moved:
		return notRun(http.StatusServiceUnavailable, retry.Refused, d.String(), defaultRetryAfter)
	}
	return p
}

// response builds the HTTP response of a problem.
func (p *Problem) response(req *http.Request) *http.Response {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	h := make(http.Header)
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome))
	h.Set(HeaderReason, p.Reason)
	h.Set(headerClass, p.class.String())
	if p.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(p.RetryAfterMs)/1000))))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(p.RetryAfterMs, 10))
	}
	return &http.Response{
		StatusCode:    p.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Body:          io.NopCloser(strings.NewReader(string(body))),
		ContentLength: int64(len(body)),
		Request:       req,
	}
}

// classOf reads back how a response from an admitting node is to be counted.
// Only a node writes headerClass; an upstream's is removed on the way.
func classOf(h http.Header) retry.Class {
	return retry.ParseClass(h.Get(headerClass))
}

// headerClass tells the caller's node how to count a refusal.
const headerClass = "Walldrift-Class"
