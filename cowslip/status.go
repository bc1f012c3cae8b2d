package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev/director"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show processes, pools and the revision in force",
		Description: "Shows what the entry that answers knows of the others.",
		Flags:       []cli.Flag{jsonFlag()},
		Action:      status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	op, err := client(c)
	if err != nil {
		return err
	}
	s, err := op.Status(ctx)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		return writeJSON(out, s)
	}
	fmt.Fprintf(out, "revision %d, seen from entry %s\n\n", s.Revision, s.Entry)
	pools := newTable(out, "POOL", "OWNER", "EPOCH")
	for _, p := range s.Pools {
		owner := string(p.Owner)
		if owner == "" {
			owner = "-"
		}
		pools.row(string(p.Name), owner, fmt.Sprint(p.Epoch))
	}
	if err := pools.flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	processes := newTable(out, "ROLE", "ID", "DOMAIN", "REVISION", "STATE")
	for _, p := range s.Processes {
		processes.row(p.Role, p.ID, string(p.Domain), fmt.Sprint(p.Revision), state(p))
	}
	return processes.flush()
}

func state(p director.Process) string {
	if p.Leaving {
		return "leaving"
	}
	return "up"
}
