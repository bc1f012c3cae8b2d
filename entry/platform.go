package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev/entry/joiner"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/timer"
)

// platformCommand returns the subcommand that runs an entry on the users'
// platform.
func platformCommand() *cli.Command {
	return platform.Command("entry", func(ctx context.Context, s platform.Settings, log hclog.Logger) error {
		p, err := joiner.New(s, timer.Host{}, log)
		if err != nil {
			return err
		}
		return p.Run(ctx)
	}, starter.Int(platform.ReservationsFlag, 0, "number of steps with large tasks that wait for which an owner reserves hosts ahead; 0 reserves none"))
}
