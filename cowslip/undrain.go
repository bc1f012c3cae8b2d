package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev/operator"
)

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", ArgsUsage: "WORKER",
		Usage: "give a drained worker back to placement",
		Flags: []cli.Flag{poolFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return steer(ctx, c, (*operator.Client).Undrain, "worker %s of pool %s takes work again\n")
		},
	}
}
