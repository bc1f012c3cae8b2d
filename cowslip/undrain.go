package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev/operator"
)

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", ArgsUsage: "WORKER",
		Usage: "place tasks on a drained worker again",
		Flags: []cli.Flag{poolFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return callForWorker(ctx, c, (*operator.Client).Undrain, "worker %s of pool %s takes work again\n")
		},
	}
}
