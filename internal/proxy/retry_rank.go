package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/retry"
)

// RetryRecord describes a decision on a further try at a service that rejects requests,
// for logs. Its inputs are observations of this node, except the typical run time, which
// is from the response to the last try.
type RetryRecord struct {
	retry.Request
	retry.Decision
}

// rejectingRetryAfter is the advised retry delay after a rejection by an upstream with free
// slots, if its service rejects many requests. They are not rejected for want of room, so a
// later attempt is no more likely to succeed, and an earlier one leaves more of the
// objective.
const rejectingRetryAfter = 20 * time.Millisecond

// observeArrival counts a try that may have reached an upstream. An answer of another
// instance at the upstream's address says nothing about how much the service rejects.
func (ex *exchange) observeArrival(class retry.Class, resp *http.Response) {
	if !reportsWrongInstance(resp.Header) {
		ex.f.observeArrival(ex.service.Name, class)
	}
}

// decideRetry decides on a further try after the response to the last one, by the rank of
// the request if the service rejects many.
func (ex *exchange) decideRetry(resp *http.Response, t retry.Try) retry.Reason {
	req := retry.Request{
		Rank:       retry.RankOf(ex.refusalIsFinal, ex.priority),
		Left:       clock.Until(ex.deadline),
		TypicalRun: readRunTimes(resp.Header).Typical,
	}
	d := ex.f.decideRetry(ex.service.Name, req, t)
	if d.Ranked {
		ex.retry = &RetryRecord{Request: req, Decision: d}
		ex.f.metrics.retriedByRank(req.Rank, d)
		if t.Class == retry.Rejected && hadFreeSlots(resp.Header) {
			resp.Header.Set(HeaderRetryAfterMs, strconv.FormatInt(rejectingRetryAfter.Milliseconds(), 10))
		}
	}
	return d.Reason
}

// hadFreeSlots reports whether, by the load report of a response, the upstream had a free
// slot and no request waited.
func hadFreeSlots(h http.Header) bool {
	load := readLoadReport(h)
	return load != nil && load.Waiting == 0 && load.InUse < load.Slots
}

// retriedByRank counts a further try at a service that rejects requests.
func (m *Metrics) retriedByRank(rank retry.Rank, r retry.Decision) {
	if r.Reason == retry.Allowed {
		m.ranked.get(rank.String()).Inc(1)
	}
}
