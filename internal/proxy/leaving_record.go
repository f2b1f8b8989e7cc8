package proxy

import "time"

// ShutdownOutcome is what became of a request at a node that leaves.
type ShutdownOutcome string

// The fates.
const (
	ShutdownAnswered    ShutdownOutcome = "answered"   // by its upstream
	ShutdownRefused     ShutdownOutcome = "refused"    // at once, as the node leaves
	ShutdownFailed      ShutdownOutcome = "failed"     // for another reason than the leave
	ShutdownCutRun      ShutdownOutcome = "cut-run"    // no answer had begun
	ShutdownCutResponse ShutdownOutcome = "cut-answer" // its answer was coming; nothing of it was passed on
	ShutdownCutSent     ShutdownOutcome = "cut-sent"   // a part of its answer was passed on
)

// The stages of leaving that differ for callers' requests.
const (
	stageBefore    = "before" // the request came before the leave began
	stageAnnounced = "announced"
	stageDraining  = "draining"
	stageRefusing  = "refusing"
)

// ShutdownRecord is how a request stood to the end of a leaving node when it came, for
// records.
type ShutdownRecord struct {
	Stage         string
	Since         time.Duration // since the leave began
	UntilShutdown time.Duration // until what is not answered is cut
	UntilDeadline time.Duration // until the request's own deadline
	UsualTime     time.Duration // usual time of its kind; 0 if not known
	Samples       float64       // the requests that the forecast rests on
	Outcome       ShutdownOutcome
}

// notable reports whether a request has a line though it was served: one that was
// taken after the announcement, or cut.
func (l *ShutdownRecord) notable() bool {
	return l != nil && (l.Stage != stageAnnounced || l.Outcome != ShutdownAnswered)
}

// noteLeaving notes how a request stands to the end of this node.
func (x *exchange) noteLeaving() {
	l := x.f.leaving.Load()
	if l == nil {
		return
	}
	x.leaving = &ShutdownRecord{
		Stage:         x.f.stage(l, x.start),
		Since:         x.start.Sub(l.Start),
		UntilShutdown: l.Deadline.Sub(x.start),
		UntilDeadline: x.deadline.Sub(x.start),
		UsualTime:     x.f.usualTime(x.kind),
		Samples:       x.f.samples(x.kind),
	}
}

// stage is how far this node has come in leaving, for a request that comes.
func (f *Frontend) stage(l *ShutdownSchedule, now time.Time) string {
	switch {
	case f.refusing.Load():
		return stageRefusing
	case now.Before(l.AnnouncedBy):
		return stageAnnounced
	}
	return stageDraining
}

// samples is how many requests the usual time of a kind rests on.
func (f *Frontend) samples(kind string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.took.Samples(kind)
}

// endLeaving notes what became of the request, if this node leaves.
func (x *exchange) endLeaving(outcome, reason string) {
	l := x.f.leaving.Load()
	if l == nil {
		return
	}
	fate := fateOf(outcome, reason, x.f.endingRuns.Err() != nil, x.begun)
	if x.leaving == nil && (fate == ShutdownAnswered || fate == ShutdownFailed) {
		return
	}
	if x.leaving == nil {
		x.leaving = &ShutdownRecord{Stage: stageBefore, Since: x.start.Sub(l.Start), UntilShutdown: l.Deadline.Sub(x.start), UntilDeadline: x.deadline.Sub(x.start)}
	}
	x.leaving.Outcome = fate
	x.f.metrics.left(x.leaving.Stage, fate)
}

// fateOf tells what became of a request from its outcome and the reason that
// stands in it. cut says that the node has ended what was in progress, answering
// that the upstream's answer had begun to come.
func fateOf(outcome, reason string, cut, answering bool) ShutdownOutcome {
	switch {
	case outcome == outcomeNames[0]:
		return ShutdownAnswered
	case reason == reasonLeaving && outcome == string(OutcomeNotRun):
		return ShutdownRefused
	case !cut:
		return ShutdownFailed
	case outcome == outcomeCut:
		return ShutdownCutSent
	case answering:
		return ShutdownCutResponse
	}
	return ShutdownCutRun
}
