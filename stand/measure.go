package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/stand/measurer"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run cases with several policies, interleaved, and write tables and plots",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "firm", Value: []string{"fraser", "easement"}, Usage: "firm, repeatable", Sources: starter.Env("firm")},
			&cli.StringSliceFlag{Name: "case", Value: []string{"deadline"}, Usage: "case, repeatable", Sources: starter.Env("case")},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"guarded", "firstfit", "leastloaded"}, Usage: "placement policy, repeatable", Sources: starter.Env("policy")},
			starter.String("guard", "", "guard of the agents: throttle, evict or off; empty for the default"),
			starter.String("only", "", "run only one kind of load: services or batch; empty for both"),
			starter.Span("cap", 0, "cap of leases that witnesses extend; 0 for the default"),
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds, from --seed on; 0 only writes the page", Sources: starter.Env("seeds")},
			seedFlag(),
			&cli.BoolFlag{Name: "cancel", Usage: "cancel jobs that are open after the load instead of waiting for them", Sources: starter.Env("cancel")},
			starter.Span("for", 0, "how long load is generated; 0 for the length of each case"),
			starter.String("out", "docs", "directory of results.jsonl, RESULTS.md and plots"),
			starter.String("log", "error", "level of the log"),
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, c *cli.Command) error {
	log, err := starter.Logger("measure", c.String("log"), os.Stderr)
	if err != nil {
		return err
	}
	if c.Int("seeds") < 0 {
		return cowslipbend.Invalid("--seeds", "is below zero", "give a count such as 3")
	}
	return measurer.Run(ctx, measurer.Plan{
		Firms: c.StringSlice("firm"), Cases: c.StringSlice("case"), Policies: c.StringSlice("policy"), Guard: c.String("guard"),
		Only: c.String("only"), LeaseCap: cowslipbend.SpanOf(c.Duration("cap")), Seeds: c.Int("seeds"), FirstSeed: c.Uint64("seed"), CancelOpen: c.Bool("cancel"),
		LoadTime: cowslipbend.SpanOf(c.Duration("for")), Out: c.String("out"), Log: log,
	})
}
