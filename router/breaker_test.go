package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func TestOutage(t *testing.T) {
	down := cowslipbend.Fail(cowslipbend.KindDown, "injected fault", "none")
	conflict := cowslipbend.Fail(cowslipbend.KindConflict, "injected fault", "none")
	now := cowslipbend.Time(0)
	o := &tableBreaker{}
	for range breakerThreshold - 1 {
		o.record(now, down)
		assert.NilError(t, o.check(now))
	}
	o.record(now, conflict) // A conflict is an answer of the table, so it ends the row of failures.
	for range breakerThreshold {
		assert.NilError(t, o.check(now))
		o.record(now, down)
	}
	err := cowslipbend.AsError(o.check(now))
	assert.Equal(t, err.Kind, cowslipbend.KindDown)
	assert.Equal(t, err.After, cowslipbend.Second)
	now = now.Add(breakerProbeInterval)
	assert.NilError(t, o.check(now), "one attempt in each probe interval")
	assert.Equal(t, cowslipbend.KindOf(o.check(now)), cowslipbend.KindDown)
	o.record(now, nil)
	assert.NilError(t, o.check(now))
}
