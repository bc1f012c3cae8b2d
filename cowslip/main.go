// Command cowslip is the command line for operators. It checks and publishes
// sets of declarations, and inspects and controls jobs and workers.
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

// Run runs the command line once and returns its exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	cmd := command()
	cmd.Reader, cmd.Writer = stdin, stdout
	return starter.Run(ctx, cmd, args, stderr)
}
