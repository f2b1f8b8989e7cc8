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

// Outcome tells a caller whether its request ran. It is sent in HeaderOutcome with
// every response that a node makes itself.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun means that this attempt certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning means that a request with the same key is running now.
	OutcomeRunning Outcome = "running"
	// OutcomeRan means that a request with the same key has run, but its response was
	// not stored.
	OutcomeRan Outcome = "ran"
)

// Reasons in addition to those of packages admission and ledger.
const (
	reasonNoTable           = "no-table"
	reasonNotInSync         = "not-in-sync" // no peer has sent its state since the start or a process pause
	reasonTooManyRequests   = "too-many-requests"
	reasonNodeLeaves        = "node-leaves" // its response would not arrive before this node's shutdown deadline
	reasonNoRoute           = "no-route"
	reasonUnknownKey        = "unknown-key" // no customer has the request's key, or the request has none
	reasonQuota             = "quota"       // the customer exceeds its limit
	reasonAllBusy           = "all-busy"    // every upstream is known to have too long a queue
	reasonNoUpstream        = "no-upstream"
	reasonBadRequest        = "bad-request"
	reasonBodiesFull        = "bodies-full"  // bodies that are arriving take all the memory for them
	reasonBodyStalled       = "body-stalled" // the sender's connection fell silent in the middle of the body
	reasonBodyCut           = "body-cut"     // the sender's connection broke in the middle of the body
	reasonUnreachable       = "unreachable"
	reasonConnectionLost    = "connection-lost"
	reasonDeadline          = "deadline"
	reasonCallerLeft        = "caller-left" // nobody waits for the response any more
	reasonOwnerUnavailable  = "home-unavailable"
	reasonConnectionRefused = "upstream-refused-connection"
	reasonRejected          = "upstream-rejected"  // the upstream says that it did not run the request
	reasonWrongInstance     = "another-instance"   // another instance answers at the upstream's address
	reasonNotGenuine        = "answer-not-genuine" // a success without the upstream's signature
	reasonMalformedResponse = "answer-malformed"   // the upstream sends bytes that are no response
	reasonUnboundedResponse = "answer-too-long"    // the upstream sends more than is read before a response's body
	reasonRefusalNotProven  = "refusal-not-proven" // a status that implies "not run", without the upstream's statement that it did not run
)

// Problem is a response that a node makes itself, in the format of RFC 9457.
type Problem struct {
	Status       int     `json:"status"`
	Title        string  `json:"title"`
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	// class is how the caller's node classifies the response for retries.
	class retry.Class
	link  string // value of headerLink; empty for none
}

const problemType = "application/problem+json"

// rejectedRetryAfter is the advised retry delay after an upstream rejected a request.
// It is short because an upstream's queue is short and soon has room.
const rejectedRetryAfter = 150 * time.Millisecond

// defaultRetryAfter is the advised retry delay if no better one is known.
const defaultRetryAfter = time.Second

func notRun(status int, class retry.Class, reason string, after time.Duration) *Problem {
	return &Problem{Status: status, Title: "the request was not run", Outcome: OutcomeNotRun,
		Reason: reason, RetryAfterMs: after.Milliseconds(), class: class}
}

func unknownOutcome(status int, reason string) *Problem {
	return &Problem{Status: status, Title: "the request may have run", Outcome: OutcomeUnknown,
		Reason: reason, RetryAfterMs: defaultRetryAfter.Milliseconds(), class: retry.Ambiguous}
}

// admissionProblem converts a verdict of admission into a problem.
func admissionProblem(v admission.Verdict) *Problem {
	status, class := http.StatusServiceUnavailable, retry.Limited
	switch v.Reason {
	case admission.ReasonRate, admission.ReasonConcurrency:
		status = http.StatusTooManyRequests
	case admission.ReasonDraining, admission.ReasonEvacuated, admission.ReasonWrongTarget:
		class = retry.Refused
	}
	return notRun(status, class, string(v.Reason), v.RetryAfter)
}

// keyProblem converts a decision of the ledger into a problem.
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

// response builds the HTTP response for a problem.
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
	setIf(h, headerLink, p.link)
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

// classOf reads the retry class of a response from an admitting node. Only nodes set
// headerClass; it is removed from upstreams' responses.
func classOf(h http.Header) retry.Class {
	return retry.ParseClass(h.Get(headerClass))
}

// headerClass holds the retry class of a refusal, for the caller's node.
const headerClass = "Walldrift-Class"
