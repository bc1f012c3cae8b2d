package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/planner"
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name: "where", ArgsUsage: "FILE|TASK",
		Usage: "show where a flow or a task would be placed now, and why",
		Description: "FILE holds a flow in JSON, or - for standard input; its first task is explained and\n" +
			"nothing is submitted. TASK is a task of a known flow, as job/round/step/index.\n" +
			"--entry is the URL at which entries call each other; one that does not own the\n" +
			"flows names the owner, which is asked then.",
		Flags:  []cli.Flag{jsonFlag()},
		Action: where,
	}
}

func where(ctx context.Context, c *cli.Command) error {
	name, err := onlyArgument(c)
	if err != nil {
		return err
	}
	question, err := readQuestion(c, name)
	if err != nil {
		return err
	}
	answer, err := askOwner(ctx, c.StringSlice("entry"), question)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, answer)
	}
	return writeAnswer(c.Root().Writer, answer)
}

// readQuestion returns the question about a task, if the argument names one, or
// about the flow in a file.
func readQuestion(c *cli.Command, name string) (*planner.Question, error) {
	var ref cowslipbend.TaskRef
	if strings.Count(name, "/") == 3 && ref.UnmarshalText([]byte(name)) == nil {
		return &planner.Question{Task: &ref}, nil
	}
	data, err := readLimited(c, name)
	if err != nil {
		return nil, cowslipbend.Invalid(name, "cannot be read", "give a file with a flow in JSON, or a task as job/round/step/index")
	}
	var f cowslipbend.Flow
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, cowslipbend.Invalid(name, "is no flow: "+err.Error(), "see docs/operate/where.md for examples")
	}
	return &planner.Question{Flow: &f}, f.Check()
}

// maxOwnerHops bounds the owners that are asked one after the other while the
// flows change hands.
const maxOwnerHops = 3

// askOwner asks the first entry that can be reached, and then the owner that it
// names.
func askOwner(ctx context.Context, entries []string, q *planner.Question) (*planner.Answer, error) {
	calls := caller.New(nil)
	defer calls.Close()
	var lastErr error
	for _, url := range entries {
		for range maxOwnerHops {
			var a planner.Answer
			lastErr = calls.Call(ctx, url+conductor.PathPlacement, q, &a, callTimeout)
			if lastErr == nil && a.Owner == "" && a.Hosts == nil && a.Task.Job == "" {
				lastErr = cowslipbend.Fail(cowslipbend.KindDown, "no entry owns the flows", "ask again")
			}
			if lastErr != nil {
				break
			}
			if a.Owner == "" {
				return &a, nil
			}
			url = a.Owner
			lastErr = cowslipbend.Fail(cowslipbend.KindDown, "the owner of the flows is changing", "ask again")
		}
		if k := cowslipbend.KindOf(lastErr); k != cowslipbend.KindDown && k != cowslipbend.KindUnknown {
			return nil, lastErr
		}
	}
	return nil, lastErr
}

func writeAnswer(w io.Writer, a *planner.Answer) error {
	t := newTable(w, "HOST", "RACK", "REASON", "RATE", "FREE", "IDLE", "MEMORY", "RUNS", "HELD", "UNTIL", "AGE")
	for i := range a.Hosts {
		h := &a.Hosts[i]
		reason, until := string(h.Reason), ""
		if reason == "" {
			reason = "-"
		}
		if h.HeldFor != "" {
			until = h.HeldUntil.String()
		}
		t.row(string(h.Host), string(h.Rack), reason, strconv.FormatFloat(math.Round(h.Rate*100)/100, 'f', -1, 64), cores(h.Free.CPU), cores(h.Idle),
			strconv.FormatFloat(float64(h.Free.Mem)/float64(cowslipbend.GB), 'f', 1, 64), strconv.Itoa(h.Runs), string(h.HeldFor), until, h.Age.String())
	}
	if err := t.flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "task %s %s; expected length %s; last decision %s ago\n", a.Task, outcomeOf(a), a.Length, a.Decided)
	return err
}

func cores(m cowslipbend.Millicores) string {
	return strconv.FormatFloat(float64(m)/float64(cowslipbend.Core), 'f', -1, 64)
}

// outcomeOf tells where the task is or would go.
func outcomeOf(a *planner.Answer) string {
	switch {
	case a.Done:
		return "is done"
	case a.Placed:
		return "is on " + string(a.Host)
	case !a.Ready:
		return "waits for earlier steps"
	case a.Host == "":
		return "would wait" + position(a)
	}
	return "would go to " + string(a.Host) + position(a)
}

// position tells how many flows are placed before a known one.
func position(a *planner.Answer) string {
	if a.Position < 2 {
		return ""
	}
	return fmt.Sprintf(" after %d flows that go first", a.Position-1)
}
