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
	d := &Administrator{clock: clock}
	now := clock.Now()
	for _, c := range []struct {
		name    string
		heard   cowslipbend.Time
		leaving bool
		want    Condition
		gone    bool
	}{
		{"heard now", now, false, Up, false},
		{"heard at the limit", now.Add(-silence), false, Up, false},
		{"quiet", now.Add(-silence - 1), false, Silent, false},
		{"lost long ago", now.Add(-forget - 1), false, Silent, false},
		{"known from others only", 0, false, Silent, true},
		{"shutting down", now, true, Leaving, false},
		{"shut down", now.Add(-silence - 1), true, Left, false},
		{"shut down long ago", now.Add(-forget - 1), true, Left, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, d.condition(c.heard, c.leaving), c.want)
			assert.Equal(t, d.gone(c.heard, c.leaving), c.gone)
		})
	}
}
