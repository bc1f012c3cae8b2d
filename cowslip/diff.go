package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", ArgsUsage: "DIR",
		Usage:       "compare a directory of declarations with the set in force",
		Description: "Shows each object that publishing would add (+), remove (-) or change (~),\nand each changed field. Publish with the revision that it prints as --base.",
		Flags:       []cli.Flag{jsonFlag()},
		Action:      diff,
	}
}

// setDiff is the output of the command diff.
type setDiff struct {
	Base    cowslipbend.Revision `json:"base"`
	Changes []objectChange       `json:"changes"`
}

func diff(ctx context.Context, c *cli.Command) error {
	_, set, err := loadSet(c)
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
	d := setDiff{Base: config.Revision, Changes: compareSets(config.Set, set)}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, d)
	}
	return d.write(c.Root().Writer)
}

func (d setDiff) write(w io.Writer) error {
	fmt.Fprintf(w, "against revision %d\n", d.Base)
	if len(d.Changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
	for _, c := range d.Changes {
		fmt.Fprintln(w, colourise(w, colourOf(c.Change), fmt.Sprintf("%s %s %s", c.Change, c.Kind, c.Name)))
		for _, f := range c.Fields {
			fmt.Fprintf(w, "    %s\n", f)
		}
	}
	return nil
}

func colourOf(changeMark string) colour {
	switch changeMark {
	case added:
		return green
	case removed:
		return red
	}
	return yellow
}
