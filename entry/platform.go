package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev/entry/joiner"
	"cowslipbend.dev/internal/outlet"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/timer"
)

// platformCommand runs the program on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, with the settings that it provides",
		Flags: []cli.Flag{
			starter.String("log", "info", "level of the log, which goes to standard output"),
			starter.Int("metrics", 0, "port of this machine on which metrics are served; 0 serves none"),
		},
		Before: starter.Defer,
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	out := outlet.New(os.Stdout)
	log, err := starter.Logger("entry", c.String("log"), out)
	if err := starter.Faults(c, err); err != nil {
		return err
	}
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	s.MetricsPort = c.Int("metrics")
	starter.Bound(int64(s.MemoryB))
	p, err := joiner.New(s, timer.Host{}, log)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(out.Run)
	reload, stop := context.WithCancel(ctx)
	g.Go(func() error { return starter.Reload(reload, func() { platform.Reread(log) }) })
	err = p.Run(ctx)
	stop()
	out.Close()
	_ = g.Wait() // The outlet returns no error.
	return err
}
