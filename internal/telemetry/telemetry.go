// Package telemetry makes the logger and the metrics of a process.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// NewLogger returns a logger that writes text or JSON lines.
func NewLogger(w io.Writer, level, format, instance string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	if format == "json" {
		l.SetFormatter(log.JSONFormatter)
	}
	if parsed, err := log.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return l.With("instance", instance)
}

// reportInterval is how often buffered metrics reach the end point.
const reportInterval = time.Second

// Metrics is the root of a process's metrics.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics that Handler shows in the Prometheus text format.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: promreporter.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "walldrift",
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
		// The library's own metrics have names that Prometheus refuses.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
