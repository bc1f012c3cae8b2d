package main

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/reporter/renderer"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:        "burn",
		Usage:       "show how fast services spend their error budgets",
		Description: "Burn 1 spends a budget exactly as fast as it renews. Below the table stand\nthe alerts that the burn would raise.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "write the report as one HTML page to this `FILE`", TakesFile: true}, jsonFlag(),
		},
		Action: burn,
	}
}

// pageMode is the mode of a written page.
const pageMode = 0o644

func burn(ctx context.Context, c *cli.Command) error {
	op, err := client(c)
	if err != nil {
		return err
	}
	report, err := op.Burn(ctx)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	name := c.String("html")
	switch {
	case name != "":
		var page bytes.Buffer
		if err := renderer.HTML(&page, report); err != nil {
			return err
		}
		if err := os.WriteFile(name, page.Bytes(), pageMode); err != nil {
			return cowslipbend.Failf(cowslipbend.KindInvalid, errors.Annotatef(err, "write %s", name), "give a file that can be written", "cannot write the page")
		}
		_, err = fmt.Fprintf(out, "wrote %s\n", name)
		return err
	case c.Bool("json"):
		return writeJSON(out, report)
	}
	return renderer.Text(out, report)
}
