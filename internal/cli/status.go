package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/distribution"
)

// errNoPage marks an answer that there is no such page, or nothing of that name.
var errNoPage = errors.New("no such page")

// adminTimeout bounds a question to a node's admin address.
const adminTimeout = 6 * time.Second

// adminQuestion is the flags of a command that asks a node's admin address.
type adminQuestion struct {
	addr   *string
	asJSON *bool
}

func newAdminQuestion(fs *ff.FlagSet) adminQuestion {
	return adminQuestion{
		addr:   fs.String('n', "node", "127.0.0.1:9000", "admin address of any node, ip:port"),
		asJSON: fs.BoolLong("json", "print JSON"),
	}
}

// ask prints the answer at a path, as it is or by printAs.
func (q adminQuestion) ask(ctx context.Context, out IO, path string, printAs func(io.Writer, []byte) error) error {
	raw, err := askAdmin(ctx, http.MethodGet, *q.addr, path)
	if err != nil {
		return err
	}
	if *q.asJSON {
		_, err = out.Out.Write(raw)
		return err
	}
	return printAs(out.Out, raw)
}

func statusCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("status")
	question := newAdminQuestion(fs)
	return &ff.Command{
		Name:      "status",
		Usage:     "walldrift status [--node ip:port] [--json]",
		ShortHelp: "ask any node for the version that every node holds, and why",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			return question.ask(ctx, out, admin.PathFleet, printFleet)
		},
	}
}

// fleetRow is a node's status as its JSON shows it.
type fleetRow struct {
	Name       string                         `json:"name"`
	DataCentre string                         `json:"dc"`
	Table      string                         `json:"table"`
	HeldMs     int64                          `json:"held_ms"`
	From       string                         `json:"from"`
	Reader     bool                           `json:"reader"`
	SourceAge  uint64                         `json:"source_age_ms"`
	Refused    string                         `json:"refused"`
	Waiting    string                         `json:"waiting"`
	Links      int                            `json:"links"`
	Upstream   string                         `json:"upstream"`
	Evacuated  []distribution.EvacuatedCentre `json:"evacuated"`
	HeldBack   int                            `json:"held_back"`
}

// unknownAge is the least source age that stands for "never".
const unknownAge = uint64(1) << 40

func printFleet(w io.Writer, raw []byte) error {
	var rows []fleetRow
	if err := json.Unmarshal(raw, &rows); err != nil {
		return errors.Wrap(err, "status")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "NODE\tDC\tVERSION\tHELD FOR\tWHY\tREADER\tLINKS\tPLATFORM ANSWERED\tWAITS FOR\tREFUSED\tUPSTREAM GETS NO WORK\tEVACUATED\tREQUESTS HELD BACK")
	for _, r := range rows {
		age := "never"
		if r.SourceAge < unknownAge {
			age = (time.Duration(r.SourceAge) * time.Millisecond).String() + " ago"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Name, r.DataCentre, r.Table,
			time.Duration(r.HeldMs)*time.Millisecond, why(r), r.Reader, r.Links, age, dash(r.Waiting), dash(r.Refused), dash(r.Upstream), dash(evacuated(r.Evacuated)), r.HeldBack)
	}
	return tw.Flush()
}

// evacuated lists evacuated data centres, each with how long the node knows of it.
func evacuated(centres []distribution.EvacuatedCentre) string {
	told := make([]string, len(centres))
	for i, c := range centres {
		told[i] = fmt.Sprintf("%s for %v", c.DataCentre, time.Duration(c.Since)*time.Millisecond)
	}
	return strings.Join(told, ", ")
}

// why says in words why a node holds the version it holds.
func why(r fleetRow) string {
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
	question := newAdminQuestion(fs)
	return &ff.Command{
		Name:      "explain",
		Usage:     "walldrift explain [--node ip:port] [--json] SERVICE",
		ShortHelp: "show which upstreams a request would get now, and why others are left out",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("explain needs one SERVICE")
			}
			if err := question.ask(ctx, out, admin.PathExplain+args[0], printExplanation); err != nil || *question.asJSON {
				return err
			}
			return question.explainHeld(ctx, out, args[0])
		},
	}
}

// explainHeld adds the requests to a service that are held back, if there are any.
func (q adminQuestion) explainHeld(ctx context.Context, out IO, service string) error {
	raw, err := askAdmin(ctx, http.MethodGet, *q.addr, admin.PathQuarantine)
	if errors.Is(err, errNoPage) {
		return nil // a node of another kind holds none back
	}
	if err != nil {
		return err
	}
	rows, err := readQuarantine(raw)
	if err != nil {
		return err
	}
	rows = slices.DeleteFunc(rows, func(r admin.HeldRequest) bool { return r.Service != service })
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

// askAdmin makes one request to a node's admin address.
func askAdmin(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, usagef("--node %q: %v", addr, err)
	}
	resp, err := http.DefaultClient.Do(req)
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
			err = errors.Mark(err, errNoPage)
		}
		return nil, err
	}
	return raw, nil
}
