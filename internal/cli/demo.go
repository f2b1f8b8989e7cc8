package cli

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"github.com/walldrift/walldrift/internal/console"
	"github.com/walldrift/walldrift/internal/standin"
)

func demoCommand(out IO) *ff.Command {
	fs := ff.NewFlagSet("demo")
	page := fs.StringLong("listen", "127.0.0.1:8080", "TCP address of the web page")
	deployment := fs.StringEnumLong("deployment", "sizes to run: kerbline or kestrel", "kerbline", "kestrel")
	rate := fs.Float64Long("rate", 20, "requests a second of the trickle of load")
	return &ff.Command{
		Name:      "demo",
		Usage:     "walldrift demo [--listen ip:port] [--deployment kerbline|kestrel] [--rate N]",
		ShortHelp: "run a whole small fleet in one process, with a page to edit the table",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			layout := standin.Kerbline()
			if *deployment == "kestrel" {
				layout = standin.KestrelBrook()
			}
			return console.RunDemo(ctx, console.DemoConfig{Listen: *page, Layout: layout, Rate: *rate, Out: out.Out, Log: out.Err})
		},
	}
}
