package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev/agent/joiner"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/timer"
)

// platformCommand returns the command that runs the agent on the users' platform.
func platformCommand() *cli.Command {
	return platform.Command("agent", func(ctx context.Context, s platform.Settings, log hclog.Logger) error {
		p, err := joiner.New(s, timer.Host{}, log)
		if err != nil {
			return err
		}
		return p.Run(ctx)
	})
}
