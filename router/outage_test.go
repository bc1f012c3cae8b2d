package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func TestOutage(t *testing.T) {
	down := cowslipbend.Fail(cowslipbend.KindDown, "planted", "none")
	conflict := cowslipbend.Fail(cowslipbend.KindConflict, "planted", "none")
	now := cowslipbend.Time(0)
	o := &outage{}
	for range outageAfter - 1 {
		o.note(now, down)
		assert.NilError(t, o.refuse(now))
	}
	o.note(now, conflict) // The table has answered.
	for range outageAfter {
		assert.NilError(t, o.refuse(now))
		o.note(now, down)
	}
	err := cowslipbend.AsError(o.refuse(now))
	assert.Equal(t, err.Kind, cowslipbend.KindDown)
	assert.Equal(t, err.After, cowslipbend.Second)
	now = now.Add(outageProbe)
	assert.NilError(t, o.refuse(now), "one tries")
	assert.Equal(t, cowslipbend.KindOf(o.refuse(now)), cowslipbend.KindDown)
	o.note(now, nil)
	assert.NilError(t, o.refuse(now))
}
