// Package telemetry creates the logger and the metrics registry of a process.
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

// NewLogger returns a logger that writes JSON lines if format is "json", otherwise text. Every
// line has the name of the instance. An unknown level leaves the default level.
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

// reportInterval is the interval at which buffered values reach the metrics handler.
const reportInterval = time.Second

// Metrics holds the metrics of a process. New metrics are created in Scope.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics that Handler serves in the Prometheus text format.
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
		// The names of tally's own metrics are invalid in Prometheus.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting of buffered values.
func (m *Metrics) Close() error { return m.closer.Close() }
