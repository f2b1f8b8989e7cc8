// Package cli implements the command line of walldrift: it parses arguments, calls the
// package of the subcommand, and maps errors to messages and exit codes.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// IO holds the output streams of a command.
type IO struct {
	Out io.Writer
	Err io.Writer
}

// errUsage marks errors in the command-line arguments; they exit with exitUsage.
var errUsage = errors.New("usage")

func usagef(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// Run parses args, executes the selected subcommand and returns the exit code.
func Run(ctx context.Context, args []string, out IO) int {
	root := newRoot(out)
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	} else if !errors.Is(err, ff.ErrHelp) {
		err = errors.Mark(err, errUsage)
	}
	selected := root.GetSelected()
	if selected == nil {
		selected = root
	}
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp):
		_, _ = fmt.Fprintf(out.Out, "%s\n", ffhelp.Command(selected))
		return exitOK
	case errors.Is(err, ff.ErrNoExec):
		_, _ = fmt.Fprintf(out.Err, "%s\n", ffhelp.Command(selected))
		return exitUsage
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintf(out.Err, "walldrift: %v\ntry: walldrift %s --help\n", err, selected.Name)
		return exitUsage
	}
	_, _ = fmt.Fprintf(out.Err, "walldrift: %v\n", err)
	return exitFailure
}

func newRoot(out IO) *ff.Command {
	return &ff.Command{
		Name:      "walldrift",
		Usage:     "walldrift SUBCOMMAND ...",
		ShortHelp: "distribute a service mesh's configuration and route its requests",
		Flags:     ff.NewFlagSet("walldrift"),
		Subcommands: []*ff.Command{
			nodeCommand(out),
			sidecarCommand(out),
			tableCommand(out),
			statusCommand(out),
			explainCommand(out),
			quarantineCommand(out),
			quotasCommand(out),
			logsCommand(out),
			demoCommand(out),
			keysCommand(out),
			standinCommand(out),
			benchCommand(out),
		},
	}
}
