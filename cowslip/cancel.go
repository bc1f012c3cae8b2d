package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
)

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", ArgsUsage: "ID...",
		Usage:       "cancel jobs",
		Description: "Cancels all the jobs in one call, or none if one of them is unknown. The call\nmay be repeated; jobs that have ended do not change.",
		Flags:       []cli.Flag{poolFlag()},
		Action:      cancel,
	}
}

func cancel(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return cowslipbend.Invalid(c.FullName(), "needs the id of a job", "take it from cowslip jobs")
	}
	op, p, err := poolClient(ctx, c)
	if err != nil {
		return err
	}
	var ids []cowslipbend.JobID
	for _, id := range c.Args().Slice() {
		ids = append(ids, cowslipbend.JobID(id))
	}
	if err := op.CancelAll(ctx, p, ids); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "cancelled %d in pool %s\n", len(ids), p)
	return err
}
