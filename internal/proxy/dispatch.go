package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
)

// dispatch sends the request to the upstream. The slot is released at the latest when
// the response's body ends.
func (c *backendCall) dispatch(ctx context.Context, cancel context.CancelFunc) (*http.Response, *Problem) {
	if c.keyed {
		// A repeated request with this key needs the response even if this caller
		// disconnects.
		var stop context.CancelFunc
		ctx, stop = clock.WithDeadline(context.WithoutCancel(ctx), c.start.Add(c.env.Timeout))
		outer := cancel
		cancel = func() { stop(); outer() }
	}
	unbind := c.b.bindToLifetime(cancel)
	outer := cancel
	cancel = func() { unbind(); outer() }
	c.steps = newTrySteps(c.start)
	out := c.upstreamRequest(httptrace.WithClientTrace(c.steps.trace(ctx), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.b.cfg.OnConnect(true) },
	}))
	c.sentAt = clock.Now()
	c.b.detector.requestSent(c)
	resp, err := c.b.transport(c.env, out.Method).RoundTrip(out)
	if err != nil {
		ctxErr := ctx.Err()
		cancel()
		if !c.steps.isConnected() && ctxErr == nil && !errors.Is(err, http1.ErrAbandoned) {
			c.b.cfg.OnConnect(false)
			c.b.detector.recordCrash()
		}
		problem := c.callProblem(ctxErr, err, c.steps.isConnected())
		c.noteLostConnection(ctxErr, problem)
		return nil, problem
	}
	c.b.detector.requestAnswered(c)
	stripOwn(resp.Header)
	stripHop(resp.Header)
	c.observeLimit(resp)
	c.observeLoad(resp)
	c.observeLeaving(resp)
	if problem := c.responseProblem(resp); problem != nil {
		discardResponse(resp)
		cancel()
		return nil, problem
	}
	var complete bool
	if resp.Body, complete = bufferResponse(resp, c.b.responseBufferLimit()); resp.Body == nil {
		err := ctx.Err()
		cancel()
		if err != nil {
			return nil, c.callProblem(err, err, true)
		}
		problem := unknownOutcome(http.StatusBadGateway, reasonConnectionLost)
		c.noteLostConnection(nil, problem)
		return nil, problem
	}
	if complete {
		// The upstream has finished; the slot need not wait for the caller's link.
		c.releaseSlot(true)
	}
	c.b.setReportHeaders(resp.Header, c.env, c.req.ContentLength > receiveThreshold)
	resp.Body = c.limitSend(resp)
	body := &trackedBody{ReadCloser: resp.Body, expected: resp.ContentLength}
	if out.Method == http.MethodHead || resp.StatusCode == http.StatusNotModified || resp.StatusCode == http.StatusNoContent {
		body.expected = -1
	}
	if c.keyed {
		body.copied, body.copyLimit = &bytes.Buffer{}, c.b.cfg.Ledger.MaxResponse
	}
	body.onEnd = func(fullyRead bool) { c.responseEnded(resp, body, fullyRead, cancel) }
	resp.Body = body
	if c.keyed {
		resp.Body = &drainedBody{trackedBody: body}
	}
	return resp, nil
}

// responseProblem returns a problem that replaces a response that must not be
// forwarded: one that says the request was not run, a success that the upstream itself
// did not make, or a status that callers would wrongly take as a guarantee that the
// request did not run. It returns nil for any other response.
func (c *backendCall) responseProblem(resp *http.Response) *Problem {
	d := c.b.cfg.Dialect
	switch {
	case d.misdirected(resp):
		c.b.deniedTarget.Store(&c.env.Target)
		return notRun(http.StatusServiceUnavailable, retry.Rejected, reasonWrongInstance, rejectedRetryAfter)
	case d.notExecuted(resp):
		return notRun(http.StatusServiceUnavailable, retry.Rejected, reasonRejected, rejectedRetryAfter)
	case !d.genuine(resp):
		return unknownOutcome(http.StatusBadGateway, reasonNotGenuine)
	case d.NotExecuted != "" && !c.env.Idempotent && impliesNotRun(resp.StatusCode):
		return unknownOutcome(http.StatusBadGateway, reasonRefusalNotProven)
	}
	return nil
}

