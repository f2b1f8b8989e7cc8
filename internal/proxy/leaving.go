package proxy

import (
	"context"
	"time"
)

// SetLeaving makes the frontend read longer answers to their end before it passes
// any of them on, so that one which does not come in the time that is left can
// still be reported as failed. Of 61 nodes with links of 15 Mbit/s one in a day's
// rolling restart ended amid an answer whose run had ended 2.9 s before.
func (f *Frontend) SetLeaving() { f.leaving.Store(true) }

// EndAll ends the tries of all requests in progress. Their callers are told what is
// known of them, in place of a closed connection that tells nothing.
func (f *Frontend) EndAll() { f.end() }

// untilEnd returns a context of a request that also ends with EndAll.
func (f *Frontend) untilEnd(ctx context.Context, deadline time.Time) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(f.ending, cancel)
	return ctx, func() { stop(); cancel() }
}

// wholeLimit is the longest answer that is read to its end now, and how many bytes
// one of the length adds to what a leaving node keeps.
func (f *Frontend) wholeLimit(length int64) (limit, kept int64) {
	switch {
	case !f.leaving.Load(),
		length <= f.cfg.WholeAnswers,
		length > f.cfg.LeavingAnswers,
		f.held.Load()+length > f.cfg.LeavingTotal:
		return f.cfg.WholeAnswers, 0
	}
	return f.cfg.LeavingAnswers, length
}
