package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// CutReason says why a response broke off after its status had been sent.
type CutReason string

// Reasons for a truncated response.
const (
	CutCallerDisconnected CutReason = "caller-left" // a write to its connection failed, or it closed it
	CutDeadline           CutReason = "deadline"    // the request's deadline passed
	CutNodeShutdown       CutReason = "node-ends"   // this node shut down and cancelled the request
	CutConnectionLost     CutReason = "hop-lost"    // the connection to the upstream's node or to the upstream broke
)

// CutRecord describes a truncated response.
type CutRecord struct {
	Reason CutReason // empty if the response is complete
	Sent   int64     // bytes of the body that were forwarded
	// TableAge is the time since the table in force was adopted. It helps to tell
	// effects of a table change from others.
	TableAge time.Duration
}

// errCallerDisconnected marks errors of writing to the caller.
var errCallerDisconnected = errors.New("caller disconnected")

// recordCut counts and records a response that broke off after sent bytes of its body.
func (ex *exchange) recordCut(now time.Time, sent int64, err error) {
	ex.cut = CutRecord{
		Reason:   ex.cutReason(err),
		Sent:     sent,
		TableAge: ex.f.cfg.TableAge(now),
	}
	ex.f.metrics.responseCut(ex.cut.Reason)
}

// cutReason finds out what truncated a response. A caller that disconnects also ends
// the request's context.
func (ex *exchange) cutReason(err error) CutReason {
	switch {
	case errors.Is(err, errCallerDisconnected) || ex.req.Context().Err() != nil:
		return CutCallerDisconnected
	case ex.f.requestsCtx.Err() != nil:
		return CutNodeShutdown
	case errors.Is(err, context.DeadlineExceeded):
		return CutDeadline
	}
	return CutConnectionLost
}
