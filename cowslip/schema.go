package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
)

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name: "schema", ArgsUsage: "[KIND]",
		Usage:       "write the JSON Schema of declarations",
		Description: "Editors can complete and check declarations with it. Without a kind the schema\naccepts any of job, limit, pool, service and team.",
		Action:      schema,
	}
}

func schema(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return cowslipbend.Invalid(c.FullName(), "takes at most one kind", "see "+c.FullName()+" --help")
	}
	s, err := checker.SchemaOf(c.Args().First())
	if err != nil {
		return err
	}
	return writeJSON(c.Root().Writer, s)
}
