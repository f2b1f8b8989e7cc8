package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/node"
	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/telemetry"
)

func nodeCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("node")
	file := fs.String('c', "config", "", "INI file with the node's settings")
	check := fs.BoolLong("check", "report every finding and exit")
	reference := fs.BoolLong("reference", "print all settings with unit, default and meaning")
	set := fs.StringListLong("set", "overriding setting: section.key=value (repeatable)")
	return &ff.Command{
		Name:      "node",
		Usage:     "walldrift node --config node.ini [--check] [--set section.key=value]",
		ShortHelp: "run the node beside one upstream instance",
		LongHelp:  "A later source overrides an earlier one: the file, the environment (WALLDRIFT_SECTION_KEY), --set.",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if *reference {
				return printReference(out, settings.Fields())
			}
			if *file == "" || len(args) > 0 {
				return usagef("node needs --config FILE and no arguments")
			}
			overrides, err := settings.ParseOverrides(*set)
			if err != nil {
				return usagef("--set: %v", err)
			}
			cfg, err := settings.Load(*file, settings.Environment(), overrides)
			if err != nil {
				return err
			}
			id, err := peer.LoadIdentity(cfg.Name, cfg.Certificate, cfg.Key, cfg.Authority)
			if err != nil {
				return err
			}
			if *check {
				_, err = fmt.Fprintf(out.Out, "%s: no findings\n", *file)
				return err
			}
			n, err := node.New(cfg, id, telemetry.NewLogger(out.Err, cfg.LogLevel, cfg.LogFormat, cfg.Name), nil)
			if err != nil {
				return err
			}
			return n.Run(ctx)
		},
	}
}

// printReference writes the settings as a Markdown table; docs/SETTINGS.md is generated
// from it.
func printReference[T any](out IO, fields []settings.Field[T]) error {
	if _, err := fmt.Fprintln(out.Out, "| setting | unit | default | meaning |\n|---|---|---|---|"); err != nil {
		return err
	}
	for _, f := range fields {
		def := "`" + f.Default + "`"
		switch {
		case f.Required:
			def = "required"
		case f.Default == "":
			def = "none"
		}
		if _, err := fmt.Fprintf(out.Out, "| `%s.%s` | %s | %s | %s |\n", f.Section, f.Key, f.Unit, def, f.Doc); err != nil {
			return err
		}
	}
	return nil
}
