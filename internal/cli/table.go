package cli

import (
	"bytes"
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

func tableCommand(out IO) *ff.Command {
	return &ff.Command{
		Name:      "table",
		Usage:     "walldrift table check|diff|set|show ...",
		ShortHelp: "check, compare, edit and print the operators' table",
		LongHelp:  "No subcommand publishes a table: operators do that with the platform's own tools.",
		Flags:     ff.NewFlagSet("table"),
		Subcommands: []*ff.Command{
			tableCheck(out), tableDiff(out), tableSet(out), tableShow(out),
		},
	}
}

func tableCheck(out IO) *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "walldrift table check FILE",
		ShortHelp: "report every finding with row, column and rule",
		Flags:     ff.NewFlagSet("check"),
		Exec: func(_ context.Context, args []string) error {
			raw, err := readFiles(args, 1)
			if err != nil {
				return err
			}
			snap, err := snapshot.Build(raw[0])
			if err != nil {
				return err
			}
			t := snap.Table
			_, err = fmt.Fprintf(out.Out, "version %s: %d services, %d upstreams, %d routes, %d bytes, no findings\n",
				snap.ID, len(t.Services), len(t.Upstreams), len(t.Routes), len(raw[0]))
			return err
		},
	}
}

func tableDiff(out IO) *ff.Command {
	return &ff.Command{
		Name:      "diff",
		Usage:     "walldrift table diff OLD NEW",
		ShortHelp: "list the differing cells",
		Flags:     ff.NewFlagSet("diff"),
		Exec: func(_ context.Context, args []string) error {
			raw, err := readFiles(args, 2)
			if err != nil {
				return err
			}
			changes, err := table.Diff(raw[0], raw[1])
			if err != nil {
				return err
			}
			for _, c := range changes {
				if _, err := fmt.Fprintf(out.Out, "%s %s: %s: %q -> %q\n", c.Row, c.Name, c.Column, c.Old, c.New); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func tableSet(out IO) *ff.Command {
	fs := ff.NewFlagSet("set")
	outPath := fs.String('o', "out", "", "file to write; must not exist")
	return &ff.Command{
		Name:      "set",
		Usage:     "walldrift table set --out NEW FILE ROW/NAME/COLUMN=VALUE ...",
		ShortHelp: "write a new file with changed cells and an incremented edition",
		Flags:     fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 || *outPath == "" {
				return usagef("set needs --out NEW, FILE and at least one ROW/NAME/COLUMN=VALUE")
			}
			raw, err := readFiles(args[:1], 1)
			if err != nil {
				return err
			}
			edits, err := parseEdits(args[1:])
			if err != nil {
				return err
			}
			next, err := table.ApplyEdits(raw[0], edits...)
			if err != nil {
				return err
			}
			snap, err := snapshot.Build(next)
			if err != nil {
				return err
			}
			if err := writeNewFile(*outPath, next); err != nil {
				return err
			}
			_, err = fmt.Fprintf(out.Out, "wrote %s, version %s\n", *outPath, snap.ID)
			return err
		},
	}
}

// parseEdits parses ROW/NAME/COLUMN=VALUE arguments.
func parseEdits(args []string) ([]table.Edit, error) {
	edits := make([]table.Edit, 0, len(args))
	for _, a := range args {
		cell, value, ok := strings.Cut(a, "=")
		parts := strings.Split(cell, "/")
		if !ok || len(parts) != 3 {
			return nil, usagef("%q is not ROW/NAME/COLUMN=VALUE", a)
		}
		edits = append(edits, table.Edit{Row: table.RowType(parts[0]), Name: parts[1], Column: table.Column(parts[2]), Value: value})
	}
	return edits, nil
}

// writeNewFile writes a file that must not exist yet.
func writeNewFile(path string, raw []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Wrap(err, "new table")
	}
	_, err = f.Write(raw)
	return errors.CombineErrors(err, f.Close())
}

func tableShow(out IO) *ff.Command {
	return &ff.Command{
		Name:      "show",
		Usage:     "walldrift table show FILE",
		ShortHelp: "print the table in columns",
		Flags:     ff.NewFlagSet("show"),
		Exec: func(_ context.Context, args []string) error {
			raw, err := readFiles(args, 1)
			if err != nil {
				return err
			}
			recs, err := csv.NewReader(bytes.NewReader(raw[0])).ReadAll()
			if err != nil {
				return errors.Wrap(err, "table")
			}
			w := tabwriter.NewWriter(out.Out, 0, 0, 2, ' ', 0)
			for _, rec := range recs {
				if _, err := fmt.Fprintln(w, strings.Join(rec, "\t")); err != nil {
					return err
				}
			}
			return w.Flush()
		},
	}
}

// readFiles reads the named files; there must be exactly n.
func readFiles(args []string, n int) ([][]byte, error) {
	if len(args) != n {
		return nil, usagef("want %d file(s), got %d", n, len(args))
	}
	out := make([][]byte, n)
	for i, name := range args {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "table")
		}
		out[i] = raw
	}
	return out, nil
}
