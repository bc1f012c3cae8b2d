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
		Usage: "run the real programs as processes, inject faults, and check what callers and runners see",
		Description: "The programs entry and agent are taken from --bin. Logs of a seed that broke\n" +
			"a promise stay in the directory that is told. Exit code 1: a promise is broken.",
		Flags: []cli.Flag{
			starter.String("bin", "target", "directory with the programs entry and agent"),
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after another"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "entries, 1 to 30"},
			&cli.IntFlag{Name: "agents", Value: 6, Usage: "agents, 1 to 200"},
			&cli.IntFlag{Name: "clients", Value: 8, Usage: "clients, 1 to 200"},
			&cli.IntFlag{Name: "base", Value: 21000, Usage: "first port"},
			starter.Span("for", 15*cowslipbend.Second, "how long faults come"),
		},
		Action: soak,
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	broken := 0
	for i := range c.Int("seeds") {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindBroken, err, "make the directory of temporary files writable", "no directory for logs")
		}
		bin, err := filepath.Abs(c.String("bin"))
		if err != nil {
			return cowslipbend.Invalid("--bin", "is no path", "give a directory")
		}
		r, err := soaker.Run(ctx, soaker.Options{
			Bin: bin, Dir: dir, Entries: c.Int("entries"), Agents: c.Int("agents"), Clients: c.Int("clients"),
			For: cowslipbend.SpanOf(c.Duration("for")), Seed: c.Int("seed") + i, Base: c.Int("base"), Log: hclog.NewNullLogger(),
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "seed %d: %d jobs, %d accepted, %d refused, %d starts, %d faults injected, %d promises broken\n",
			r.Seed, r.Submitted, r.Accepted, r.Refused, r.Starts, r.Injected, len(r.Faults))
		for _, fault := range r.Faults {
			fmt.Fprintf(c.Root().Writer, "  %s (logs: %s)\n", fault, dir)
		}
		if len(r.Faults) > 0 {
			broken++
		} else if err := os.RemoveAll(dir); err != nil {
			return cowslipbend.Failf(cowslipbend.KindBroken, err, "remove it by hand", "%s stays", dir)
		}
	}
	if broken > 0 {
		return cowslipbend.Fail(cowslipbend.KindBroken, fmt.Sprintf("%d of %d seeds broke a promise", broken, c.Int("seeds")), "look at the logs of their directories")
	}
	return nil
}
