package proxy

import "time"

// ShutdownOutcome is what became of a request at a node that shuts down.
type ShutdownOutcome string

// Shutdown outcomes.
const (
	ShutdownAnswered    ShutdownOutcome = "answered"   // the upstream answered
	ShutdownRefused     ShutdownOutcome = "refused"    // refused at once because of the shutdown
	ShutdownFailed      ShutdownOutcome = "failed"     // failed for a reason other than the shutdown
	ShutdownCutRun      ShutdownOutcome = "cut-run"    // cut before a response had begun to arrive
	ShutdownCutResponse ShutdownOutcome = "cut-answer" // cut while its response was arriving; nothing had been forwarded
	ShutdownCutSent     ShutdownOutcome = "cut-sent"   // cut after a part of its response had been forwarded
)

// Shutdown stages that differ for callers' requests.
const (
	stageBefore    = "before" // the request arrived before the shutdown began
	stageAnnounced = "announced"
	stageDraining  = "draining"
	stageRefusing  = "refusing"
)

// ShutdownRecord describes a request relative to this node's shutdown, as of the
// request's arrival.
type ShutdownRecord struct {
	Stage         string
	Since         time.Duration // since the shutdown began
	UntilShutdown time.Duration // until unanswered requests are cut
	UntilDeadline time.Duration // until the request's own deadline
	UsualTime     time.Duration // of requests of its kind; 0 if unknown
	Samples       float64       // weighted number of requests behind UsualTime
	Outcome       ShutdownOutcome
}

// notable reports whether a request is recorded although it was served: one that was
// accepted after the announcement, or cut.
func (r *ShutdownRecord) notable() bool {
	return r != nil && (r.Stage != stageAnnounced || r.Outcome != ShutdownAnswered)
}

// startShutdownRecord starts the request's shutdown record if this node is shutting
// down.
func (ex *exchange) startShutdownRecord() {
	s := ex.f.shutdown.Load()
	if s == nil {
		return
	}
	ex.shutdown = &ShutdownRecord{
		Stage:         ex.f.shutdownStage(s, ex.start),
		Since:         ex.start.Sub(s.Start),
		UntilShutdown: s.Deadline.Sub(ex.start),
		UntilDeadline: ex.deadline.Sub(ex.start),
		UsualTime:     ex.f.usualTime(ex.kind),
		Samples:       ex.f.usualTimeSamples(ex.kind),
	}
}

// shutdownStage returns the stage of the shutdown at which a request arrives.
func (f *Frontend) shutdownStage(s *ShutdownSchedule, now time.Time) string {
	switch {
	case f.refusing.Load():
		return stageRefusing
	case now.Before(s.AnnouncedBy):
		return stageAnnounced
	}
	return stageDraining
}

// usualTimeSamples returns the weighted number of requests behind the usual time of a
// kind.
func (f *Frontend) usualTimeSamples(kind string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.responseTimes.Samples(kind)
}

// finishShutdownRecord records what became of the request if this node is shutting
// down.
func (ex *exchange) finishShutdownRecord(outcome, reason string) {
	s := ex.f.shutdown.Load()
	if s == nil {
		return
	}
	result := shutdownOutcome(outcome, reason, ex.f.unansweredCtx.Err() != nil, ex.responseStarted)
	if ex.shutdown == nil && (result == ShutdownAnswered || result == ShutdownFailed) {
		return
	}
	if ex.shutdown == nil {
		ex.shutdown = &ShutdownRecord{Stage: stageBefore, Since: ex.start.Sub(s.Start), UntilShutdown: s.Deadline.Sub(ex.start), UntilDeadline: ex.deadline.Sub(ex.start)}
	}
	ex.shutdown.Outcome = result
	ex.f.metrics.shutdownRequest(ex.shutdown.Stage, result)
}

// shutdownOutcome derives what became of a request from its outcome and reason.
// cancelled says that the node has cancelled its requests in progress, responding that
// the upstream's response had begun to arrive.
func shutdownOutcome(outcome, reason string, cancelled, responding bool) ShutdownOutcome {
	switch {
	case outcome == outcomeNames[0]:
		return ShutdownAnswered
	case reason == reasonNodeLeaves && outcome == string(OutcomeNotRun):
		return ShutdownRefused
	case !cancelled:
		return ShutdownFailed
	case outcome == outcomeCut:
		return ShutdownCutSent
	case responding:
		return ShutdownCutResponse
	}
	return ShutdownCutRun
}
