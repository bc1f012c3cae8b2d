package administrator

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

func TestCondition(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(10 * cowslipbend.Minute)
	a := &Administrator{clock: clock}
	now := clock.Now()
	for _, c := range []struct {
		name        string
		lastContact cowslipbend.Time
		leaving     bool
		want        Condition
		unlisted    bool
	}{
		{"contact now", now, false, Up, false},
		{"contact at the limit", now.Add(-contactTimeout), false, Up, false},
		{"contact before the limit", now.Add(-contactTimeout - 1), false, Silent, false},
		{"out of contact for long without leaving", now.Add(-leftRetention - 1), false, Silent, false},
		{"known from peers only", 0, false, Silent, true},
		{"shutting down", now, true, Leaving, false},
		{"shut down", now.Add(-contactTimeout - 1), true, Left, false},
		{"shut down long ago", now.Add(-leftRetention - 1), true, Left, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, a.condition(c.lastContact, c.leaving), c.want)
			assert.Equal(t, a.unlisted(c.lastContact, c.leaving), c.unlisted)
		})
	}
}
