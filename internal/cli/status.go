package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/distribution"
	"github.com/walldrift/walldrift/internal/http1"
)

// errNotFound marks a 404 response: the path or the named object does not exist.
var errNotFound = errors.New("admin path not found")

// adminTimeout bounds a request to a node's admin address.
const adminTimeout = 6 * time.Second

// adminQuery holds the flags of a command that queries a node's admin address.
type adminQuery struct {
	addr   *string
	asJSON *bool
}

func newAdminQuery(fs *ff.FlagSet) adminQuery {
	return adminQuery{
		addr:   fs.String('n', "node", "127.0.0.1:9000", "admin address of any node, ip:port"),
		asJSON: fs.BoolLong("json", "print JSON"),
	}
}

// printResponse requests a path and prints the response: unchanged with --json, otherwise by
// printText.
func (q adminQuery) printResponse(ctx context.Context, out IO, path string, printText func(io.Writer, []byte) error) error {
	raw, err := requestAdmin(ctx, http.MethodGet, *q.addr, path)
	if err != nil {
		return err
	}
	if *q.asJSON {
		_, err = out.Out.Write(raw)
		return err
	}
	return printText(out.Out, raw)
}

// showCommand returns a command without arguments that prints the response to a path of an
// admin address.
func showCommand(out IO, name, help, path string, printText func(io.Writer, []byte) error) *ff.Command {
	fs := ff.NewFlagSet(name)
	query := newAdminQuery(fs)
	return &ff.Command{
		Name:      name,
		Usage:     "walldrift " + name + " [--node ip:port] [--json]",
		ShortHelp: help,
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			return query.printResponse(ctx, out, path, printText)
		},
	}
}

func statusCommand(out IO) *ff.Command {
	return showCommand(out, "status", "show the table version of every node, and the reason for it", admin.PathFleet, printFleet)
}

// fleetRow is the status of one node in a response of admin.PathFleet.
type fleetRow struct {
	Name        string                         `json:"name"`
	DataCentre  string                         `json:"dc"`
	Table       string                         `json:"table"`
	InForceMs   int64                          `json:"held_ms"`
	From        string                         `json:"from"`
	Reader      bool                           `json:"reader"`
	SourceAge   uint64                         `json:"source_age_ms"`
	Refused     string                         `json:"refused"`
	Waiting     string                         `json:"waiting"`
	Links       int                            `json:"links"`
	Upstream    string                         `json:"upstream"`
	Evacuated   []distribution.EvacuatedCentre `json:"evacuated"`
	Quarantined int                            `json:"held_back"`
}

// minNeverAge is the smallest source age, in milliseconds, that means that the platform
// never answered.
const minNeverAge = uint64(1) << 40

func printFleet(w io.Writer, raw []byte) error {
	var rows []fleetRow
	if err := json.Unmarshal(raw, &rows); err != nil {
		return errors.Wrap(err, "status")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "NODE\tDC\tVERSION\tHELD FOR\tWHY\tREADER\tLINKS\tPLATFORM ANSWERED\tWAITS FOR\tREFUSED\tUPSTREAM GETS NO WORK\tEVACUATED\tREQUESTS HELD BACK")
	for _, r := range rows {
		age := "never"
		if r.SourceAge < minNeverAge {
			age = (time.Duration(r.SourceAge) * time.Millisecond).String() + " ago"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Name, r.DataCentre, r.Table,
			time.Duration(r.InForceMs)*time.Millisecond, versionReason(r), r.Reader, r.Links, age, dash(r.Waiting), dash(r.Refused), dash(r.Upstream), dash(evacuationText(r.Evacuated)), r.Quarantined)
	}
	return tw.Flush()
}

// evacuationText lists evacuated data centres, each with the time since the node learned of
// the evacuation.
func evacuationText(centres []distribution.EvacuatedCentre) string {
	parts := make([]string, len(centres))
	for i, c := range centres {
		parts[i] = fmt.Sprintf("%s for %v", c.DataCentre, time.Duration(c.Since)*time.Millisecond)
	}
	return strings.Join(parts, ", ")
}

// versionReason explains why a node has its table version in force.
func versionReason(r fleetRow) string {
	switch {
	case r.From == "":
		return "has none yet"
	case r.Refused != "":
		return "newest it accepts, from " + r.From
	case r.Waiting != "":
		return "newest it has got, from " + r.From
	}
	return "newest, from " + r.From
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func explainCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("explain")
	query := newAdminQuery(fs)
	return &ff.Command{
		Name:      "explain",
		Usage:     "walldrift explain [--node ip:port] [--json] SERVICE",
		ShortHelp: "show the upstreams that a request may be sent to now, and why others are excluded",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("explain needs one SERVICE")
			}
			if err := query.printResponse(ctx, out, admin.PathExplain+args[0], printExplanation); err != nil || *query.asJSON {
				return err
			}
			return query.printQuarantinedOf(ctx, out, args[0])
		},
	}
}

// printQuarantinedOf prints the quarantined requests to a service, if there are any.
func (q adminQuery) printQuarantinedOf(ctx context.Context, out IO, service string) error {
	raw, err := requestAdmin(ctx, http.MethodGet, *q.addr, admin.PathQuarantine)
	if errors.Is(err, errNotFound) {
		return nil // the walldrift node command has no quarantine
	}
	if err != nil {
		return err
	}
	rows, err := readQuarantine(raw)
	if err != nil {
		return err
	}
	rows = slices.DeleteFunc(rows, func(r admin.QuarantinedRequest) bool { return r.Service != service })
	if len(rows) > 0 {
		writeQuarantine(out.Out, rows)
	}
	return nil
}

func printExplanation(w io.Writer, raw []byte) error {
	var rows []admin.Explanation
	if err := json.Unmarshal(raw, &rows); err != nil {
		return errors.Wrap(err, "explain")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "UPSTREAM\tDC\tWEIGHT\tCOST\tLEFT OUT BECAUSE")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.3f\t%.3f\t%s\n", r.Upstream, r.DataCentre, r.Weight, r.Cost, dash(r.Excluded))
	}
	return tw.Flush()
}

// requestAdmin sends one request to a node's admin address and returns the response body. A
// response 404 gives an error marked with errNotFound.
func requestAdmin(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, usagef("--node %q: %v", addr, err)
	}
	client := http.Client{Transport: http1.NewCheckedTransport(&http.Transport{DisableKeepAlives: true}, &net.Dialer{})}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		err := errors.Newf("node %s answers %s: %s", addr, resp.Status, raw)
		if resp.StatusCode == http.StatusNotFound {
			err = errors.Mark(err, errNotFound)
		}
		return nil, err
	}
	return raw, nil
}
