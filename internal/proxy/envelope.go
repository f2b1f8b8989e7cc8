// Package proxy is the request path: HTTP in from callers, the hand-over to
// the node beside the chosen upstream, and the call to the upstream itself.
//
// Frontend serves callers on any node and Backend admits work for the one
// upstream beside it. Both speak http.RoundTripper, so a request to the local
// upstream and one to another node take the same path. The invariants: a
// refusal marked not-run was never dispatched to the upstream, a
// non-idempotent request is dispatched at most once, and a cut answer never
// looks complete.
package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// Headers between callers and nodes.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTenant  = "X-Tenant"
	HeaderTimeout = "Walldrift-Timeout-Ms" // time the caller waits; also from node to node
	HeaderOutcome = "Walldrift-Outcome"
	HeaderReason  = "Walldrift-Reason"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Walldrift-Retry-After-Ms"
	// HeaderServedBy names the upstream that answered.
	HeaderServedBy = "Walldrift-Upstream"
)

// Headers between nodes.
const (
	headerPrefix     = "Walldrift-"
	headerTarget     = "Walldrift-Target"
	headerService    = "Walldrift-Service"
	headerKind       = "Walldrift-Kind"
	headerKindWeight = "Walldrift-Kind-Weight"
	headerIdempotent = "Walldrift-Idempotent"
	headerTenantID   = "Walldrift-Tenant"
	headerKeyValue   = "Walldrift-Key"
	headerAwait      = "Walldrift-Await-Admission"
	headerEmpty      = "Walldrift-Empty"
	headerNoWait     = "Walldrift-No-Wait"
	headerLeft       = "Walldrift-Objective-Left-Ms"
	headerLate       = "Walldrift-Late"
	headerPrint      = "Walldrift-Fingerprint"
	headerLoad       = "Walldrift-Load"
	// headerHeld is the time that an answer took at the admitting node and the
	// upstream, in microseconds.
	headerHeld = "Walldrift-Held-Us"
	// headerRuns is how long requests of the kind run: "typical/safe", see
	// overload.TypicalRun and overload.SafeRun, in microseconds.
	headerRuns = "Walldrift-Runs-Us"
)

// Envelope is what a node tells the admitting node about a request.
type Envelope struct {
	Target     string
	Service    string
	Kind       string
	KindWeight float64
	Idempotent bool
	Tenant     string
	Key        string
	Timeout    time.Duration
	// Objective is how the request stands to its objective; nil if its route has none,
	// so that it may wait until the timeout.
	Objective *ObjectiveState
	// AwaitsAdmission says that the sender holds the body back until the request is
	// admitted.
	AwaitsAdmission bool
	// EmptyBody says that the request has no body, which HTTP/3 leaves open.
	EmptyBody bool
	// NoWait asks for a refusal in place of waiting for a slot.
	NoWait bool
	// Fingerprint tells all attempts of the request from other requests; 0 if it is not
	// known, as from a node of an earlier build.
	Fingerprint quarantine.Fingerprint
}

// ObjectiveState is how a request stands to its objective.
type ObjectiveState struct {
	// Left is the time to the objective, less that of the way to the admitting
	// node and back. It may be negative.
	Left time.Duration
	// Late says that the request is more likely late than not.
	Late bool
}

// late reports whether the request waits among those that are more likely late
// than not.
func (e Envelope) late() bool { return e.Objective != nil && e.Objective.Late }

// queueKind is the kind under which the request waits for a slot.
func (e Envelope) queueKind() string { return overload.QueueKind(e.Kind, e.late()) }

// write replaces the headers of the project in h by those of the envelope.
func (e Envelope) write(h http.Header) {
	stripOwn(h)
	h.Set(headerTarget, e.Target)
	h.Set(headerService, e.Service)
	h.Set(headerKind, e.Kind)
	h.Set(headerKindWeight, strconv.FormatFloat(e.KindWeight, 'g', -1, 64))
	h.Set(HeaderTimeout, strconv.FormatInt(e.Timeout.Milliseconds(), 10))
	if e.Objective != nil {
		h.Set(headerLeft, strconv.FormatInt(e.Objective.Left.Milliseconds(), 10))
		setFlag(h, headerLate, e.Objective.Late)
	}
	setIf(h, headerTenantID, e.Tenant)
	setIf(h, headerKeyValue, e.Key)
	setIf(h, headerPrint, e.Fingerprint.String())
	setFlag(h, headerIdempotent, e.Idempotent)
	setFlag(h, headerAwait, e.AwaitsAdmission)
	setFlag(h, headerEmpty, e.EmptyBody)
	setFlag(h, headerNoWait, e.NoWait)
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

const flagSet = "true"

func setFlag(h http.Header, name string, on bool) {
	if on {
		h.Set(name, flagSet)
	}
}

// readEnvelope reads the headers written by write.
func readEnvelope(h http.Header) (Envelope, error) {
	e := Envelope{
		Target:          h.Get(headerTarget),
		Service:         h.Get(headerService),
		Kind:            h.Get(headerKind),
		Idempotent:      h.Get(headerIdempotent) == flagSet,
		Tenant:          h.Get(headerTenantID),
		Key:             h.Get(headerKeyValue),
		AwaitsAdmission: h.Get(headerAwait) == flagSet,
		EmptyBody:       h.Get(headerEmpty) == flagSet,
		NoWait:          h.Get(headerNoWait) == flagSet,
	}
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil {
		return e, errors.Wrap(err, "timeout")
	}
	e.Timeout = time.Duration(ms) * time.Millisecond
	if v := h.Get(headerLeft); v != "" {
		if ms, err = strconv.ParseInt(v, 10, 64); err != nil {
			return e, errors.Wrap(err, "time left to the objective")
		}
		e.Objective = &ObjectiveState{Left: time.Duration(ms) * time.Millisecond, Late: h.Get(headerLate) == flagSet}
	}
	if e.Fingerprint, err = quarantine.ParseFingerprint(h.Get(headerPrint)); err != nil {
		return e, err
	}
	e.KindWeight, err = strconv.ParseFloat(h.Get(headerKindWeight), 64)
	return e, errors.Wrap(err, "kind weight")
}

// stripOwn removes the project's headers, so that neither callers nor
// upstreams can speak for a node.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// hopHeaders are meant for one connection only, RFC 9110 section 7.6.1.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHop removes the hop-by-hop headers, those named by Connection included.
func stripHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
