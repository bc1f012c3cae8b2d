package comparer_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/comparer"
)

// bench stands in for the users' bench: the worth is 0.5, more in the directory of the
// newer build, and varies by seed. Seed 9 ends early.
const bench = `#!/bin/sh
echo "$PWD $5" >>plays.log
[ "$5" = 9 ] && { echo "day given up"; exit 1; }
gain=0; [ "$(basename "$PWD")" = newer ] && gain=5
echo "{\"G\":0.5$5$gain,\"breaks\":{},\"fault\":null,\"classes\":[{\"name\":\"q\",\"worth\":0.4$gain}]}" >"${10}"
`

func newPlan(t *testing.T, seeds int) comparer.Plan {
	t.Helper()
	dir := t.TempDir()
	path := func(name, text string, mode os.FileMode) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), mode))
		return file
	}
	for _, name := range []string{"older", "newer"} {
		assert.NilError(t, os.Mkdir(filepath.Join(dir, name), 0o755))
	}
	return comparer.Plan{
		Bench: path("bench", bench, 0o755), Sites: []string{path("site.toml", "", 0o644)}, Days: []string{"calm", "busy"},
		Old: comparer.Build{Name: "older", Dir: filepath.Join(dir, "older")}, New: comparer.Build{Name: "newer", Dir: filepath.Join(dir, "newer")},
		FirstSeed: 1, Seeds: seeds, Concurrent: 2, Out: filepath.Join(dir, "out.jsonl"), Progress: io.Discard,
	}
}

func summary(pairs []comparer.Pair) string {
	var b strings.Builder
	comparer.WriteSummary(&b, pairs)
	return b.String()
}

// Guards against a difference that is told wrongly, and against plays that are lost or
// played twice when a comparison is taken up again.
func TestRun(t *testing.T) {
	t.Run("a difference at equal seeds is shown", func(t *testing.T) {
		p := newPlan(t, 3)
		pairs, err := comparer.Run(t.Context(), p)
		assert.NilError(t, err)
		assert.Equal(t, len(pairs), 6)
		assert.Assert(t, strings.Contains(summary(pairs), "site: 0.520 to 0.525, +0.005 +/- 0.000 in 6 pairs, shown"), summary(pairs))
		assert.NilError(t, comparer.WritePlot(filepath.Join(t.TempDir(), "plot.svg"), pairs))
	})
	t.Run("a play that ends early is named, and the others are kept", func(t *testing.T) {
		p := newPlan(t, 2)
		p.FirstSeed = 8
		pairs, err := comparer.Run(t.Context(), p)
		assert.ErrorContains(t, err, "busy seed 9 ended early: day given up")
		assert.Equal(t, len(pairs), 2)
	})
	t.Run("a comparison that is taken up again plays only what is missing", func(t *testing.T) {
		p := newPlan(t, 1)
		_, err := comparer.Run(t.Context(), p)
		assert.NilError(t, err)
		p.Seeds = 2
		pairs, err := comparer.Run(t.Context(), p)
		assert.NilError(t, err)
		assert.Equal(t, len(pairs), 4)
		played, err := os.ReadFile(filepath.Join(p.Old.Dir, "plays.log"))
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(played), "\n"), 4)
	})
	t.Run("all faults of a plan are told at once", func(t *testing.T) {
		_, err := comparer.Run(context.Background(), comparer.Plan{Bench: "/nowhere"})
		for _, want := range []string{"--old, --new", "/nowhere", "nothing to play"} {
			assert.ErrorContains(t, err, want)
		}
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
	t.Run("a file of results that does not decode is not overwritten", func(t *testing.T) {
		p := newPlan(t, 1)
		assert.NilError(t, os.WriteFile(p.Out, []byte("{\n"), 0o644))
		_, err := comparer.Run(t.Context(), p)
		assert.ErrorContains(t, err, "line 1")
	})
}

// Guards against a verdict from pairs that scatter around zero.
func TestNotShown(t *testing.T) {
	var pairs []comparer.Pair
	for i, difference := range []float64{0.1, -0.08, 0.05, -0.06} {
		play := comparer.Play{Site: "s.toml", Day: fmt.Sprint("day-", i), Seed: 1}
		pairs = append(pairs, comparer.Pair{Old: comparer.Result{Play: play, Worth: 0.5}, New: comparer.Result{Play: play, Worth: 0.5 + difference}})
	}
	assert.Assert(t, strings.Contains(summary(pairs), "not shown"), summary(pairs))
	assert.Assert(t, strings.Contains(summary(pairs), "decides: day-0 seed 1, 0.500 to 0.600"), summary(pairs))
}
