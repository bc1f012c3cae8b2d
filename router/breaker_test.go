package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func TestTableBreaker(t *testing.T) {
	down := cowslipbend.Fail(cowslipbend.KindDown, "injected fault", "none")
	conflict := cowslipbend.Fail(cowslipbend.KindConflict, "injected fault", "none")
	now := cowslipbend.Time(0)
	breaker := &tableBreaker{}
	for range breakerThreshold - 1 {
		breaker.record(now, down)
		assert.NilError(t, breaker.check(now))
	}
	breaker.record(now, conflict) // A conflict is an answer of the table, so it ends the series of failures.
	for range breakerThreshold {
		assert.NilError(t, breaker.check(now))
		breaker.record(now, down)
	}
	err := cowslipbend.AsError(breaker.check(now))
	assert.Equal(t, err.Kind, cowslipbend.KindDown)
	assert.Equal(t, err.After, cowslipbend.Second)
	now = now.Add(breakerProbeInterval)
	assert.NilError(t, breaker.check(now), "one attempt in each probe interval")
	assert.Equal(t, cowslipbend.KindOf(breaker.check(now)), cowslipbend.KindDown)
	breaker.record(now, nil)
	assert.NilError(t, breaker.check(now))
}
