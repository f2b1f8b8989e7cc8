// Package proxy implements the request path: HTTP from callers, forwarding to the node
// beside the chosen upstream, and the call to the upstream.
//
// Frontend serves callers on any node, and Backend admits requests for the one upstream
// beside its node. A Backend and the transports to other nodes implement
// http.RoundTripper, so requests to the local upstream and to other nodes take the same
// path.
//
// Invariants: a refusal marked not-run was never dispatched to the upstream, a
// non-idempotent request is dispatched at most once, and a truncated response never
// looks complete.
package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// Headers between callers and nodes.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTenant  = "X-Tenant"
	HeaderTimeout = "Walldrift-Timeout-Ms" // how long the caller waits; also sent between nodes
	HeaderOutcome = "Walldrift-Outcome"
	HeaderReason  = "Walldrift-Reason"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Walldrift-Retry-After-Ms"
	// HeaderServedBy names the upstream that answered.
	HeaderServedBy = "Walldrift-Upstream"
)

// HeaderRateLimit in an upstream's response is the limit that it advertises; see
// Dialect.RateLimit.
const HeaderRateLimit = "Upstream-Rate-Limit"

// Headers between nodes.
const (
	headerPrefix         = "Walldrift-"
	headerTarget         = "Walldrift-Target"
	headerService        = "Walldrift-Service"
	headerKind           = "Walldrift-Kind"
	headerKindWeight     = "Walldrift-Kind-Weight"
	headerIdempotent     = "Walldrift-Idempotent"
	headerTenantID       = "Walldrift-Tenant"
	headerKeyValue       = "Walldrift-Key"
	headerAwaitAdmission = "Walldrift-Await-Admission"
	headerEmpty          = "Walldrift-Empty"
	headerNoWait         = "Walldrift-No-Wait"
	headerObjectiveLeft  = "Walldrift-Objective-Left-Ms"
	headerLate           = "Walldrift-Late"
	headerFingerprint    = "Walldrift-Fingerprint"
	headerKnownLimit     = "Walldrift-Known-Limit"
	headerWorthwhileWait = "Walldrift-Worthwhile-Wait-Us"
	headerLoad           = "Walldrift-Load"
	// headerHeld is the time from a request's arrival at the admitting node to the
	// start of the response, including the upstream's time, in microseconds.
	headerHeld = "Walldrift-Held-Us"
	// headerRunTimes is how long requests of the kind run, as "typical/safe" in
	// microseconds; see overload.TypicalRunQuantile and overload.SafeRunQuantile.
	headerRunTimes = "Walldrift-Runs-Us"
)

// Envelope is what the forwarding node sends with a request to the admitting node.
type Envelope struct {
	Target     string
	Service    string
	Kind       string
	KindWeight float64
	Idempotent bool
	Tenant     string
	Key        string
	Timeout    time.Duration
	// Objective is the request's time left to its objective deadline; nil if its route
	// has no objective, so that the request may wait until its timeout.
	Objective *ObjectiveState
	// AwaitsAdmission says that the sender withholds the body until the request is
	// admitted.
	AwaitsAdmission bool
	// EmptyBody says that the request has no body; in HTTP/3 the length may be unknown.
	EmptyBody bool
	// NoWait asks for a refusal instead of waiting for a slot.
	NoWait bool
	// Fingerprint is the same for all attempts of a request and distinguishes it from
	// other requests; 0 if unknown, as from a node of an earlier build.
	Fingerprint quarantine.Fingerprint
	// KnownLimit is the limit that the upstream advertises, as far as the sender knows; the
	// zero value if it knows none.
	KnownLimit admission.AdvertisedLimit
	// WaitBound is how long a wait at the target is worthwhile; the zero value if the
	// request must not be returned while it waits.
	WaitBound admission.WaitBound
}

// ObjectiveState is where a request stands relative to its objective deadline.
type ObjectiveState struct {
	// Left is the time left to the objective deadline, less the network time to the
	// admitting node and back. It may be negative.
	Left time.Duration
	// Late says that the request is more likely than not to miss its objective
	// deadline.
	Late bool
}

// late reports whether the request queues with those that are likely to miss their
// objective deadline.
func (e Envelope) late() bool { return e.Objective != nil && e.Objective.Late }

// queueKind returns the kind under which the request waits for a slot.
func (e Envelope) queueKind() string { return overload.QueueKind(e.Kind, e.late()) }

// write replaces the project's headers in h by those of the envelope.
func (e Envelope) write(h http.Header) {
	stripOwn(h)
	h.Set(headerTarget, e.Target)
	h.Set(headerService, e.Service)
	h.Set(headerKind, e.Kind)
	h.Set(headerKindWeight, strconv.FormatFloat(e.KindWeight, 'g', -1, 64))
	h.Set(HeaderTimeout, strconv.FormatInt(e.Timeout.Milliseconds(), 10))
	if e.Objective != nil {
		h.Set(headerObjectiveLeft, strconv.FormatInt(e.Objective.Left.Milliseconds(), 10))
		setFlag(h, headerLate, e.Objective.Late)
	}
	setIf(h, headerTenantID, e.Tenant)
	setIf(h, headerKeyValue, e.Key)
	setIf(h, headerFingerprint, e.Fingerprint.String())
	if e.KnownLimit.InForce {
		h.Set(headerKnownLimit, formatRate(e.KnownLimit.PerSecond))
	}
	setIf(h, headerWorthwhileWait, formatWaitBound(e.WaitBound))
	setFlag(h, headerIdempotent, e.Idempotent)
	setFlag(h, headerAwaitAdmission, e.AwaitsAdmission)
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
		AwaitsAdmission: h.Get(headerAwaitAdmission) == flagSet,
		EmptyBody:       h.Get(headerEmpty) == flagSet,
		NoWait:          h.Get(headerNoWait) == flagSet,
	}
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil {
		return e, errors.Wrap(err, "timeout")
	}
	e.Timeout = time.Duration(ms) * time.Millisecond
	if v := h.Get(headerObjectiveLeft); v != "" {
		if ms, err = strconv.ParseInt(v, 10, 64); err != nil {
			return e, errors.Wrap(err, "time left to the objective deadline")
		}
		e.Objective = &ObjectiveState{Left: time.Duration(ms) * time.Millisecond, Late: h.Get(headerLate) == flagSet}
	}
	if e.Fingerprint, err = quarantine.ParseFingerprint(h.Get(headerFingerprint)); err != nil {
		return e, err
	}
	// A limit that cannot be read is only a hint that is missing.
	e.KnownLimit, _ = parseLimit(h.Get(headerKnownLimit))
	e.WaitBound = parseWaitBound(h.Get(headerWorthwhileWait))
	e.KindWeight, err = strconv.ParseFloat(h.Get(headerKindWeight), 64)
	return e, errors.Wrap(err, "kind weight")
}

// stripOwn removes the project's headers, so that neither callers nor upstreams can
// forge a node's headers.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// hopHeaders apply to one connection only (RFC 9110 section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHop removes the hop-by-hop headers, including those named by Connection.
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

// requestTimeout returns the timeout of a request of another node; 0 if it has none.
func requestTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
