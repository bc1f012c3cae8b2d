package main

import (
	"context"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/stand/comparer"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "play days with two builds at equal seeds on the users' bench, and tell whether they differ",
		Flags: []cli.Flag{
			starter.String("bench", "", "absolute path of the bench"),
			starter.String("old", "", "NAME=DIR of the build to compare with, a source tree by its absolute path"),
			starter.String("new", "", "NAME=DIR of the other build"),
			&cli.StringSliceFlag{Name: "site", Usage: "absolute path of a site file, repeatable", Sources: starter.Env("site")},
			&cli.StringSliceFlag{Name: "day", Value: []string{"trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"}, Usage: "day, repeatable", Sources: starter.Env("day")},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from --seed on", Sources: starter.Env("seeds")},
			seedFlag(),
			&cli.IntFlag{Name: "jobs", Value: 3, Usage: "plays at the same time", Sources: starter.Env("jobs")},
			starter.String("out", "compare.jsonl", "file of the results; those that it has are not played again"),
			starter.String("plot", "", "file of a plot, .svg or .png; empty for none"),
		},
		Action: runCompare,
	}
}

func runCompare(ctx context.Context, c *cli.Command) error {
	plan := comparer.Plan{
		Bench: c.String("bench"), Old: buildOf(c.String("old")), New: buildOf(c.String("new")), Sites: c.StringSlice("site"), Days: c.StringSlice("day"),
		FirstSeed: c.Uint64("seed"), Seeds: c.Int("seeds"), Concurrent: c.Int("jobs"), Out: c.String("out"), Progress: os.Stderr,
	}
	pairs, err := comparer.Run(ctx, plan)
	comparer.WriteSummary(os.Stdout, pairs)
	if err == nil && c.String("plot") != "" {
		err = comparer.WritePlot(c.String("plot"), pairs)
	}
	return err
}

// buildOf splits NAME=DIR.
func buildOf(text string) comparer.Build {
	name, dir, _ := strings.Cut(text, "=")
	return comparer.Build{Name: name, Dir: dir}
}
