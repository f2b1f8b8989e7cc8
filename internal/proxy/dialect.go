package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect names the headers that the callers and upstreams of a deployment use
// beside the project's own. An empty name is not used.
type Dialect struct {
	// RequestID identifies one attempt of a caller; an upstream echoes it.
	RequestID string
	// Deadline is how long the caller, or the node, waits: milliseconds.
	Deadline string
	// Signature proves that an answer is the upstream's own.
	Signature string
	// ExpectedInstance is the one process that may run the request; another
	// one at its address answers 421.
	ExpectedInstance string
	// CallerService tells an upstream the service beside whose node the request
	// began.
	CallerService string
	// CustomerKey in a caller's request identifies its customer, and goes no further
	// than the node where the request came. Empty where callers name themselves in
	// HeaderTenant.
	CustomerKey string
	// Customer tells an upstream the name of the customer. Default: HeaderTenant.
	Customer string
	// NotExecuted in an upstream's answer says that it did not run the request.
	NotExecuted string
	// Load in an upstream's answer is "running,waiting,slots".
	Load string
	// Instance in an answer of an upstream's health end point is the instance that
	// answers, and Cold for how long it stays cold, in milliseconds; one that is warm
	// may leave it out.
	Instance, Cold string
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect names the headers of a deployment that uses the project's own.
func DefaultDialect() Dialect { return Dialect{Deadline: HeaderTimeout} }

// ColdRemaining is for how long an upstream stays cold by its own word; false if it says
// nothing that can be read.
func (d Dialect) ColdRemaining(h http.Header) (time.Duration, bool) {
	if d.Cold == "" || h.Get(d.Instance) == "" {
		return 0, false
	}
	if h.Get(d.Cold) == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(h.Get(d.Cold), 64)
	if err != nil || !(ms >= 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxCallerWait.Milliseconds())) * float64(time.Millisecond)), true
}

// callerTimeout is the limit, or the time that the caller waits if that is
// shorter.
func (d Dialect) callerTimeout(h http.Header, limit time.Duration) time.Duration {
	if wait, ok := d.callerWait(h); ok && wait < limit {
		return wait
	}
	return limit
}

// maxCallerWait bounds the times that callers and upstreams may tell.
const maxCallerWait = time.Hour

// callerWait is the time that the caller says it waits; false if it says none.
func (d Dialect) callerWait(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(h.Get(d.Deadline), 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxCallerWait.Milliseconds())) * float64(time.Millisecond)), true
}

// retryAfter writes the advice when to come back.
func (d Dialect) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// MatchesRequest reports whether an upstream's answer is to the request. A refusal may
// come without an id, as what refuses need not have read the request; an answer
// to another request bears that one's id.
func (d Dialect) MatchesRequest(req *http.Request, resp *http.Response) bool {
	if d.RequestID == "" {
		return true
	}
	id := resp.Header.Get(d.RequestID)
	return id == req.Header.Get(d.RequestID) || id == "" && d.notExecuted(resp)
}

// genuine reports whether an answer is the upstream's own. Only successes need
// to prove it: a failure without proof is passed on as what it is.
func (d Dialect) genuine(resp *http.Response) bool {
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return d.Signature == "" || !success || resp.Header.Get(d.Signature) != ""
}

// notExecuted reports whether the upstream says that it did not run the
// request.
func (d Dialect) notExecuted(resp *http.Response) bool {
	return d.misdirected(resp) || d.NotExecuted != "" && resp.Header.Get(d.NotExecuted) != ""
}

// misdirected reports whether the answer comes from another instance than the
// one asked for, which did not run the request.
func (d Dialect) misdirected(resp *http.Response) bool {
	return d.ExpectedInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// impliesNotRun reports whether callers take the status for a promise that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// rawPath is the path as the caller wrote it, without the query.
func rawPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}
