package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/sidecar"
	"github.com/walldrift/walldrift/internal/telemetry"
	"github.com/walldrift/walldrift/platform"
)

func sidecarCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("sidecar")
	file := fs.String('c', "config", "", "INI file with the sidecar's settings")
	check := fs.BoolLong("check", "report every finding and start nothing")
	reference := fs.BoolLong("reference", "print all settings with unit, default and meaning")
	set := fs.StringListLong("set", "override: section.key=value (repeatable)")
	return &ff.Command{
		Name:      "sidecar",
		Usage:     "walldrift sidecar --config sidecar.ini [--check] [--set section.key=value]",
		ShortHelp: "run the process beside one upstream on the users' platform",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if *reference {
				return printReference(out, settings.SidecarFields())
			}
			if *file == "" || len(args) > 0 {
				return usagef("sidecar needs --config FILE and no arguments")
			}
			overrides, err := settings.ParseOverrides(*set)
			if err != nil {
				return usagef("--set: %v", err)
			}
			signal.Ignore(syscall.SIGHUP) // until WatchSettings listens
			load := func() (*settings.Sidecar, error) {
				return settings.LoadSidecar(*file, settings.SidecarEnvironment(), overrides)
			}
			seen := sidecar.NewSettingsFile(*file)
			cfg, err := load()
			if err != nil {
				return err
			}
			if *check {
				_, err = fmt.Fprintf(out.Out, "%s: no findings\n", *file)
				return err
			}
			lines := telemetry.NewAsyncWriter(out.Out, logLines)
			defer lines.Flush(logFlush)
			s, err := sidecar.New(cfg, usersPlatform(), telemetry.NewLogger(lines, cfg.LogLevel, cfg.LogFormat, cfg.Name))
			if err != nil {
				return err
			}
			go s.WatchSettings(ctx, seen, load)
			return s.Run(ctx)
		},
	}
}

const (
	// logLines is the number of lines held for an output that is slow: some
	// seconds of the busiest minute, at most about 300 KB.
	logLines = 512
	// logFlush bounds the wait for the last lines at the end.
	logFlush = 100 * time.Millisecond
)

// usersPlatform is the adapter of the users' machines.
func usersPlatform() sidecar.Platform {
	return sidecar.Platform{
		Dialect:   platform.Dialect,
		ReadyPath: platform.ReadyPath,
		Source:    func(address string) discovery.Source { return platform.NewStore(address) },
	}
}
