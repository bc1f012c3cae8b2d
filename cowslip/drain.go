package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/operator"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", ArgsUsage: "WORKER",
		Usage:       "take a worker out of placement and move its work away",
		Description: "Batch tasks are evicted with a checkpoint and resume elsewhere; replicas are\nreplaced before they stop. Undo it with undrain.",
		Flags:       []cli.Flag{poolFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return steer(ctx, c, (*operator.Client).Drain, "worker %s of pool %s is draining\n")
		},
	}
}

// steer calls the method for the worker that the command names.
func steer(ctx context.Context, c *cli.Command, call func(*operator.Client, context.Context, cowslipbend.PoolID, cowslipbend.WorkerID) error, done string) error {
	worker, err := one(c)
	if err != nil {
		return err
	}
	op, p, err := poolClient(ctx, c)
	if err != nil {
		return err
	}
	if err := call(op, ctx, p, cowslipbend.WorkerID(worker)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, done, worker, p)
	return err
}
