package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", ArgsUsage: "DIR",
		Usage:       "check a directory of declarations",
		Description: "Checks the whole set and prints every fault with its file, line, path and\nremedy. It calls no entry.",
		Action:      check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	_, set, err := loadSet(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is valid\n", describeSet(set))
	return err
}

// loadSet reads and checks the directory of declarations in the argument.
func loadSet(c *cli.Command) (checker.Files, *cowslipbend.Set, error) {
	dir, err := onlyArgument(c)
	if err != nil {
		return nil, nil, err
	}
	files, err := checker.Read(os.DirFS(dir))
	if err != nil {
		return nil, nil, err
	}
	set, err := checker.Decode(files)
	return files, set, err
}

// describeSet returns the number of objects in a set as text.
func describeSet(set *cowslipbend.Set) string {
	n := len(set.Pools) + len(set.Teams) + len(set.Limits) + len(set.Services) + len(set.Jobs)
	if n == 1 {
		return "a set of 1 object"
	}
	return fmt.Sprintf("a set of %d objects", n)
}
