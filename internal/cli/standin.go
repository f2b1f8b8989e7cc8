package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/standin"
)

func keysCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("keys")
	dir := fs.String('d', "dir", "", "directory for the PEM files")
	return &ff.Command{
		Name:      "keys",
		Usage:     "walldrift keys --dir DIR NAME ...",
		ShortHelp: "create a development certificate authority and a certificate for each instance",
		Flags:     fs,
		Exec: func(_ context.Context, args []string) error {
			if *dir == "" || len(args) == 0 {
				return usagef("keys needs --dir DIR and at least one NAME")
			}
			authority, err := peer.NewAuthority()
			if err != nil {
				return err
			}
			if err := authority.WriteFiles(*dir, args); err != nil {
				return err
			}
			_, err = fmt.Fprintf(out.Out, "wrote a certificate authority and %d certificates to %s\n", len(args), *dir)
			return err
		},
	}
}

func standinCommand(out IO) *ff.Command {
	return &ff.Command{
		Name:        "standin",
		Usage:       "walldrift standin platform|upstream ...",
		ShortHelp:   "run a simulated platform or upstream for experiments",
		Flags:       ff.NewFlagSet("standin"),
		Subcommands: []*ff.Command{standinPlatform(out), standinUpstream(out)},
	}
}

func standinPlatform(out IO) *ff.Command {
	fs := ff.NewFlagSet("platform")
	addr := fs.StringLong("listen", "127.0.0.1:8500", "TCP address")
	tableFile := fs.StringLong("table", "", "table file published at startup")
	listFile := fs.StringLong("instances", "", "instance list file published at startup")
	return &ff.Command{
		Name:      "platform",
		Usage:     "walldrift standin platform [--listen ip:port] [--table FILE] [--instances FILE]",
		ShortHelp: "serve an in-memory configuration service",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			p := standin.NewPlatform()
			for key, file := range map[string]string{platform.KeyTable: *tableFile, platform.KeyInstances: *listFile} {
				if file == "" {
					continue
				}
				raw, err := os.ReadFile(file)
				if err != nil {
					return errors.Wrap(err, key)
				}
				p.Put(key, raw)
			}
			return standin.Serve(ctx, *addr, p.Handler(), printAddress(out))
		},
	}
}

func standinUpstream(out IO) *ff.Command {
	fs := ff.NewFlagSet("upstream")
	addr := fs.StringLong("listen", "127.0.0.1:8600", "TCP address")
	name := fs.StringLong("name", "upstream-1", "instance name")
	slots := fs.IntLong("slots", 12, "requests processed concurrently")
	work := fs.DurationLong("work", 10*time.Millisecond, "service time of one request")
	lie := fs.BoolLong("lie", "always report a load of zero")
	return &ff.Command{
		Name:      "upstream",
		Usage:     "walldrift standin upstream [--listen ip:port] [--name NAME] [--slots N] [--work D]",
		ShortHelp: "serve requests like an upstream instance",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *slots <= 0 {
				return usagef("--slots must be positive")
			}
			u := standin.NewUpstream(standin.UpstreamConfig{Name: *name, Slots: *slots, ServiceTime: *work, ReportIdle: *lie})
			return standin.Serve(ctx, *addr, u, printAddress(out))
		},
	}
}

// printAddress returns a function that prints the bound address on its own line.
func printAddress(out IO) func(string) {
	return func(addr string) { _, _ = fmt.Fprintf(out.Out, "listening on %s\n", addr) }
}
