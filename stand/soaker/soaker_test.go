package soaker_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/soaker"
)

// build compiles the programs and returns their directory.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{"entry", "agent"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, program), "cowslipbend.dev/"+program).CombinedOutput()
		assert.NilError(t, err, "%s", out)
	}
	return bin
}

// regressions lists the seeds that run in CI with the reason: the default seeds,
// and each seed that has violated an invariant.
var regressions = map[int]regression{
	1:  {cause: "the default", span: 6 * cowslipbend.Second, agents: 4, clients: 6},
	2:  {cause: "the default of partitions", span: 20 * cowslipbend.Second, partitions: true, agents: 4, clients: 6},
	3:  {cause: "machines that had been replaced made a row outgrow the store", span: 20 * cowslipbend.Second, replacements: true, agents: 6, clients: 6},
	37: {cause: "a runner that restarted under its id had a longer lease than its owner knew", span: 9 * cowslipbend.Second, restarts: true, agents: 6, clients: 12},
}

// regression is how a seed runs.
type regression struct {
	cause string
	// span is for how long faults are injected, and partitions, restarts and replacements whether
	// these are partitions, restarts of runners or replaced machines only.
	span                               cowslipbend.Span
	partitions, restarts, replacements bool
	agents, clients                    int
}

// TestSoak runs each seed for a short time. Longer runs and new seeds are
// started by hand, see docs/operate/soak.md.
func TestSoak(t *testing.T) {
	bin := build(t)
	for seed, run := range regressions {
		t.Run(fmt.Sprintf("seed %d: %s", seed, run.cause), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			port := 22000 + os.Getpid()%500*20 // Other runs on this machine have other ones.
			r, err := soaker.Run(t.Context(), soaker.Options{
				Bin: bin, Dir: dir, Entries: 3, Agents: run.agents, Clients: run.clients, InjectionTime: run.span, Partitions: run.partitions, Restarts: run.restarts, Replacements: run.replacements, Seed: seed, BasePort: port,
				Log: hclog.New(&hclog.LoggerOptions{Output: t.Output(), Level: hclog.Info}),
			})
			assert.NilError(t, err)
			assert.DeepEqual(t, r.Faults, []string(nil))
			assert.Assert(t, r.Accepted > 0)
			assert.Assert(t, r.Injected > 0)
			files, err := os.ReadDir(dir)
			assert.NilError(t, err)
			assert.Equal(t, len(files), 2*(3+r.Machines), "each process has settings and a log")
			assert.Equal(t, r.Machines > run.agents, run.replacements)
		})
	}
}

func TestCheck(t *testing.T) {
	t.Run("all invalid options are reported together", func(t *testing.T) {
		o := soaker.Options{Entries: 0, Agents: 999, Clients: -1, Seed: -1}
		for _, want := range []string{"--entries", "--agents", "--clients", "--seed", "--for"} {
			assert.ErrorContains(t, o.Check(), want)
		}
	})
}
