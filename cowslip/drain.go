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
		Usage:       "stop placing tasks on a worker and move its tasks to others",
		Description: "Batch tasks are evicted with a checkpoint and resume elsewhere; replicas are\nreplaced before they stop. The command undrain reverts it.",
		Flags:       []cli.Flag{poolFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return callForWorker(ctx, c, (*operator.Client).Drain, "worker %s of pool %s is draining\n")
		},
	}
}

// callForWorker calls the method for the worker in the argument and prints the
// message, a format of worker and pool.
func callForWorker(ctx context.Context, c *cli.Command, call func(*operator.Client, context.Context, cowslipbend.PoolID, cowslipbend.WorkerID) error, message string) error {
	worker, err := onlyArgument(c)
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
	_, err = fmt.Fprintf(c.Root().Writer, message, worker, p)
	return err
}
