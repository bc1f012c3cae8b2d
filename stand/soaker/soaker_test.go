package soaker_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/soaker"
)

// build builds the programs for the run.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{"entry", "agent"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, program), "cowslipbend.dev/"+program).CombinedOutput()
		assert.NilError(t, err, "%s", out)
	}
	return bin
}

// TestSoak plays a short seed. Longer ones, with fresh seeds, are run by hand:
// see the page on the soak.
func TestSoak(t *testing.T) {
	bin, dir := build(t), t.TempDir()
	r, err := soaker.Run(t.Context(), soaker.Options{
		Bin: bin, Dir: dir, Entries: 3, Agents: 4, Clients: 6, For: 6 * cowslipbend.Second, Seed: 1, Base: 22000,
		Log: hclog.New(&hclog.LoggerOptions{Output: t.Output(), Level: hclog.Info}),
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Faults, []string(nil))
	assert.Assert(t, r.Accepted > 0)
	assert.Assert(t, r.Injected > 0)
	logs, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(logs), 2*(3+4), "each process has settings and a log")
}

func TestCheck(t *testing.T) {
	t.Run("all faults at once", func(t *testing.T) {
		o := soaker.Options{Entries: 0, Agents: 999, Clients: -1, Seed: -1}
		for _, want := range []string{"--entries", "--agents", "--clients", "--seed", "--for"} {
			assert.ErrorContains(t, o.Check(), want)
		}
	})
}
