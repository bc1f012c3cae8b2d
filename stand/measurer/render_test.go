package measurer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/load"
	"cowslipbend.dev/stand/reporter"
)

// line returns a result line with the given p99.
func line(firm, policy string, seed uint64, p99 float64) Line {
	return Line{Result: reporter.Result{
		Firm: firm, Case: "deadline", Policy: policy, Seed: seed, Seconds: 10, CPUSeconds: 100, Tally: load.Tally{Calls: 10, P99: p99},
	}}
}

// render renders the lines and returns the page.
func render(t *testing.T, lines ...Line) string {
	t.Helper()
	dir := t.TempDir()
	var data []byte
	for _, l := range lines {
		encoded, err := json.Marshal(l)
		assert.NilError(t, err)
		data = append(append(data, encoded...), '\n')
	}
	assert.NilError(t, os.WriteFile(filepath.Join(dir, linesFile), data, fileMode))
	assert.NilError(t, Render(dir))
	page, err := os.ReadFile(filepath.Join(dir, pageFile))
	assert.NilError(t, err)
	_, err = os.Stat(filepath.Join(dir, "plots", lines[0].Firm+".svg"))
	assert.NilError(t, err)
	return string(page)
}

func TestRender(t *testing.T) {
	t.Run("a row shows the median over the seeds", func(t *testing.T) {
		page := render(t, line("fraser", "guarded", 1, 30), line("fraser", "guarded", 2, 50), line("fraser", "guarded", 3, 40))
		assert.Assert(t, strings.Contains(page, "| deadline | guarded | its own | 3 | 0 | 0.0 | 40.0 |"))
	})
	t.Run("a row names an invariant that any seed has broken", func(t *testing.T) {
		bad := line("fraser", "firstfit", 2, 30)
		bad.Verdict = judge.Verdict{Lost: 2}
		page := render(t, line("fraser", "firstfit", 1, 30), bad)
		assert.Assert(t, strings.Contains(page, "| deadline | firstfit | its own | 2 | lost 2 |"))
	})
	t.Run("a damaged line is refused", func(t *testing.T) {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, linesFile), []byte("{"), fileMode))
		assert.ErrorContains(t, Render(dir), "damaged line")
	})
}
