package main

import (
	"context"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/stand/try"
)

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run the whole system on loopback and print one result line",
		Flags: []cli.Flag{
			starter.String("firm", "fraser", "fraser or easement"),
			starter.String("case", "quiet", "case to run; list prints all cases"),
			starter.String("policy", "guarded", "placement policy: guarded, firstfit or leastloaded"),
			starter.String("routing", "", "routing policy of the entries; empty for the default"),
			starter.String("guard", "", "guard of the agents: throttle, evict or off; empty for the default"),
			starter.Span("cap", 0, "cap of leases that witnesses extend; 0 for the default"),
			&cli.BoolFlag{Name: "cancel", Usage: "cancel jobs that are open after the load instead of waiting for them", Sources: starter.Env("cancel")},
			starter.String("only", "", "run only one kind of load: services or batch; empty for both"),
			starter.Span("for", 0, "how long load is generated; 0 for the length of the case"),
			seedFlag(),
			starter.String("log", "error", "level of the log"),
		},
		Action: runTry,
	}
}

func runTry(ctx context.Context, c *cli.Command) error {
	if c.String("case") == "list" {
		return try.List(os.Stdout)
	}
	log, err := starter.Logger("try", c.String("log"), os.Stderr)
	if err != nil {
		return err
	}
	o := try.Options{
		Firm: c.String("firm"), Case: c.String("case"), Policy: c.String("policy"), Routing: c.String("routing"),
		LeaseCap: cowslipbend.SpanOf(c.Duration("cap")), Only: c.String("only"), Guard: c.String("guard"), CancelOpen: c.Bool("cancel"),
		LoadTime: cowslipbend.SpanOf(c.Duration("for")), Seed: c.Uint64("seed"), Log: log,
	}
	if isatty.IsTerminal(os.Stderr.Fd()) {
		o.Progress = os.Stderr
	}
	r, err := try.Run(ctx, o)
	if err != nil {
		return err
	}
	return writeResult(r)
}
