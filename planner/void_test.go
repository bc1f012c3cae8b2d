package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
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

// TestNoStartWithoutLease guards against starts that name no report, so that they are never
// void: an owner knows a host from an answer to its orders before it has granted a lease.
func TestNoStartWithoutLease(t *testing.T) {
	assertNoneBeforeReply := func(t *testing.T, p *pool) {
		t.Helper()
		p.now = p.now.Add(1)
		p.answer("h0")
		p.plan.Submit(flow("f", step(1, 1)))
		assertStarts(t, p.decide(), 0)
		p.report("h0")
		o := p.decide()
		assertStarts(t, o, 1)
		orders := o["h0"]
		p.plan.SealStarts(&orders, p.now)
		assert.Equal(t, orders.Report, p.reports["h0"].Number)
		assert.Equal(t, orders.Agent, p.reports["h0"].Agent)
	}
	t.Run("after a takeover", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan = planner.New(epoch, options())
		p.plan.SetRules(&cowslipbend.Rules{})
		p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
		assertNoneBeforeReply(t, p)
	})
	t.Run("after a restart of the agent", func(t *testing.T) {
		p := newPool(t, 1)
		p.reports["h0"].Agent, p.reports["h0"].Number = "b", 0
		assertNoneBeforeReply(t, p)
	})
}
