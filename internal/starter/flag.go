package starter

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
)

// Env returns the environment variable of a flag: "--store-url" is read from
// COWSLIP_STORE_URL.
func Env(flag string) cli.ValueSourceChain { return cli.EnvVars(EnvName(flag)) }

// EnvName returns the name of the environment variable of a flag.
func EnvName(flag string) string {
	return "COWSLIP_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// String returns a string flag with its environment variable.
func String(name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// SpanFlag is a flag for a length of time. A value that is none does not end
// parsing, so that Faults reports it together with all others.
type SpanFlag = cli.FlagBase[time.Duration, *spanFault, spanValue]

// spanFault keeps the fault of a flag until Faults is called.
type spanFault struct{ err error }

// Span returns a flag for a length of time with its environment variable.
func Span(name string, value cowslipbend.Span, usage string) *SpanFlag {
	return &SpanFlag{Name: name, Value: value.Duration(), Usage: usage, Sources: Env(name), Config: &spanFault{}}
}

// Faults returns the faults of the values that the command was given, and
// those in the errors, as one list.
func Faults(c *cli.Command, errs ...error) error {
	var l cowslipbend.Errors
	for _, f := range c.Flags {
		if span, ok := f.(*SpanFlag); ok && span.Config.err != nil {
			l.Add(cowslipbend.Invalid("--"+span.Name, span.Config.err.Error(), "write it as 200ms, 3s or 1h"))
		}
	}
	for _, err := range errs {
		l.Add(err)
	}
	return l.Err()
}

// Defer is the Before of a command whose action calls Faults itself, to report
// them together with the faults of its settings.
func Defer(ctx context.Context, _ *cli.Command) (context.Context, error) { return ctx, nil }

// spanValue implements cli.Value for a length of time.
type spanValue struct {
	into  *time.Duration
	fault *spanFault
}

// Create returns the value behind a flag.
func (spanValue) Create(v time.Duration, into *time.Duration, fault *spanFault) cli.Value {
	*into = v
	return &spanValue{into: into, fault: fault}
}

// ToString formats a default.
func (spanValue) ToString(v time.Duration) string { return v.String() }

// Set takes the text of a length of time, or keeps the fault.
func (s *spanValue) Set(text string) error {
	v, err := time.ParseDuration(text)
	if s.fault.err = err; err == nil {
		*s.into = v
	}
	return nil
}

// Get returns the length as a time.Duration.
func (s *spanValue) Get() any { return *s.into }

// String returns the length as time.Duration prints it.
func (s *spanValue) String() string {
	if s.into == nil {
		return ""
	}
	return s.into.String()
}
