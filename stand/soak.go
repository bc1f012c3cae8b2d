package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/stand/soaker"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the real programs as processes, inject faults, and check invariants at callers and runners",
		Description: "The programs entry and agent are taken from --bin. Logs of a seed that broke an\n" +
			"invariant are kept in the directory printed. Exit code 1: an invariant is broken.",
		Flags: []cli.Flag{
			starter.String("bin", "target", "directory with the programs entry and agent"),
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after another"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "number of entries, 1 to 30"},
			&cli.IntFlag{Name: "agents", Value: 6, Usage: "number of agents, 1 to 200"},
			&cli.IntFlag{Name: "clients", Value: 8, Usage: "number of clients, 1 to 200"},
			&cli.IntFlag{Name: "base", Value: 21000, Usage: "lowest port that is used"},
			&cli.BoolFlag{Name: "wide", Value: true, Usage: "submit a job with more tasks for each runner than it lists ends"},
			&cli.BoolFlag{Name: "partitions", Usage: "inject only partitions of agents that hold what is sent, with kills and pauses meanwhile"},
			&cli.BoolFlag{Name: "restarts", Usage: "inject only restarts of runners under their ids, with late calls and agents that are cut off soon after"},
			&cli.BoolFlag{Name: "replacements", Usage: "replace the machines beside runners for good, again and again, with a store of small rows"},
			starter.Span("for", 15*cowslipbend.Second, "how long faults are injected"),
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	broken := 0
	for i := range c.Int("seeds") {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindBroken, err, "make the directory of temporary files writable", "directory for logs cannot be created")
		}
		bin, err := filepath.Abs(c.String("bin"))
		if err != nil {
			return cowslipbend.Invalid("--bin", "cannot be converted to an absolute path", "give a directory")
		}
		r, err := soaker.Run(ctx, soaker.Options{
			Bin: bin, Dir: dir, Entries: c.Int("entries"), Agents: c.Int("agents"), Clients: c.Int("clients"),
			InjectionTime: cowslipbend.SpanOf(c.Duration("for")), Wide: c.Bool("wide"), Partitions: c.Bool("partitions"), Restarts: c.Bool("restarts"), Replacements: c.Bool("replacements"), Seed: c.Int("seed") + i, BasePort: c.Int("base"), Log: hclog.New(&hclog.LoggerOptions{Output: c.Root().ErrWriter, Level: hclog.Info, JSONFormat: true}),
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "seed %d: %d jobs, %d accepted, %d refused, %d starts, %d copies, %d machines, %d faults injected, %d promises broken\n",
			r.Seed, r.Submitted, r.Accepted, r.Refused, r.Starts, r.Copies, r.Machines, r.Injected, len(r.Faults))
		for _, fault := range r.Faults {
			fmt.Fprintf(c.Root().Writer, "  %s (logs: %s)\n", fault, dir)
		}
		if len(r.Faults) > 0 {
			broken++
		} else if err := os.RemoveAll(dir); err != nil {
			return cowslipbend.Failf(cowslipbend.KindBroken, err, "remove it by hand", "directory %s cannot be removed", dir)
		}
	}
	if broken > 0 {
		return cowslipbend.Fail(cowslipbend.KindBroken, fmt.Sprintf("%d of %d seeds broke an invariant", broken, c.Int("seeds")), "read the logs in the directories printed")
	}
	return nil
}
