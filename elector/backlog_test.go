package elector_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/shedder"
)

// Guards against entries that decide by no summary of the owner, or by one of an
// owner that has been replaced.
func TestBacklog(t *testing.T) {
	table := &keeper.Table{}
	owner, other := waitForOwner(t, newEntry(t, table, "a"), newEntry(t, table, "b"))
	hasRecent := func(e *entry) func() bool {
		return func() bool {
			s, age := e.Backlog()
			return s != nil && age <= shedder.MaxSummaryAge
		}
	}
	waitFor(t, "the owner has a summary", hasRecent(owner))
	waitFor(t, "the other entry has the owner's summary", hasRecent(other))
	third := newIdleEntry(t, table, "c", 100)
	s, _ := third.Backlog()
	assert.Assert(t, s == nil, "an entry that has not asked the owner has none")
	third.start()
	epoch := owner.Conductor().Epoch()
	owner.kill()
	waitFor(t, "another entry owns the flows", func() bool {
		for _, e := range []*entry{other, third} {
			if c := e.Conductor(); c != nil && c.Epoch() > epoch {
				return true
			}
		}
		return false
	})
	waitFor(t, "both have a summary of the new owner", func() bool { return hasRecent(other)() && hasRecent(third)() })
}
