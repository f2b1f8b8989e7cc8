package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect names the headers that the callers and upstreams of a deployment use in
// addition to the project's own. A header with an empty name is not used.
type Dialect struct {
	// RequestID identifies one attempt of a caller; an upstream echoes it.
	RequestID string
	// Deadline is how long the caller, or the node, waits for a response, in
	// milliseconds.
	Deadline string
	// Signature proves that the upstream itself made the response.
	Signature string
	// ExpectedInstance names the instance that may run the request; another instance at
	// the same address answers 421.
	ExpectedInstance string
	// CallerService names, for an upstream, the service beside whose node the request
	// entered the mesh.
	CallerService string
	// CustomerKey identifies the customer in a caller's request. It is not forwarded
	// beyond the node that received the request. Empty if callers name themselves in
	// HeaderTenant.
	CustomerKey string
	// Customer names the customer in a request to an upstream. Default: HeaderTenant.
	Customer string
	// NotExecuted in an upstream's response says that the request did not run.
	NotExecuted string
	// Load in an upstream's response is "running,waiting,slots". A fourth figure, if there is
	// one, is how long work takes at present, in percent of the usual.
	Load string
	// RateLimit in an upstream's response is the number of requests per second, a decimal
	// number of at least 0, that it takes from all nodes together. A response without it
	// ends the limit; one with an unreadable value changes nothing.
	RateLimit string
	// Leaving in an upstream's response, with the value LeavingNow, says that the upstream
	// leaves: it ends soon and must get no further requests.
	Leaving string
	// Instance names the answering instance in a response of an upstream's health
	// endpoint. Cold is how long it stays cold, in milliseconds; a warm instance may
	// omit it.
	Instance, Cold string
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// LeavingNow is the value of Dialect.Leaving with which an upstream says that it leaves.
const LeavingNow = "1"

// DefaultDialect returns the dialect of a deployment that uses the project's own
// headers.
func DefaultDialect() Dialect {
	return Dialect{Deadline: HeaderTimeout, RateLimit: HeaderRateLimit}
}

// ColdRemaining returns how long an upstream says that it stays cold; false if its
// response has no valid answer.
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

// callerTimeout returns the smaller of limit and the time that the caller waits.
func (d Dialect) callerTimeout(h http.Header, limit time.Duration) time.Duration {
	if wait, ok := d.callerWait(h); ok && wait < limit {
		return wait
	}
	return limit
}

// maxCallerWait caps the durations that callers and upstreams may state.
const maxCallerWait = time.Hour

// callerWait returns how long the caller says that it waits; false if it does not say.
func (d Dialect) callerWait(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(h.Get(d.Deadline), 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxCallerWait.Milliseconds())) * float64(time.Millisecond)), true
}

// retryAfter formats the value of a Retry-After header.
func (d Dialect) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// MatchesRequest reports whether an upstream's response belongs to the request. A
// refusal may come without a request id, since it may be sent before the request is
// read; a response to another request carries that request's id.
func (d Dialect) MatchesRequest(req *http.Request, resp *http.Response) bool {
	if d.RequestID == "" {
		return true
	}
	id := resp.Header.Get(d.RequestID)
	return id == req.Header.Get(d.RequestID) || id == "" && d.notExecuted(resp)
}

// genuine reports whether the upstream itself made the response. Only a success has to
// prove it: a failure without a signature is forwarded as a failure.
func (d Dialect) genuine(resp *http.Response) bool {
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return d.Signature == "" || !success || resp.Header.Get(d.Signature) != ""
}

// notExecuted reports whether the upstream says that it did not run the request.
func (d Dialect) notExecuted(resp *http.Response) bool {
	return d.misdirected(resp) || d.NotExecuted != "" && resp.Header.Get(d.NotExecuted) != ""
}

// signed reports whether a response, whatever its status, proves that the expected
// instance made it.
func (d Dialect) signed(resp *http.Response) bool {
	return !d.misdirected(resp) && (d.Signature == "" || resp.Header.Get(d.Signature) != "")
}

// misdirected reports whether the response comes from an instance other than the
// expected one. That instance did not run the request.
func (d Dialect) misdirected(resp *http.Response) bool {
	return d.ExpectedInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// impliesNotRun reports whether callers take the status as a guarantee that the request
// did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}
