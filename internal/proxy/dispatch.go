package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
)

// dispatch calls the upstream. The answer's body gives the slot back when it
// ends.
func (c *backendCall) dispatch(ctx context.Context, cancel context.CancelFunc) (*http.Response, *Problem) {
	var connected atomic.Bool
	if c.keyed {
		// A repeat of the key wants the answer even if this caller goes away.
		var stop context.CancelFunc
		ctx, stop = clock.WithDeadline(context.WithoutCancel(ctx), c.start.Add(c.env.Timeout))
		outer := cancel
		cancel = func() { stop(); outer() }
	}
	outlives := c.b.withLife(cancel)
	outer := cancel
	cancel = func() { outlives(); outer() }
	out := c.upstreamRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
			c.b.cfg.OnConnect(true)
		},
	}))
	c.sent = clock.Now()
	c.b.falls.sent(c)
	resp, err := c.b.transport(c.env, out.Method).RoundTrip(out)
	if err != nil {
		ended := ctx.Err()
		cancel()
		if !connected.Load() && ended == nil {
			c.b.cfg.OnConnect(false)
			c.b.falls.fell()
		}
		problem := c.failure(ended, err, connected.Load())
		c.noteLost(ended, problem)
		return nil, problem
	}
	c.b.falls.answered(c)
	stripOwn(resp.Header)
	stripHop(resp.Header)
	if problem := c.unusable(resp); problem != nil {
		drop(resp)
		cancel()
		return nil, problem
	}
	var complete bool
	if resp.Body, complete = whole(resp, c.b.answerLimit()); resp.Body == nil {
		err := ctx.Err()
		cancel()
		if err != nil {
			return nil, c.failure(err, err, true)
		}
		problem := unknownOutcome(http.StatusBadGateway, reasonLost)
		c.noteLost(nil, problem)
		return nil, problem
	}
	if complete {
		// The upstream is done: its slot need not wait for the caller's link.
		c.leave(true)
	}
	c.b.stamp(resp.Header, c.env, c.req.ContentLength > receiveFrom)
	resp.Body = c.inTurn(resp)
	body := &endingBody{ReadCloser: resp.Body, want: resp.ContentLength}
	if out.Method == http.MethodHead || resp.StatusCode == http.StatusNotModified || resp.StatusCode == http.StatusNoContent {
		body.want = -1
	}
	if c.keyed {
		body.tee, body.keep = &bytes.Buffer{}, c.b.cfg.Ledger.MaxAnswer
	}
	body.end = func(whole bool) { c.ended(resp, body, whole, cancel) }
	resp.Body = body
	if c.keyed {
		resp.Body = &drainedBody{endingBody: body}
	}
	return resp, nil
}

// unusable returns the problem in place of an answer that must not be passed
// on: a refusal, a success that is not the upstream's own, and a status that
// callers would take for a promise that the request did not run.
func (c *backendCall) unusable(resp *http.Response) *Problem {
	d := c.b.cfg.Dialect
	switch {
	case d.misdirected(resp):
		c.b.denied.Store(&c.env.Target)
		return notRun(http.StatusServiceUnavailable, retry.Rejected, reasonMisdirected, rejectedRetryAfter)
	case d.notExecuted(resp):
		return notRun(http.StatusServiceUnavailable, retry.Rejected, reasonRejected, rejectedRetryAfter)
	case !d.genuine(resp):
		return unknownOutcome(http.StatusBadGateway, reasonNotGenuine)
	case d.NotExecuted != "" && !c.env.Idempotent && impliesNotRun(resp.StatusCode):
		return unknownOutcome(http.StatusBadGateway, reasonUnproven)
	}
	return nil
}

// failure classifies an error of the call to the upstream; ended is that of the
// request's context.
func (c *backendCall) failure(ended, err error, connected bool) *Problem {
	if !connected || errors.Is(err, http1.ErrNotSent) {
		return notRun(http.StatusServiceUnavailable, retry.NeverDispatched, notSentReason(ended, reasonUpstream), defaultRetryAfter)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return unknownOutcome(http.StatusGatewayTimeout, reasonDeadline)
	}
	return unknownOutcome(http.StatusBadGateway, reasonLost)
}

// noteLost notes a request that the upstream may have begun and whose connection broke,
// with nobody on this side having ended it.
func (c *backendCall) noteLost(ended error, p *Problem) {
	if ended == nil && p.class == retry.Ambiguous {
		c.b.falls.lostConnection(c)
	}
}

// ended is called once when the answer's body ends.
func (c *backendCall) ended(resp *http.Response, body *endingBody, whole bool, cancel context.CancelFunc) {
	if !whole && c.req.Context().Err() == nil && clock.Now().Before(c.start.Add(c.env.Timeout)) {
		c.b.falls.lostConnection(c)
	}
	c.leave(whole)
	cancel()
	if !whole {
		c.finishKey(ledger.OutcomeUnknown, nil)
	} else if c.keyed {
		c.finishKey(ledger.Done, &ledger.Answer{
			Status: resp.StatusCode,
			Header: resp.Header.Clone(),
			Body:   bytes.Clone(body.tee.Bytes()),
			Kept:   !body.over,
		})
	}
	c.b.inflight.Add(-1)
}

// drainedBody reads the rest of a keyed answer when the caller goes away, so
// that a repeat gets it.
type drainedBody struct{ *endingBody }

// Close reads on in the background; the request's deadline bounds it.
func (d *drainedBody) Close() error {
	if d.done {
		return d.endingBody.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, d.endingBody)
		_ = d.endingBody.Close()
	}()
	return nil
}

// upstreamRequest builds the request to the upstream.
func (c *backendCall) upstreamRequest(ctx context.Context) *http.Request {
	out := c.req.Clone(ctx)
	out.URL.Scheme, out.URL.Host = c.b.cfg.Upstream.Scheme, c.b.cfg.Upstream.Host
	out.GetBody = nil // nothing may replay the request
	if c.env.EmptyBody {
		// A body of unknown length would be sent in chunks, even if empty.
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
	d.nameCustomer(out.Header, c.env.Tenant)
	if c.env.Key != "" {
		// net/http replays any request that has this header in its canonical
		// form; HTTP header names are case-insensitive, its map is not.
		out.Header.Del(HeaderKey)
		out.Header[rawKeyHeader] = []string{c.env.Key}
	}
	return out
}

// rawKeyHeader is HeaderKey in a form that net/http does not look for.
const rawKeyHeader = "idempotency-key"

// transport chooses how the upstream is called. net/http sends a GET, HEAD,
// OPTIONS or TRACE again when a kept connection turns out to be closed; where
// the table says that such a request is not idempotent, it goes over a new
// connection, on which nothing is replayed.
func (b *Backend) transport(env Envelope, method string) http.RoundTripper {
	if b.cfg.Transport != nil {
		return b.cfg.Transport
	}
	if env.Idempotent {
		return b.pooled
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return b.fresh
	}
	return b.pooled
}

// fingerprint tells two requests under one key apart.
func fingerprint(req *http.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.Method, req.URL.Path, req.URL.RawQuery, strconv.FormatInt(req.ContentLength, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
