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

// lookPeriod is the time between two looks at who has a revision.
const lookPeriod = cowslipbend.Second / 5

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", ArgsUsage: "DIR",
		Usage: "put a directory of declarations in force",
		Description: "Checks and publishes the whole set, waits until every process has it, and\n" +
			"names those that have not. Give --base the revision that you compared with,\n" +
			"so that a change published since then is not undone; without it the base is\n" +
			"the revision in force now.",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "base", Value: -1, HideDefault: true, Usage: "revision that the change is based on"},
			starter.Span("wait", 30*cowslipbend.Second, "longest time to wait for the processes"),
		},
		Action: publish,
	}
}

func publish(ctx context.Context, c *cli.Command) error {
	files, set, err := load(c)
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
	if base == config.Revision && base > 0 && len(compare(config.Set, set)) == 0 {
		fmt.Fprintf(out, "revision %d is in force already\n", base)
		return nil
	}
	rev, err := op.Publish(ctx, base, files)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "published revision %d\n", rev)
	w := waiter{op: op, rev: rev, out: out, progress: c.Root().ErrWriter}
	return w.wait(ctx, cowslipbend.SpanOf(c.Duration("wait")))
}

// waiter waits until every process has a revision.
type waiter struct {
	op       *operator.Client
	rev      cowslipbend.Revision
	out      io.Writer
	progress io.Writer
}

func (w *waiter) wait(ctx context.Context, patience cowslipbend.Span) error {
	ctx, cancel := context.WithTimeout(ctx, patience.Duration())
	defer cancel()
	var status administrator.Status
	for {
		if s, err := w.op.Status(ctx); err == nil {
			status = s
			if len(w.behind(status)) == 0 {
				w.show("")
				w.done(status)
				return nil
			}
			w.show(fmt.Sprintf("in force in %d of %d processes", len(status.Processes)-len(w.behind(status)), len(status.Processes)))
		}
		if !timer.Sleep(ctx, timer.Host{}, lookPeriod) {
			break
		}
	}
	w.show("")
	return cowslipbend.Fail(cowslipbend.KindLate,
		fmt.Sprintf("revision %d is published, but not in force in %s", w.rev, strings.Join(w.behind(status), ", ")),
		"look at cowslip status; they take it as soon as they are reached")
}

// done tells in how many processes the revision is in force, and names those
// that are silent and take it once they are heard again.
func (w *waiter) done(s administrator.Status) {
	up := 0
	for _, p := range s.Processes {
		switch p.State {
		case administrator.Up:
			up++
		case administrator.Silent:
			fmt.Fprintf(w.out, "%s %s is silent\n", p.Role, p.ID)
		case administrator.Leaving, administrator.Left:
		}
	}
	fmt.Fprintf(w.out, "in force in all known processes (%d)\n", up)
}

// show writes a line of progress over the one before, on a terminal only.
func (w *waiter) show(text string) {
	if terminal(w.progress) {
		fmt.Fprintf(w.progress, "\r\x1b[K%s", text)
	}
}

// behind returns the processes that are heard and do not have the revision.
// An empty status counts as one that is not known.
func (w *waiter) behind(s administrator.Status) []string {
	if len(s.Processes) == 0 {
		return []string{"any process that is known"}
	}
	var names []string
	for _, p := range s.Processes {
		if p.Revision < w.rev && p.State == administrator.Up {
			names = append(names, p.Role+" "+p.ID)
		}
	}
	return names
}
