package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/admin"
)

func quarantineCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("quarantine")
	query := newAdminQuery(fs)
	release := fs.StringLong("release", "", "fingerprint of a request to release from quarantine on all nodes")
	return &ff.Command{
		Name:      "quarantine",
		Usage:     "walldrift quarantine [--node ip:port] [--json] [--release FINGERPRINT]",
		ShortHelp: "show the requests in quarantine because upstreams crashed while running them, or release one",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *release != "" {
				_, err := requestAdmin(ctx, http.MethodPost, *query.addr, admin.PathRelease+*release)
				return err
			}
			return query.printResponse(ctx, out, admin.PathQuarantine, printQuarantine)
		},
	}
}

func printQuarantine(w io.Writer, raw []byte) error {
	rows, err := readQuarantine(raw)
	if err != nil {
		return err
	}
	writeQuarantine(w, rows)
	return nil
}

func readQuarantine(raw []byte) (rows []admin.QuarantinedRequest, err error) {
	return rows, errors.Wrap(json.Unmarshal(raw, &rows), "quarantine")
}

func writeQuarantine(w io.Writer, rows []admin.QuarantinedRequest) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "HELD BACK\tSERVICE\tUPSTREAMS ENDED\tFOR\tTRIED AGAIN IN\tREFUSED HERE\tCUSTOMER\tREQUEST")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\n", r.Fingerprint, r.Service, r.Crashes,
			time.Duration(r.SinceMs)*time.Millisecond, time.Duration(r.ProbeInMs)*time.Millisecond, r.Refused, dash(r.Tenant), dash(requestLine(r)))
	}
	_ = tw.Flush()
}

// requestLine returns the method, host and target of a request. It is empty if the queried
// node received no attempt of the request.
func requestLine(r admin.QuarantinedRequest) string {
	if r.Method == "" {
		return ""
	}
	return r.Method + " " + r.Host + r.Target
}
