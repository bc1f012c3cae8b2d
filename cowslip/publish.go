package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/operator"
	"cowslipbend.dev/timer"
)

// statusPollInterval is the time between two polls of the revision that each
// process has in force.
const statusPollInterval = cowslipbend.Second / 5

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", ArgsUsage: "DIR",
		Usage: "publish a directory of declarations",
		Description: "Checks and publishes the whole set, waits until it is in force in every\n" +
			"process, and names those where it is not. Give --base the revision that you\n" +
			"compared with, so that a change published since then is not undone; without\n" +
			"it the base is the revision in force now.",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "base", Value: -1, HideDefault: true, Usage: "revision that the change is based on"},
			starter.Span("wait", 30*cowslipbend.Second, "longest time to wait until the revision is in force in all processes"),
		},
		Action: publish,
	}
}

func publish(ctx context.Context, c *cli.Command) error {
	files, set, err := loadSet(c)
	if err != nil {
		return err
	}
	op, err := client(c)
	if err != nil {
		return err
	}
	config, err := op.Config(ctx)
	if err != nil {
		return err
	}
	base := cowslipbend.Revision(c.Int64("base"))
	if !c.IsSet("base") {
		base = config.Revision
	}
	out := c.Root().Writer
	if base == config.Revision && base > 0 && len(compareSets(config.Set, set)) == 0 {
		fmt.Fprintf(out, "revision %d is in force already\n", base)
		return nil
	}
	rev, err := op.Publish(ctx, base, files)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "published revision %d\n", rev)
	w := revisionWaiter{op: op, rev: rev, out: out, progress: c.Root().ErrWriter}
	return w.wait(ctx, cowslipbend.SpanOf(c.Duration("wait")))
}

// revisionWaiter waits until a revision is in force in all processes that are
// up.
type revisionWaiter struct {
	op       *operator.Client
	rev      cowslipbend.Revision
	out      io.Writer
	progress io.Writer
}

func (w *revisionWaiter) wait(ctx context.Context, timeout cowslipbend.Span) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var status administrator.Status
	for {
		if s, err := w.op.Status(ctx); err == nil {
			status = s
			if len(w.outdatedProcesses(status)) == 0 {
				w.showProgress("")
				w.reportInForce(status)
				return nil
			}
			w.showProgress(fmt.Sprintf("in force in %d of %d processes", len(status.Processes)-len(w.outdatedProcesses(status)), len(status.Processes)))
		}
		if !timer.Sleep(ctx, timer.Host{}, statusPollInterval) {
			break
		}
	}
	w.showProgress("")
	return cowslipbend.Fail(cowslipbend.KindLate,
		fmt.Sprintf("revision %d is published, but not in force in %s", w.rev, strings.Join(w.outdatedProcesses(status), ", ")),
		"see cowslip status; these processes install it once they can be reached")
}

// reportInForce prints the number of processes in which the revision is in
// force, and the silent processes. Those install it once they are in contact
// again.
func (w *revisionWaiter) reportInForce(s administrator.Status) {
	upCount := 0
	for _, p := range s.Processes {
		switch p.State {
		case administrator.Up:
			upCount++
		case administrator.Silent:
			fmt.Fprintf(w.out, "%s %s is silent\n", p.Role, p.ID)
		case administrator.Leaving, administrator.Left:
		}
	}
	fmt.Fprintf(w.out, "in force in all known processes (%d)\n", upCount)
}

// showProgress replaces the current line of progress if the output is a
// terminal.
func (w *revisionWaiter) showProgress(text string) {
	if isTerminal(w.progress) {
		fmt.Fprintf(w.progress, "\r\x1b[K%s", text)
	}
}

// outdatedProcesses returns the names of processes that are up and do not have
// the revision in force. For an empty status the result is not empty, because
// nothing is known of the processes then.
func (w *revisionWaiter) outdatedProcesses(s administrator.Status) []string {
	if len(s.Processes) == 0 {
		return []string{"any known process"}
	}
	var names []string
	for _, p := range s.Processes {
		if p.Revision < w.rev && p.State == administrator.Up {
			names = append(names, p.Role+" "+p.ID)
		}
	}
	return names
}
