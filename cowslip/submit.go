package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
)

// maxJobBytes bounds the file of a job.
const maxJobBytes = 1 << 20

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", ArgsUsage: "FILE|-",
		Usage: "submit a job in YAML or JSON",
		Description: "The call returns once the job is stored. Submitting the same id with the same\n" +
			"content again changes nothing, so the call may be repeated after any error.",
		Action: submit,
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	name, err := onlyArgument(c)
	if err != nil {
		return err
	}
	data, err := readJobFile(c, name)
	if err != nil {
		return err
	}
	job, err := checker.DecodeJob(name, data)
	if err != nil {
		return err
	}
	op, err := client(c)
	if err != nil {
		return err
	}
	if err := op.Submit(ctx, job); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "job %s is accepted by pool %s\n", job.ID, job.Pool)
	return err
}

// readLimited reads a file, or the standard input for "-", up to one byte more
// than maxJobBytes, so that the caller can detect an excess.
func readLimited(c *cli.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(c.Root().Reader, maxJobBytes+1))
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Annotate(err, "open")
	}
	data, err := io.ReadAll(io.LimitReader(f, maxJobBytes+1))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return data, errors.Annotatef(err, "read %s", name)
}

// readJobFile returns the content of a file, or of the standard input for "-",
// and refuses one of more than maxJobBytes.
func readJobFile(c *cli.Command, name string) ([]byte, error) {
	data, err := readLimited(c, name)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a readable file, or - for the standard input", "cannot read the job")
	}
	if len(data) > maxJobBytes {
		return nil, cowslipbend.Invalid(name, "is larger than 1 MB", "store the task's input as an object and name the object in the job")
	}
	return data, nil
}
