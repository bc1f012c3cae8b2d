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

// SpanFlag is a flag for a duration. An invalid value does not end the parsing of
// the flags, so that Faults reports it together with all other faults.
type SpanFlag = cli.FlagBase[time.Duration, *spanParseFault, spanValue]

// spanParseFault keeps the parse error of a flag's value for Faults.
type spanParseFault struct{ err error }

// Span returns a flag for a duration with its environment variable.
func Span(name string, value cowslipbend.Span, usage string) *SpanFlag {
	return &SpanFlag{Name: name, Value: value.Duration(), Usage: usage, Sources: Env(name), Config: &spanParseFault{}}
}

// Faults returns the faults of the command's SpanFlags and those in the errors as
// one list, or nil if there are none.
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

// DeferFaults is the Before of a command whose action calls Faults itself, so as
// to report faults of flags together with those of its settings.
func DeferFaults(ctx context.Context, _ *cli.Command) (context.Context, error) { return ctx, nil }

// spanValue implements cli.Value and cli.ValueCreator for a duration.
type spanValue struct {
	target *time.Duration
	fault  *spanParseFault
}

// Create returns the value of a flag, which starts as the default.
func (spanValue) Create(v time.Duration, target *time.Duration, fault *spanParseFault) cli.Value {
	*target = v
	return &spanValue{target: target, fault: fault}
}

// ToString formats the default of a flag.
func (spanValue) ToString(v time.Duration) string { return v.String() }

// Set parses the text of a duration, or keeps the error for Faults.
func (s *spanValue) Set(text string) error {
	v, err := time.ParseDuration(text)
	if s.fault.err = err; err == nil {
		*s.target = v
	}
	return nil
}

// Get returns the value as a time.Duration.
func (s *spanValue) Get() any { return *s.target }

// String formats the value as time.Duration does.
func (s *spanValue) String() string {
	if s.target == nil {
		return ""
	}
	return s.target.String()
}
