package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestOrdersNameLease guards against orders that an agent can't tell from those of before
// its lease ended: they name the last report that was answered with a lease.
func TestOrdersNameLease(t *testing.T) {
	p := newPool(t, 1)
	p.report("h0")
	granted := p.reports["h0"].Number
	p.reports["h0"].Number++
	unanswered := *p.reports["h0"]
	p.plan.ApplyReport(&unanswered, p.now)
	p.plan.Submit(flow("f", step(1, 1)))
	o := p.decide()["h0"]
	p.plan.SealStarts(&o, p.now)
	assert.Equal(t, o.Report, granted)
	assert.Equal(t, o.Agent, cowslipbend.Incarnation("a"))
	assert.Assert(t, o.Valid > 0)
}

// TestStartsAreVoidInTime guards against a start that takes effect after its stop was
// ordered, or after its host was given up.
func TestStartsAreVoidInTime(t *testing.T) {
	seal := func(age cowslipbend.Span) (cowslipbend.Span, cowslipbend.Span) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		o := p.decide()["h0"]
		p.plan.SealStarts(&o, p.now.Add(age))
		return o.Valid, age
	}
	t.Run("they are void when their stop is ordered", func(t *testing.T) {
		valid, age := seal(cowslipbend.Second)
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		p.decide()
		sentAt := p.now
		for len(p.decide()["h0"].Stops) == 0 {
			p.now++
		}
		assert.Assert(t, valid-age <= p.now.Sub(sentAt), "%s, stop after %s", valid-age, p.now.Sub(sentAt))
	})
	t.Run("they are void when the lease has ended", func(t *testing.T) {
		valid, _ := seal(3 * cowslipbend.Second)
		assert.Equal(t, valid, options().MaxLease)
	})
}
