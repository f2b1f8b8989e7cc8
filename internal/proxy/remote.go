package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go/http3"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/retry"
)

// withAdmitted arranges for f to be called when the admitting node, local or remote,
// signals that it has admitted the request.
func withAdmitted(ctx context.Context, f func()) context.Context {
	ctx = context.WithValue(ctx, admissionHookKey{}, f)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints || code == http.StatusContinue {
				f()
			}
			return nil
		},
	})
}

// sendFailure classifies an error of forwarding a request to another node.
func sendFailure(ctx context.Context, err error) *Problem {
	var h3 *http3.Error
	if errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected {
		// RFC 9114 section 4.1.1: the request was not processed.
		return notRun(http.StatusServiceUnavailable, retry.Refused, reasonUnreachable, defaultRetryAfter)
	}
	if errors.Is(err, ErrNotSent) || errors.Is(err, http1.ErrNotSent) {
		return notRun(http.StatusServiceUnavailable, retry.NeverDispatched, notSentReason(ctx.Err(), reasonUnreachable), defaultRetryAfter)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknownOutcome(http.StatusGatewayTimeout, reasonDeadline)
	}
	return unknownOutcome(http.StatusBadGateway, noResponseReason(err))
}

// abandoned reports whether the request was given up before it was sent, which says
// nothing about the upstream.
func (p *Problem) abandoned() bool {
	return p.class == retry.Refused && (p.Reason == reasonCallerLeft || p.Reason == reasonDeadline)
}

// notSentReason returns why nothing was sent: the deadline if the request's context has
// exceeded it, otherwise fallback. A dial timeout is not the request's deadline,
// although its error looks alike.
func notSentReason(ctxErr error, fallback string) string {
	if errors.Is(ctxErr, context.DeadlineExceeded) {
		return reasonDeadline
	}
	return fallback
}

// ErrNotSent marks errors of a RoundTripper that occurred before any part of the
// request was sent.
var ErrNotSent = errors.New("nothing was sent")

// PeerHandler serves the requests that other nodes forward.
type PeerHandler struct {
	backend *Backend
	claims  http.Handler
}

// NewPeerHandler returns the handler for requests to a backend.
func NewPeerHandler(b *Backend) *PeerHandler {
	return &PeerHandler{backend: b, claims: claimHandler{b}}
}

// ServeHTTP serves a request of another node.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerClaim) != "" {
		p.claims.ServeHTTP(w, r)
		return
	}
	deadline := clock.Now().Add(requestTimeout(r.Header))
	hook := func() { w.WriteHeader(http.StatusEarlyHints) }
	ctx := context.WithValue(r.Context(), admissionHookKey{}, hook)
	ctx = context.WithValue(ctx, readDeadlineKey{}, http.NewResponseController(w).SetReadDeadline)
	resp := p.backend.admit(r.WithContext(ctx), true)
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, err := copyBody(&progressingWriter{ResponseWriter: w, deadline: deadline, stall: nodeWriteStall}, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		// Resets the stream, so that the response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// claimTimeout bounds a claim sent to an earlier owner.
const claimTimeout = 500 * time.Millisecond
