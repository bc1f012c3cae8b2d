// Command cowslip is the operators' shell: it checks and publishes declared
// sets, and shows and steers what runs.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cowslipbend.dev/internal/starter"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr))
}

// Run runs one call of the command and returns its exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	cmd := command()
	cmd.Reader, cmd.Writer = in, out
	return starter.Run(ctx, cmd, args, errs)
}
