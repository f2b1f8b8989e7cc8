package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/logs"
)

func logsCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("logs")
	id := fs.String('i', "id", "", "show every try of the request with this id")
	failed := fs.BoolLong("failed", "only requests that failed")
	slow := fs.DurationLong("slow", 0, "only requests that took at least this long")
	since := fs.StringLong("since", "", "only requests from this time on (RFC 3339)")
	return &ff.Command{
		Name:      "logs",
		Usage:     "walldrift logs [--id ID] [--failed] [--slow 300ms] [--since TIME] [FILE ...]",
		ShortHelp: "read sidecars' log lines: show the tries of one request, or count requests by cause",
		LongHelp:  "Reads the JSON log lines of any number of sidecars from files, or from standard input.",
		Flags:     fs,
		Exec: func(_ context.Context, files []string) error {
			filter := logs.Filter{ID: *id, Failed: *failed, Slow: *slow}
			if *since != "" {
				at, err := time.Parse(time.RFC3339, *since)
				if err != nil {
					return usagef("--since: %v", err)
				}
				filter.Since = at
			}
			return readLogs(out, files, filter)
		},
	}
}

func readLogs(out IO, files []string, filter logs.Filter) error {
	var stats logs.Stats
	summary := logs.NewSummary()
	var writeErr error
	handle := func(l *logs.Line) {
		if filter.ID == "" {
			summary.Add(l)
			return
		}
		writeErr = errors.CombineErrors(writeErr, writeRequest(out.Out, l))
	}
	if err := eachInput(files, func(r io.Reader) error { return logs.Read(r, filter, &stats, handle) }); err != nil {
		return err
	}
	if filter.ID == "" {
		writeErr = errors.CombineErrors(writeErr, writeSummary(out.Out, summary))
	}
	_, err := fmt.Fprintf(out.Out, "read %d lines about requests, %d other log lines, %d invalid lines; the sidecars suppressed %d request lines\n",
		stats.Requests, stats.Others, stats.Invalid, stats.Suppressed)
	return errors.CombineErrors(writeErr, err)
}

// eachInput calls read for each named file, or for standard input if there are none.
func eachInput(files []string, read func(io.Reader) error) error {
	if len(files) == 0 {
		return read(os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "logs")
		}
		err = read(f)
		if err = errors.CombineErrors(err, f.Close()); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// writeRequest prints the tries and the result of one request.
func writeRequest(w io.Writer, l *logs.Line) error {
	_, err := fmt.Fprintf(w, "%s %s: request %s (%s) on route %s of table %s to %s, %.0f ms allowed\n",
		l.Time.Format(time.RFC3339Nano), l.Instance, l.ID, l.Kind, l.Route, l.Version, l.Service, l.AllowedMs)
	for i, t := range logs.Tries(l.Tries) {
		_, werr := fmt.Fprintf(w, "  try %d at %s, start+duration %s: %s, status %s %s, load %s\n", i+1, t.Upstream, t.Timing, t.Class, t.Status, t.Reason, t.Load)
		err = errors.CombineErrors(err, werr)
	}
	_, werr := fmt.Fprintf(w, "  after %.1f ms: status %d, %s %s; no further try: %s\n", l.TookMs, l.Status, l.Outcome, l.Reason, orDefault(l.NotRetried, "not needed"))
	return errors.CombineErrors(err, werr)
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

func writeSummary(w io.Writer, s *logs.Summary) error {
	for _, c := range s.Counts() {
		if _, err := fmt.Fprintf(w, "%7d  %s: status %d, %s %s; tries: %s; no further try: %s; e.g. %s\n",
			c.Requests, c.Kind, c.Status, c.Outcome, c.Reason, orDefault(c.TryResults, "none"), orDefault(c.NotRetried, "not needed"), c.Example); err != nil {
			return err
		}
	}
	if s.OverflowRequests == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%7d  of causes beyond the limit\n", s.OverflowRequests)
	return err
}
