package proxy

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/overload"
)

// Leave is the course of a node's leaving, as far as callers' requests know it.
type Leave struct {
	Began     time.Time
	Announced time.Time // callers have been told that the node leaves
	End       time.Time // what is not answered is cut
}

// SetLeaving says that this node ends, and cuts at a time what is not answered by
// then. From now on it refuses a request whose answer would come later, by how long
// those of its kind took lately with their waits, bodies and links. It also reads
// longer answers to their end before it passes any of them on, so that one which
// does not come in the time that is left can still be reported as failed. Of 61
// nodes with links of 15 Mbit/s one in a day's rolling restart ended amid an answer
// whose run had ended 2.9 s before.
func (f *Frontend) SetLeaving(l Leave) { f.leaving.Store(&l) }

// Refuse answers all further requests with a refusal that says that they have not
// run.
func (f *Frontend) Refuse() { f.refusing.Store(true) }

// endsTooSoon reports whether a request that came at a time would be cut as this
// node leaves.
func (f *Frontend) endsTooSoon(now time.Time, kind string) bool {
	if f.refusing.Load() {
		return true
	}
	l := f.leaving.Load()
	return l != nil && now.Add(f.usualTime(kind)).After(l.End)
}

// usualTime is how long requests of a kind take at this node, from the first byte
// to the last; 0 if that is not known.
func (f *Frontend) usualTime(kind string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.took.Quantile(kind, overload.SafeRun)
}

// noteTime counts how long a request took that was answered.
func (f *Frontend) noteTime(kind string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took.Observe(kind, took)
}

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
	case f.leaving.Load() == nil,
		length <= f.cfg.WholeAnswers,
		length > f.cfg.LeavingAnswers,
		f.held.Load()+length > f.cfg.LeavingTotal:
		return f.cfg.WholeAnswers, 0
	}
	return f.cfg.LeavingAnswers, length
}
