package cli

import (
	"github.com/peterbourgon/ff/v4"
)

func benchCommand(out IO) *ff.Command {
	return &ff.Command{
		Name:        "bench",
		Usage:       "walldrift bench ...",
		ShortHelp:   "measure a running fleet",
		Flags:       ff.NewFlagSet("bench"),
		Subcommands: nil,
	}
}
