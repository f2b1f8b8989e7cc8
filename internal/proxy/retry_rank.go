package proxy

import (
	"net/http"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/retry"
)

// RetryRecord describes a decision on a further try at a service that rejects requests,
// for logs. Its inputs are observations of this node, except the typical run time, which
// is from the response to the last try.
type RetryRecord struct {
	retry.Request
	retry.Ruling
}

// decideRetry decides on a further try after the response to the last one, by the rank of
// the request if the service rejects many.
func (ex *exchange) decideRetry(resp *http.Response, t retry.Try) retry.Reason {
	req := retry.Request{
		Rank:       retry.RankOf(ex.refusalIsFinal, ex.priority),
		Left:       clock.Until(ex.deadline),
		TypicalRun: readRunTimes(resp.Header).Typical,
	}
	ruling := ex.f.decideRetry(ex.service.Name, req, t)
	if ruling.Ranked {
		ex.retry = &RetryRecord{Request: req, Ruling: ruling}
		ex.f.metrics.retriedByRank(req.Rank, ruling)
	}
	return ruling.Reason
}

// retriedByRank counts a further try at a service that rejects requests.
func (m *Metrics) retriedByRank(rank retry.Rank, r retry.Ruling) {
	if r.Reason == retry.Allowed {
		m.ranked.get(rank.String()).Inc(1)
	}
}
