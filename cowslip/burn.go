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
		Description: "A burn rate of 1 spends the error budget exactly as fast as it renews. The\nalerts that the burn rates would raise are listed below the table.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "write the report as one HTML page to this `FILE`", TakesFile: true}, jsonFlag(),
		},
		Action: burn,
	}
}

// pageFileMode is the file mode of the HTML page.
const pageFileMode = 0o644

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
	pageFile := c.String("html")
	switch {
	case pageFile != "":
		var page bytes.Buffer
		if err := renderer.HTML(&page, report); err != nil {
			return err
		}
		if err := os.WriteFile(pageFile, page.Bytes(), pageFileMode); err != nil {
			return cowslipbend.Failf(cowslipbend.KindInvalid, errors.Annotatef(err, "write %s", pageFile), "give a file that can be written", "cannot write the page")
		}
		_, err = fmt.Fprintf(out, "wrote %s\n", pageFile)
		return err
	case c.Bool("json"):
		return writeJSON(out, report)
	}
	return renderer.Text(out, report)
}