// callProblem classifies an error of the call to the upstream. ctxErr is the error of
// the request's context.
func (c *backendCall) callProblem(ctxErr, err error, connected bool) *Problem {
	if errors.Is(err, http1.ErrAbandoned) {
		switch {
		case http1.CallerDisconnected(c.req.Context()):
			return notRun(http.StatusServiceUnavailable, retry.Refused, reasonCallerLeft, defaultRetryAfter)
		case errors.Is(err, context.DeadlineExceeded):
			return notRun(http.StatusServiceUnavailable, retry.Refused, reasonDeadline, defaultRetryAfter)
		}
	}
	if !connected || errors.Is(err, http1.ErrNotSent) {
		return notRun(http.StatusServiceUnavailable, retry.NeverDispatched, notSentReason(ctxErr, reasonConnectionRefused), defaultRetryAfter)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return unknownOutcome(http.StatusGatewayTimeout, reasonDeadline)
	}
	return unknownOutcome(http.StatusBadGateway, noResponseReason(err))
}

// noResponseReason returns why a request that was sent has no response, given the error of
// its round trip.
func noResponseReason(err error) string {
	switch {
	case errors.Is(err, http1.ErrUnboundedResponse):
		return reasonUnboundedResponse
	case errors.Is(err, http1.ErrMalformedResponse):
		return reasonMalformedResponse
	}
	return reasonConnectionLost
}

// noteLostConnection reports to the crash detector a request that the upstream may have
// begun to run and whose connection broke without being cancelled by this node.
func (c *backendCall) noteLostConnection(ctxErr error, p *Problem) {
	if ctxErr == nil && p.class == retry.Ambiguous {
		c.b.detector.connectionLost(c)
	}
}

// responseEnded is called once, when the response's body ends.
func (c *backendCall) responseEnded(resp *http.Response, body *trackedBody, complete bool, cancel context.CancelFunc) {
	if !complete && c.req.Context().Err() == nil && clock.Now().Before(c.start.Add(c.env.Timeout)) {
		c.b.detector.connectionLost(c)
	}
	c.sending.release()
	c.releaseSlot(complete)
	cancel()
	if !complete {
		c.noteAbandoned("")
		c.finishKey(ledger.OutcomeUnknown, nil)
	} else if c.keyed {
		c.finishKey(ledger.Done, &ledger.Response{
			Status: resp.StatusCode,
			Header: resp.Header.Clone(),
			Body:   bytes.Clone(body.copied.Bytes()),
			Kept:   !body.copyOverflowed,
		})
	}
	c.b.inflight.Add(-1)
}

// drainedBody reads the rest of a response to a keyed request if the caller
// disconnects, so that a repeated request gets it.
type drainedBody struct{ *trackedBody }

// Close reads the rest in the background; the request's deadline bounds that.
func (d *drainedBody) Close() error {
	if d.ended {
		return d.trackedBody.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, d.trackedBody)
		_ = d.trackedBody.Close()
	}()
	return nil
}

// upstreamRequest builds the request to the upstream.
func (c *backendCall) upstreamRequest(ctx context.Context) *http.Request {
	out := c.req.Clone(ctx)
	out.URL.Scheme, out.URL.Host = c.b.cfg.Upstream.Scheme, c.b.cfg.Upstream.Host
	out.GetBody = nil // net/http must not replay the request
	if c.env.EmptyBody {
		// A body of unknown length would be sent chunked, even if it is empty.
		out.Body, out.ContentLength = http.NoBody, 0
	}
	stripOwn(out.Header)
	stripHop(out.Header)
	left := clock.Until(c.start.Add(c.env.Timeout)).Milliseconds()
	d := c.b.cfg.Dialect
	out.Header.Set(d.Deadline, strconv.FormatInt(max(left, 1), 10))
	if d.ExpectedInstance != "" {
		out.Header.Set(d.ExpectedInstance, c.env.Target)
	}
	d.setCustomer(out.Header, c.env.Tenant)
	if c.env.Key != "" {
		// net/http replays any request that has this header in its canonical form. HTTP
		// header names are case-insensitive, but the keys of the header map are not.
		out.Header.Del(HeaderKey)
		out.Header[rawKeyHeader] = []string{c.env.Key}
	}
	return out
}

// rawKeyHeader is HeaderKey in a form that net/http does not recognize.
const rawKeyHeader = "idempotency-key"

// transport returns the transport for a request to the upstream. net/http resends a
// GET, HEAD, OPTIONS or TRACE if a reused connection turns out to be closed. A request
// with one of these methods that the table declares not idempotent therefore gets a new
// connection, on which nothing is resent.
func (b *Backend) transport(env Envelope, method string) http.RoundTripper {
	if b.cfg.Transport != nil {
		return b.cfg.Transport
	}
	if env.Idempotent {
		return b.pooled
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return b.unpooled
	}
	return b.pooled
}

// keyFingerprint distinguishes different requests that use the same idempotency key.
func keyFingerprint(req *http.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.Method, req.URL.Path, req.URL.RawQuery, strconv.FormatInt(req.ContentLength, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
