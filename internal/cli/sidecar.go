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
	check := fs.BoolLong("check", "report every finding and exit")
	reference := fs.BoolLong("reference", "print all settings with unit, default and meaning")
	set := fs.StringListLong("set", "overriding setting: section.key=value (repeatable)")
	return &ff.Command{
		Name:      "sidecar",
		Usage:     "walldrift sidecar --config sidecar.ini [--check] [--set section.key=value]",
		ShortHelp: "run the sidecar beside one upstream on the users' platform",
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
			signal.Ignore(syscall.SIGHUP) // it would end the process until WatchSettings handles it
			load := func() (*settings.Sidecar, error) {
				return settings.LoadSidecar(*file, settings.SidecarEnvironment(), overrides)
			}
			settingsFile := sidecar.NewSettingsFile(*file)
			cfg, err := load()
			if err != nil {
				return err
			}
			if *check {
				_, err = fmt.Fprintf(out.Out, "%s: no findings\n", *file)
				return err
			}
			logWriter := telemetry.NewAsyncWriter(out.Out, logBufferLines)
			defer logWriter.Flush(logFlushTimeout)
			s, err := sidecar.New(cfg, userPlatform(), telemetry.NewLogger(logWriter, cfg.LogLevel, cfg.LogFormat, cfg.Name))
			if err != nil {
				return err
			}
			go s.WatchSettings(ctx, settingsFile, load)
			return s.Run(ctx)
		},
	}
}

const (
	// logBufferLines is the number of log lines buffered for a slow output. It covers a
	// few seconds at the peak log rate and takes at most about 300 KB.
	logBufferLines = 512
	// logFlushTimeout bounds the wait for buffered lines to be written at exit.
	logFlushTimeout = 100 * time.Millisecond
)

// userPlatform returns the adapter of the platform that the users' machines run on.
func userPlatform() sidecar.Platform {
	return sidecar.Platform{
		Dialect:   platform.Dialect,
		ReadyPath: platform.ReadyPath,
		Source:    func(address string) discovery.Source { return platform.NewStore(address) },
	}
}
