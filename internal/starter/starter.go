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
	"strings"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// Env returns the environment variable of a flag: "--store-url" is read from
// COWSLIP_STORE_URL.
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("COWSLIP_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// String returns a string flag with its environment variable.
func String(name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// Int returns a flag for a count.
func Int(name string, value int, usage string) *cli.IntFlag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// Span returns a flag for a length of time with its environment variable.
func Span(name string, value cowslipbend.Span, usage string) *cli.DurationFlag {
	return &cli.DurationFlag{Name: name, Value: value.Duration(), Usage: usage, Sources: Env(name)}
}

// Logger returns a logger of JSON lines at the level, or KindInvalid.
func Logger(name, level string, to io.Writer) (hclog.Logger, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return nil, cowslipbend.Invalid("log", level+" is no level", "use trace, debug, info, warn, error or off")
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, JSONFormat: true, Output: to}), nil
}

// Main runs the command until it ends or the process gets SIGTERM or SIGINT,
// and returns the exit code.
func Main(cmd *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "see --help", "wrong usage")
	}
	return Exit(cmd.Run(ctx, args), os.Stderr)
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
	switch firstKind(err) {
	case cowslipbend.KindInvalid:
		return ExitUsage
	case cowslipbend.KindUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

func firstKind(err error) cowslipbend.Kind {
	if list, ok := errors.AsType[cowslipbend.Errors](err); ok && len(list) > 0 {
		return list[0].Kind
	}
	return cowslipbend.KindOf(err)
}
