package starter

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// run runs a program with two lengths of time and a check of its own.
func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	cmd := &cli.Command{
		Name:   "prog",
		Flags:  []cli.Flag{Span("lease", cowslipbend.Second, "a lease"), Span("cap", cowslipbend.Minute, "a cap"), String("log", "info", "level")},
		Before: Defer,
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := Logger("prog", c.String("log"), &bytes.Buffer{})
			var short error
			if c.Duration("lease") < cowslipbend.Second.Duration() {
				short = cowslipbend.Invalid("--lease", "is too short", "give 1s or more")
			}
			return Faults(c, short, err)
		},
	}
	var out, errs bytes.Buffer
	cmd.Writer = &out
	code := Run(context.Background(), cmd, append([]string{"prog"}, args...), &errs)
	return code, out.String() + errs.String()
}

func TestSettings(t *testing.T) {
	t.Run("all wrong settings come at once", func(t *testing.T) {
		code, text := run(t, "--lease=1ms", "--cap=soon", "--log=loud")
		assert.Equal(t, code, ExitUsage)
		for _, want := range []string{"--cap: ", "--lease: is too short", "--log: loud is no level"} {
			assert.Assert(t, strings.Contains(text, want), "%s", text)
		}
	})
	t.Run("a wrong environment variable is one of them", func(t *testing.T) {
		t.Setenv("COWSLIP_CAP", "soon")
		code, text := run(t, "--log=loud")
		assert.Equal(t, code, ExitUsage)
		assert.Equal(t, strings.Count(text, "\n"), 2, "%s", text)
	})
	t.Run("unknown flags and arguments are refused", func(t *testing.T) {
		for _, arg := range []string{"--nosuch", "stray"} {
			code, text := run(t, arg)
			assert.Equal(t, code, ExitUsage)
			assert.Assert(t, strings.Contains(text, "prog --help"), "%s", text)
		}
	})
	t.Run("help and version succeed", func(t *testing.T) {
		for _, arg := range []string{"--help", "--version"} {
			code, text := run(t, arg)
			assert.Equal(t, code, ExitOK)
			assert.Assert(t, strings.Contains(text, "prog"), "%s", text)
		}
	})
}

func TestExit(t *testing.T) {
	for kind, want := range map[cowslipbend.Kind]int{
		cowslipbend.KindInvalid: ExitUsage, cowslipbend.KindUnknown: ExitUnknown,
		cowslipbend.KindConflict: ExitConflict, cowslipbend.KindDown: ExitFailed,
	} {
		t.Run(string(kind), func(t *testing.T) {
			assert.Equal(t, Exit(cowslipbend.Fail(kind, "what", "remedy"), &bytes.Buffer{}), want)
		})
	}
}
