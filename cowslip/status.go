package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/journaler"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show processes, pools, workers and the revision in force",
		Description: "Shows the processes as seen from the entry that answers, and the workers as\nseen from the owners of their pools.",
		Flags:       []cli.Flag{jsonFlag()},
		Action:      status,
	}
}

// statusReport is the output of the command status.
type statusReport struct {
	administrator.Status
	Workers []administrator.Worker `json:"workers"`
	// Missing holds a text for each pool whose workers could not be listed: the
	// pool and the error.
	Missing []string `json:"missing,omitempty"`
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
	o := statusReport{Status: s, Workers: []administrator.Worker{}}
	for _, p := range s.Pools {
		list, err := op.Workers(ctx, p.Name)
		if err != nil {
			o.Missing = append(o.Missing, fmt.Sprintf("pool %s: %v", p.Name, err))
			continue
		}
		o.Workers = append(o.Workers, list...)
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, o)
	}
	return o.write(c.Root().Writer)
}

func (o statusReport) write(w io.Writer) error {
	fmt.Fprintf(w, "revision %d, seen from entry %s\n\n", o.Revision, o.Entry)
	processes := newTable(w, "ROLE", "ID", "DOMAIN", "REVISION", "STATE")
	for _, p := range o.Processes {
		processes.row(p.Role, p.ID, string(p.Domain), fmt.Sprint(p.Revision), string(p.State))
	}
	pools := newTable(w, "POOL", "OWNER", "EPOCH")
	for _, p := range o.Pools {
		pools.row(string(p.Name), orDash(string(p.Owner)), fmt.Sprint(p.Epoch))
	}
	workers := newTable(w, "WORKER", "POOL", "RACK", "STATE", "TASKS", "CORES", "MEMORY")
	for _, k := range o.Workers {
		workers.row(string(k.ID), string(k.Pool), string(k.Rack), workerState(k), fmt.Sprint(k.Tasks),
			fmt.Sprintf("%s/%s", formatCores(k.Reserved.CPU), formatCores(k.Size.CPU)),
			fmt.Sprintf("%s/%s", formatGigabytes(k.Reserved.Mem), formatGigabytes(k.Size.Mem)))
	}
	for i, t := range []*table{processes, pools, workers} {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := t.flush(); err != nil {
			return err
		}
	}
	for _, m := range o.Missing {
		fmt.Fprintf(w, "cannot list the workers of %s\n", m)
	}
	return nil
}

// workerState returns "drained" for a worker that an operator has drained,
// unless it is silent, and otherwise its condition in the pool's journal.
func workerState(w administrator.Worker) string {
	if w.Drained && w.Condition != journaler.Silent {
		return "drained"
	}
	return string(w.Condition)
}

func formatCores(n cowslipbend.Millicores) string {
	return fmt.Sprint(float64(n) / float64(cowslipbend.Core))
}

// formatGigabytes formats an amount of memory in gigabytes, rounded to a tenth
// because learned sizes are not whole numbers.
func formatGigabytes(n cowslipbend.Bytes) string {
	text := strconv.FormatFloat(float64(n)/float64(cowslipbend.GB), 'f', 1, 64)
	return strings.TrimSuffix(text, ".0") + "G"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
