package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// CutReason says why an answer broke off after its status had gone out.
type CutReason string

// The reasons.
const (
	CutCallerDisconnected CutReason = "caller-left" // its connection takes no more
	CutDeadline           CutReason = "deadline"    // the time of the request was over
	CutNodeShutdown       CutReason = "node-ends"   // this node ends what is in progress
	CutConnectionLost     CutReason = "hop-lost"    // the way to the upstream, or the upstream, broke off
)

// CutRecord tells what was known when an answer broke off.
type CutRecord struct {
	Reason CutReason // empty for answers that are whole
	Sent   int64     // bytes of the body passed on
	// TableAge is the time since the table in force was taken, to tell what a change
	// brings from what happens at any time.
	TableAge time.Duration
}

// errCallerLeft marks errors of writing to the caller.
var errCallerLeft = errors.New("the caller takes no more")

// noteCut counts an answer that broke off after so many bytes.
func (x *exchange) noteCut(now time.Time, sent int64, err error) {
	x.cut = CutRecord{
		Reason:   x.cutReason(err),
		Sent:     sent,
		TableAge: x.f.cfg.TableAge(now),
	}
	x.f.metrics.cutBy(x.cut.Reason)
}

// cutReason tells apart by whom an answer was cut. A caller that has left ends the
// context, too.
func (x *exchange) cutReason(err error) CutReason {
	switch {
	case errors.Is(err, errCallerLeft) || x.req.Context().Err() != nil:
		return CutCallerDisconnected
	case x.f.ending.Err() != nil:
		return CutNodeShutdown
	case errors.Is(err, context.DeadlineExceeded):
		return CutDeadline
	}
	return CutConnectionLost
}
