package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go/http3"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/retry"
)

// withAdmitted arranges for f to be called when the admitting node, local or
// remote, says that the request is admitted.
func withAdmitted(ctx context.Context, f func()) context.Context {
	ctx = context.WithValue(ctx, admittedHook{}, f)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints || code == http.StatusContinue {
				f()
			}
			return nil
		},
	})
}

// sendFailure classifies an error of the hand-over to another node.
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
	return unknownOutcome(http.StatusBadGateway, reasonLost)
}

// notSentReason says why nothing was sent: its time was over, by the state of the
// request's context, or what is given. A dial that takes too long is no such case,
// though its error looks like one.
func notSentReason(ended error, otherwise string) string {
	if errors.Is(ended, context.DeadlineExceeded) {
		return reasonDeadline
	}
	return otherwise
}

// ErrNotSent marks errors of a RoundTripper that happened before anything of
// the request was sent.
var ErrNotSent = errors.New("nothing was sent")

// PeerHandler serves the requests that other nodes hand over.
type PeerHandler struct {
	backend *Backend
	claims  http.Handler
}

// NewPeerHandler returns the handler of a backend's node.
func NewPeerHandler(b *Backend) *PeerHandler {
	return &PeerHandler{backend: b, claims: claimHandler{b}}
}

// ServeHTTP answers a request of another node.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerClaim) != "" {
		p.claims.ServeHTTP(w, r)
		return
	}
	hook := func() { w.WriteHeader(http.StatusEarlyHints) }
	resp := p.backend.admit(r.WithContext(context.WithValue(r.Context(), admittedHook{}, hook)), true)
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, err := copyBody(w, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		// Resets the stream, so that the answer does not look whole.
		panic(http.ErrAbortHandler)
	}
}

// claimTimeout bounds the question to an earlier home.
const claimTimeout = 500 * time.Millisecond
