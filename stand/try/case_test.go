package try

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/firm"
)

// places is the count of what each action may name.
func places(f firm.Firm, a action) int {
	switch a {
	case killEntry, pauseEntry, silentEntry:
		return entries
	case killAgent, killWorker, pauseAgent, silentAgent, silentWorker, failWorker, slowWorker, lagUsage:
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
				assert.Assert(t, s.At+s.Lasts < c.Length, "%s ends after the case", s.Do)
				assert.Assert(t, s.Who < places(f, s.Do), "%s names a place that is not there", s.Do)
				assert.Assert(t, s.Who >= 0 || places(f, s.Do) == entries, "%s has no owner", s.Do)
			}
		})
	}
	t.Run("an unknown name is refused", func(t *testing.T) {
		_, err := find("nothing")
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
}
