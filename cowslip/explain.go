package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/explainer"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", ArgsUsage: "ID [FILE...]",
		Usage: "show the timeline of a flow from the logs of entries and agents",
		Description: "Reads the JSON lines of all processes from files, or from standard input if\n" +
			"none or - is given. Text before a JSON object is skipped; its last word\n" +
			"names the process. Times are milliseconds since the first line.\n" +
			"A table of the steps follows: WAIT is the time from when the step was ready until\n" +
			"its first start, SPREAD until the first start of its last task, FINISH until its\n" +
			"end (+ if not all ends are in the logs); REASONS are what the owner waited for.",
		Flags:  []cli.Flag{jsonFlag()},
		Action: explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cowslipbend.Invalid(c.FullName(), "needs the id of a flow", "see "+c.FullName()+" --help")
	}
	timeline, err := readLogs(c, c.Args().First(), c.Args().Tail())
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		return writeJSON(out, timeline)
	}
	t := newTable(out, "MS", "PROCESS", "MODULE", "WHAT", "FIELDS")
	first := timeline.Events[0].At
	for i := range timeline.Events {
		ev := &timeline.Events[i]
		t.row(fmt.Sprint(ev.At.Sub(first).Milliseconds()), ev.Source, ev.Module, ev.Message, ev.FormatFields())
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(out, summary(timeline))
	if err := writeSteps(out, timeline.Steps); err != nil {
		return err
	}
	if timeline.DroppedLines > 0 {
		fmt.Fprintf(out, "the processes dropped %d log lines, so that some may be missing here\n", timeline.DroppedLines)
	}
	return nil
}

// writeSteps writes where the time of each step went.
func writeSteps(out io.Writer, steps []explainer.Step) error {
	if len(steps) == 0 {
		return nil
	}
	t := newTable(out, "ROUND/STEP", "WAIT", "SPREAD", "FINISH", "REPEATS", "REASONS")
	for i := range steps {
		s := &steps[i]
		finish := s.Finish.String()
		if s.Open {
			finish += "+"
		}
		t.row(fmt.Sprintf("%d/%d", s.Round, s.Step), s.Wait.String(), s.Spread.String(), finish, fmt.Sprint(s.Repeats), cmp.Or(strings.Join(s.Reasons, ","), "-"))
	}
	return t.flush()
}

// readLogs reads the files, or standard input if there are none.
func readLogs(c *cli.Command, id string, files []string) (*explainer.Timeline, error) {
	e := explainer.New(cowslipbend.JobID(id))
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if err := readLog(c, e, name); err != nil {
			return nil, err
		}
	}
	return e.Timeline()
}

func readLog(c *cli.Command, e *explainer.Explainer, name string) error {
	if name == "-" {
		return e.Read(c.Root().Reader, "stdin")
	}
	f, err := os.Open(name)
	if err != nil {
		return cowslipbend.Invalid(name, "cannot be opened", "give files with logs of entries and agents")
	}
	defer func() { _ = f.Close() }() // The file was opened for reading only.
	return e.Read(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}

// summary returns the counts of events as text, sorted by label.
func summary(timeline *explainer.Timeline) string {
	labels := make([]string, 0, len(timeline.Counts))
	for label := range timeline.Counts {
		labels = append(labels, label)
	}
	sort.Strings(labels)
	for i, label := range labels {
		labels[i] = fmt.Sprintf("%s: %d", label, timeline.Counts[label])
	}
	return strings.Join(labels, ", ")
}
