package try

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/firm"
)

// targetCount returns the number of targets that a step of the action may select.
func targetCount(f firm.Firm, a action) int {
	switch a {
	case killEntry, pauseEntry, blackholeEntry:
		return entryCount
	case killAgent, killWorker, pauseAgent, blackholeAgent, hangWorker, failWorker, slowWorker, delayMeasurements:
		return f.Workers
	default:
		return 1
	}
}

func TestScenarios(t *testing.T) {
	f, err := firm.Get("fraser")
	assert.NilError(t, err)
	for _, c := range scenarios {
		t.Run(c.Name, func(t *testing.T) {
			for _, s := range c.Steps {
				assert.Assert(t, s.At+s.Duration < c.Length, "%s ends after the case", s.Action)
				assert.Assert(t, s.Target < targetCount(f, s.Action), "%s has a target that does not exist", s.Action)
				assert.Assert(t, s.Target >= 0 || targetCount(f, s.Action) == entryCount, "%s cannot target the pool's owner", s.Action)
			}
		})
	}
	t.Run("an unknown name is refused", func(t *testing.T) {
		_, err := findScenario("nothing")
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
}
