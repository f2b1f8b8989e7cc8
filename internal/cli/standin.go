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
		ShortHelp: "make a development authority and a certificate for each instance",
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
			_, err = fmt.Fprintf(out.Out, "wrote an authority and %d certificates to %s\n", len(args), *dir)
			return err
		},
	}
}

func standinCommand(out IO) *ff.Command {
	return &ff.Command{
		Name:        "standin",
		Usage:       "walldrift standin platform|upstream ...",
		ShortHelp:   "run a stand-in of the platform or of an upstream, for trials",
		Flags:       ff.NewFlagSet("standin"),
		Subcommands: []*ff.Command{standinPlatform(out), standinUpstream(out)},
	}
}

func standinPlatform(out IO) *ff.Command {
	fs := ff.NewFlagSet("platform")
	addr := fs.StringLong("listen", "127.0.0.1:8500", "TCP address")
	tableFile := fs.StringLong("table", "", "table published at start")
	listFile := fs.StringLong("instances", "", "instance list published at start")
	return &ff.Command{
		Name:      "platform",
		Usage:     "walldrift standin platform [--listen ip:port] [--table FILE] [--instances FILE]",
		ShortHelp: "serve a configuration service from memory",
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
			return standin.Serve(ctx, *addr, p.Handler(), announce(out))
		},
	}
}

func standinUpstream(out IO) *ff.Command {
	fs := ff.NewFlagSet("upstream")
	addr := fs.StringLong("listen", "127.0.0.1:8600", "TCP address")
	name := fs.StringLong("name", "upstream-1", "instance name")
	slots := fs.IntLong("slots", 12, "requests worked on at once")
	work := fs.DurationLong("work", 10*time.Millisecond, "time that one request takes")
	lie := fs.BoolLong("lie", "report no load whatever it is")
	return &ff.Command{
		Name:      "upstream",
		Usage:     "walldrift standin upstream [--listen ip:port] [--name NAME] [--slots N] [--work D]",
		ShortHelp: "serve requests as an upstream instance would",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *slots <= 0 {
				return usagef("--slots must be positive")
			}
			u := standin.NewUpstream(standin.UpstreamConfig{Name: *name, Slots: *slots, Work: *work, Lie: *lie})
			return standin.Serve(ctx, *addr, u, announce(out))
		},
	}
}

// announce prints the bound address on a line of its own.
func announce(out IO) func(string) {
	return func(addr string) { _, _ = fmt.Fprintf(out.Out, "listening on %s\n", addr) }
}
