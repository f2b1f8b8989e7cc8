package sidecar

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/walldrift/walldrift/internal/proxy"
)

// requestLog writes a log line for each request whose decisions matter, within a rate
// limit.
type requestLog struct {
	log     *log.Logger
	limiter *logLimiter
}

func newRequestLog(l *log.Logger) *requestLog {
	return &requestLog{log: l, limiter: newLogLimiter()}
}

func (r *requestLog) record(rec *proxy.Record) {
	suppressed, ok := r.limiter.allow()
	if !ok {
		return
	}
	fields := []any{
		"id", rec.ID,
		"kind", rec.Kind,
		"service", rec.Service,
		"route", rec.Route,
		"version", rec.Version,
		"status", rec.Status,
		"outcome", rec.Outcome,
		"reason", rec.Reason,
		"not_retried", string(rec.NotRetried),
		"took_ms", millis(rec.Took),
		"allowed_ms", millis(rec.Deadline),
		"age_ms", millis(rec.Age),
		"late", rec.Late,
		"news_age_ms", millis(rec.Staleness),
		"cut", string(rec.Cut.Reason),
		"sent", rec.Cut.Sent,
		"table_age_ms", millis(rec.Cut.TableAge),
		"fingerprint", rec.Fingerprint.String(),
		"link", rec.Link,
		"tries", formatTries(rec.Tries),
		"left_out", suppressed,
	}
	fields = append(fields, retryFields(rec.Retry)...)
	r.log.Info("request", append(fields, shutdownFields(rec.Leaving)...)...)
}

// retryFields returns the additional log fields of a request for which a further try at a
// service that rejects requests was decided on.
func retryFields(r *proxy.RetryRecord) []any {
	if r == nil {
		return nil
	}
	return []any{
		"retry_rank", r.Rank.String(),
		"rejected_share", hundredths(r.RejectedShare),
		"retry_tokens", hundredths(r.Tokens),
		"retry_held", hundredths(r.Held),
		"retry_left_ms", millis(r.Left),
		"retry_run_ms", millis(r.TypicalRun),
	}
}

func hundredths(v float64) float64 { return math.Round(100*v) / 100 }

// shutdownFields returns the additional log fields of a request that a leaving node
// admitted, refused or cut.
func shutdownFields(l *proxy.ShutdownRecord) []any {
	if l == nil {
		return nil
	}
	return []any{
		"leaving", l.Stage,
		"leaving_ms", millis(l.Since),
		"left_ms", millis(l.UntilShutdown),
		"bound_ms", millis(l.UntilDeadline),
		"forecast_ms", millis(l.UsualTime),
		"samples", math.Round(l.Samples),
		"fate", string(l.Outcome),
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// formatTries formats tries as "upstream@12.5ms+30.1ms:class:status:reason:load". A try that
// could be moved has ":bound=" with the worthwhile wait and the ages of the load reports
// of the chosen upstream and of the second choice, in ms.
func formatTries(tries []proxy.TryRecord) string {
	var b strings.Builder
	for i, t := range tries {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(t.Upstream)
		b.WriteByte('@')
		b.WriteString(strconv.FormatFloat(millis(t.At), 'f', 1, 64))
		b.WriteString("ms+")
		b.WriteString(strconv.FormatFloat(millis(t.Took), 'f', 1, 64))
		b.WriteString("ms:" + t.Class.String() + ":" + strconv.Itoa(t.Status) + ":" + t.Reason + ":" + t.Load)
		if t.WaitBound > 0 {
			b.WriteString(":bound=" + formatMillis(t.WaitBound) + "/" + formatMillis(t.Reports.Chosen) + "/" + formatMillis(t.Reports.Second))
		}
	}
	return b.String()
}

func formatMillis(d time.Duration) string { return strconv.FormatFloat(millis(d), 'f', 1, 64) }
