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

// runProgram runs a program with two flags for durations and a check of its own
// for one of them, and returns its exit code and output.
func runProgram(t *testing.T, args ...string) (int, string) {
	t.Helper()
	cmd := &cli.Command{
		Name:   "prog",
		Flags:  []cli.Flag{Span("lease", cowslipbend.Second, "a lease"), Span("cap", cowslipbend.Minute, "a cap"), String("log", "info", "level")},
		Before: DeferFaults,
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := Logger("prog", c.String("log"), &bytes.Buffer{})
			var leaseFault error
			if c.Duration("lease") < cowslipbend.Second.Duration() {
				leaseFault = cowslipbend.Invalid("--lease", "is too short", "give 1s or more")
			}
			return Faults(c, leaseFault, err)
		},
	}
	var out, errs bytes.Buffer
	cmd.Writer = &out
	code := Run(context.Background(), cmd, append([]string{"prog"}, args...), &errs)
	return code, out.String() + errs.String()
}

func TestSettings(t *testing.T) {
	t.Run("all invalid settings are reported at once", func(t *testing.T) {
		code, text := runProgram(t, "--lease=1ms", "--cap=soon", "--log=loud")
		assert.Equal(t, code, ExitUsage)
		for _, want := range []string{"--cap: ", "--lease: is too short", "--log: loud is not a log level"} {
			assert.Assert(t, strings.Contains(text, want), "%s", text)
		}
	})
	t.Run("an invalid environment variable is reported with the other faults", func(t *testing.T) {
		t.Setenv("COWSLIP_CAP", "soon")
		code, text := runProgram(t, "--log=loud")
		assert.Equal(t, code, ExitUsage)
		assert.Equal(t, strings.Count(text, "\n"), 2, "%s", text)
	})
	t.Run("unknown flags and arguments are refused", func(t *testing.T) {
		for _, arg := range []string{"--nosuch", "stray"} {
			code, text := runProgram(t, arg)
			assert.Equal(t, code, ExitUsage)
			assert.Assert(t, strings.Contains(text, "prog --help"), "%s", text)
		}
	})
	t.Run("help and version succeed", func(t *testing.T) {
		for _, arg := range []string{"--help", "--version"} {
			code, text := runProgram(t, arg)
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
