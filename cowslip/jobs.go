package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/internal/starter"
)

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:        "jobs",
		Usage:       "list jobs and replicas with their tasks by phase",
		Description: "A parked task is one that failed on several workers or fits on none; the\nreason is listed below the table.",
		Flags: []cli.Flag{
			starter.String("pool", "", "pool; all pools if omitted"), jsonFlag(),
		},
		Action: jobs,
	}
}

func jobs(ctx context.Context, c *cli.Command) error {
	op, err := client(c)
	if err != nil {
		return err
	}
	names := []cowslipbend.PoolID{cowslipbend.PoolID(c.String("pool"))}
	if names[0] == "" {
		if names, err = declaredPools(ctx, op); err != nil {
			return err
		}
	}
	list := []administrator.Job{}
	for _, name := range names {
		poolJobs, err := op.Jobs(ctx, name)
		if err != nil {
			return err
		}
		list = append(list, poolJobs...)
	}
	out := c.Root().Writer
	if c.Bool("json") {
		return writeJSON(out, list)
	}
	t := newTable(out, "POOL", "JOB", "TEAM", "URGENCY", "TASKS", "QUEUED", "RUNNING", "FINISHED", "CANCELLED", "PARKED", "EVICTIONS")
	for _, j := range list {
		t.row(jobRow(j)...)
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, j := range list {
		for _, reason := range j.Reasons {
			fmt.Fprintf(out, "parked %s\n", reason)
		}
	}
	return nil
}

func jobRow(j administrator.Job) []string {
	urgency := string(j.Urgency)
	switch {
	case !j.Batch():
		urgency = "service"
	case urgency == "":
		urgency = string(cowslipbend.Normal)
	}
	row := []string{string(j.Pool), string(j.ID), string(j.Team), urgency, fmt.Sprint(j.Tasks)}
	for _, n := range []int{
		j.Phases[cowslipbend.Queued], j.Phases[cowslipbend.Assigned] + j.Phases[cowslipbend.Running],
		j.Phases[cowslipbend.Finished], j.Phases[cowslipbend.Cancelled], j.Phases[cowslipbend.Parked], j.Evictions,
	} {
		row = append(row, fmt.Sprint(n))
	}
	return row
}
