package sidecar

import (
	"github.com/charmbracelet/log"

	"github.com/walldrift/walldrift/internal/proxy"
)

// abandonedLog writes a log line for each request whose caller disconnected, within a rate
// limit.
type abandonedLog struct {
	log     *log.Logger
	limiter *logLimiter
}

func newAbandonedLog(l *log.Logger) *abandonedLog {
	return &abandonedLog{log: l, limiter: newLogLimiter()}
}

func (a *abandonedLog) record(r proxy.AbandonedRequest) {
	suppressed, ok := a.limiter.allow()
	if !ok {
		return
	}
	a.log.Info("caller left",
		"id", r.ID,
		"kind", r.Kind,
		"side", r.Side,
		"upstream", r.Upstream,
		"tries", r.Tries,
		"step", string(r.Step),
		"admitted_ms", millis(r.Admitted),
		"connected_ms", millis(r.Connected),
		"written_ms", millis(r.Written),
		"noticed_ms", millis(r.Noticed),
		"left_out", suppressed,
	)
}
