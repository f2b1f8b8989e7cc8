package cli

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/console"
	"github.com/walldrift/walldrift/internal/standin"
)

func demoCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("demo")
	listen := fs.StringLong("listen", "127.0.0.1:8080", "TCP address of the web page")
	deployment := fs.StringEnumLong("deployment", "layout of the fleet: kerbline or kestrel", "kerbline", "kestrel")
	rate := fs.Float64Long("rate", 20, "requests per second of the background load")
	return &ff.Command{
		Name:      "demo",
		Usage:     "walldrift demo [--listen ip:port] [--deployment kerbline|kestrel] [--rate N]",
		ShortHelp: "run a small fleet in one process, with a web page to edit the table",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			layout := standin.Kerbline()
			if *deployment == "kestrel" {
				layout = standin.KestrelBrook()
			}
			return console.RunDemo(ctx, console.DemoConfig{Listen: *listen, Layout: layout, Rate: *rate, Out: out.Out, Log: out.Err})
		},
	}
}
