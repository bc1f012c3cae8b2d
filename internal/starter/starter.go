// Package starter holds what every program's main does alike: the common
// flags, the logger, the signals, and how a wrong setting ends the program.
package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
)

// Exit codes of all programs.
const (
	// ExitOK means that all was done.
	ExitOK = 0
	// ExitFailed means that something was refused or failed, with no effect.
	ExitFailed = 1
	// ExitUsage means wrong usage, settings or input.
	ExitUsage = 2
	// ExitUnknown means that the effect is not known.
	ExitUnknown = 3
	// ExitConflict means that another change came first.
	ExitConflict = 4
)

// Int returns a flag for a count.
func Int(name string, value int, usage string) *cli.IntFlag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// Logger returns a logger of JSON lines at the level, or KindInvalid.
func Logger(name, level string, to io.Writer) (hclog.Logger, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return nil, cowslipbend.Invalid("--log", level+" is no level", "use trace, debug, info, warn, error or off")
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, JSONFormat: true, Output: to}), nil
}

// Main runs the command until it ends or the process gets SIGTERM or SIGINT,
// and returns the exit code.
func Main(cmd *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, cmd, args, os.Stderr)
}

// Run runs the command and returns the exit code. Errors are written to the
// writer.
func Run(ctx context.Context, cmd *cli.Command, args []string, errs io.Writer) int {
	if cmd.Version == "" {
		cmd.Version = Version()
	}
	cmd.ErrWriter = errs
	strict(cmd)
	return Exit(cmd.Run(ctx, args), errs)
}

// strict makes the command and those below it return errors in place of
// printing them, and refuse arguments that they have no use for.
func strict(cmd *cli.Command) {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "see "+c.FullName()+" --help", "wrong usage")
	}
	if cmd.Before == nil {
		cmd.Before = func(ctx context.Context, c *cli.Command) (context.Context, error) { return ctx, Faults(c) }
	}
	next := cmd.Action
	switch {
	case next != nil:
		cmd.Action = func(ctx context.Context, c *cli.Command) error {
			if c.ArgsUsage == "" && c.Args().Present() {
				return cowslipbend.Invalid(c.FullName(), "takes no argument "+c.Args().First(), "see "+c.FullName()+" --help")
			}
			return next(ctx, c)
		}
	case len(cmd.Commands) > 0:
		cmd.Action = missing
	}
	for _, sub := range cmd.Commands {
		strict(sub)
	}
}

// missing answers a call that names no known command.
func missing(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cowslipbend.Invalid(c.FullName(), "has no command "+c.Args().First(), "see "+c.FullName()+" --help")
	}
	return cli.ShowSubcommandHelp(c)
}

// Version returns the version that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}

// Exit prints the error and returns its exit code.
func Exit(err error, to io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(to, err)
	if coder, ok := errors.AsType[cli.ExitCoder](err); ok {
		return coder.ExitCode()
	}
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindInvalid:
		return ExitUsage
	case cowslipbend.KindUnknown:
		return ExitUnknown
	case cowslipbend.KindConflict:
		return ExitConflict
	}
	return ExitFailed
}
