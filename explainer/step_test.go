package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/explainer"
)

// logLine returns a line about flow f, at a number of milliseconds.
func logLine(ms int, message, fields string) string {
	return fmt.Sprintf(`{"@message":%q,"@module":"m","@timestamp":"2026-02-06T21:06:45.%03dZ","flow":"f",%s}`, message, ms, fields)
}

func startLine(ms int, task string) string {
	return logLine(ms, "start ordered", fmt.Sprintf(`"task":"f/%s"`, task))
}

func endLine(ms int, task, how string) string {
	return logLine(ms, "run ended", fmt.Sprintf(`"task":"f/%s","how":%q`, task, how))
}

func assertSteps(t *testing.T, want []explainer.Step, lines ...string) {
	t.Helper()
	lines = append([]string{logLine(0, "flow submission", `"outcome":"accepted"`)}, lines...)
	assert.DeepEqual(t, readTimeline(t, strings.Join(lines, "\n")).Steps, want)
}

func TestSteps(t *testing.T) {
	t.Run("a flow without a start has none", func(t *testing.T) {
		assertSteps(t, []explainer.Step{}, logLine(500, "flow waits", `"round":0,"step":0,"reason":"room"`))
	})
	t.Run("a step waits for the end of the one before", func(t *testing.T) {
		assertSteps(
			t, []explainer.Step{{Wait: 50, Spread: 20, Finish: 130}, {Step: 1, Wait: 40, Finish: 100}},
			startLine(50, "0/0/0"), startLine(70, "0/0/1"), endLine(150, "0/0/0", "done"), endLine(200, "0/0/1", "done"),
			startLine(240, "0/1/0"), endLine(340, "0/1/0", "done"),
		)
	})
	t.Run("a step beside another waits from the acceptance", func(t *testing.T) {
		assertSteps(
			t, []explainer.Step{{Wait: 50, Finish: 150}, {Step: 1, Wait: 60, Finish: 40}},
			startLine(50, "0/0/0"), startLine(60, "0/1/0"), endLine(100, "0/1/0", "done"), endLine(200, "0/0/0", "done"),
		)
	})
	t.Run("a failed run is repeated", func(t *testing.T) {
		assertSteps(
			t, []explainer.Step{{Wait: 50, Finish: 250, Repeats: 1}},
			startLine(50, "0/0/0"), endLine(100, "0/0/0", "failed"), startLine(150, "0/0/0"), endLine(300, "0/0/0", "done"),
		)
	})
	t.Run("reasons of the wait are named once, and a missing end is shown", func(t *testing.T) {
		waits := `"round":0,"step":0,"reason":"interference"`
		assertSteps(
			t, []explainer.Step{{Wait: 50, Spread: 850, Reasons: []string{"interference"}, Open: true}},
			startLine(50, "0/0/0"), endLine(100, "0/0/0", "done"), logLine(300, "flow waits", waits), logLine(600, "flow waits", waits), startLine(900, "0/0/1"),
		)
	})
}
