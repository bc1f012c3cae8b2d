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

// maxJob bounds a job's file.
const maxJob = 1 << 20 // bytes

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", ArgsUsage: "FILE|-",
		Usage: "submit a job in YAML or JSON",
		Description: "The call returns once the job is kept. Submitting the same id with the same\n" +
			"content again changes nothing, so that it may be repeated after any error.",
		Action: submit,
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	name, err := one(c)
	if err != nil {
		return err
	}
	data, err := read(c, name)
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

// take reads at most one byte more than a job may have.
func take(c *cli.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(c.Root().Reader, maxJob+1))
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Annotate(err, "open")
	}
	data, err := io.ReadAll(io.LimitReader(f, maxJob+1))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return data, errors.Annotatef(err, "read %s", name)
}

// read returns the content of a file, or of the standard input for "-".
func read(c *cli.Command, name string) ([]byte, error) {
	data, err := take(c, name)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a readable file, or - for the standard input", "cannot read the job")
	}
	if len(data) > maxJob {
		return nil, cowslipbend.Invalid(name, "is larger than 1 MB", "put what the task needs in an object and name that")
	}
	return data, nil
}
