package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev/entry/joiner"
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
	s, err := platform.ReadSettings()
	if err := starter.Faults(c, err); err != nil {
		return err
	}
	s.MetricsPort = c.Int("metrics")
	starter.Bound(int64(s.Memory))
	return starter.Logged(ctx, "entry", c.String("log"), os.Stdout, platform.Reread, func(ctx context.Context, log hclog.Logger) error {
		p, err := joiner.New(s, timer.Host{}, log)
		if err != nil {
			return err
		}
		return p.Run(ctx)
	})
}
