// Package starter holds what the main functions of all programs have in common:
// flags with environment variables, the logger, signals, exit codes, and the
// report of invalid settings.
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
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command was refused or failed without effect.
	ExitFailed = 1
	// ExitUsage means that the usage, the settings or the input is invalid.
	ExitUsage = 2
	// ExitUnknown means that the command may have taken effect.
	ExitUnknown = 3
	// ExitConflict means that a concurrent change was made first.
	ExitConflict = 4
)

// Int returns an integer flag with its environment variable.
func Int(name string, value int, usage string) *cli.IntFlag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// Logger returns a logger of JSON lines at the level, or KindInvalid if there is
// no such level.
func Logger(name, level string, to io.Writer) (hclog.Logger, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return nil, cowslipbend.Invalid("--log", level+" is not a log level", "use trace, debug, info, warn, error or off")
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, JSONFormat: true, Output: to}), nil
}

// Main runs the command and returns the exit code. SIGTERM and SIGINT cancel the
// context of the command.
func Main(cmd *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, cmd, args, os.Stderr)
}

// Run runs the command, writes its error to errOut and returns the exit code.
func Run(ctx context.Context, cmd *cli.Command, args []string, errOut io.Writer) int {
	if cmd.Version == "" {
		cmd.Version = Version()
	}
	cmd.ErrWriter = errOut
	makeStrict(cmd)
	return Exit(cmd.Run(ctx, args), errOut)
}

// makeStrict makes the command and its subcommands return errors instead of
// printing them, and refuse unexpected arguments.
func makeStrict(cmd *cli.Command) {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "see "+c.FullName()+" --help", "invalid usage")
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
		cmd.Action = missingCommand
	}
	for _, sub := range cmd.Commands {
		makeStrict(sub)
	}
}

// missingCommand is the action of a command that only has subcommands: it returns
// an error for an unknown one and prints the help text if there is none.
func missingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cowslipbend.Invalid(c.FullName(), "has no command "+c.Args().First(), "see "+c.FullName()+" --help")
	}
	return cli.ShowSubcommandHelp(c)
}

// Version returns the version of the main module and, if known, the revision that
// the program was built from.
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

// Exit writes the error to the stream and returns its exit code.
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
