package try_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/try"
)

// options returns a short run of a case. The broken invariants that it logs appear
// in the test's output.
func options(t *testing.T, name string) try.Options {
	t.Helper()
	log := hclog.New(&hclog.LoggerOptions{Output: t.Output(), Level: hclog.Error})
	return try.Options{
		Firm: "fraser", Case: name, Policy: "guarded", LoadTime: 3 * cowslipbend.Second, Seed: 1, Log: log,
	}
}

func TestRun(t *testing.T) {
	t.Run("nothing is broken and accepted work finishes", func(t *testing.T) {
		r, err := try.Run(context.Background(), options(t, "quiet"))
		assert.NilError(t, err)
		assert.Equal(t, r.Verdict, judge.Verdict{})
		assert.Assert(t, r.Ran > 0)
		assert.Assert(t, r.AcceptedTasks > 0)
		assert.Assert(t, r.Finished >= r.AcceptedTasks)
	})
}

func TestCheck(t *testing.T) {
	t.Run("all faults at once", func(t *testing.T) {
		o := try.Options{Firm: "x", Case: "y", Policy: "z", Only: "w", LoadTime: -1, LeaseCap: -1}
		for _, want := range []string{"--firm", "--case", "--policy", "--only", "--for", "--cap"} {
			assert.ErrorContains(t, o.Check(), want)
		}
	})
}
