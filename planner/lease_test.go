package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// longLeases returns options with which runners accept longer leases than the owner grants.
func longLeases() planner.Options {
	o := options()
	o.MaxRunnerLease, o.MaxPriorLease = 12*cowslipbend.Second, 6*cowslipbend.Second
	return o
}

// TestLeaseOfRestartedRunner guards against tasks that are started again while they run on a
// host that was cut off soon after its runner had started again under its id: a call that was
// meant for the earlier incarnation had given it a longer lease than the owner.
func TestLeaseOfRestartedRunner(t *testing.T) {
	assertGivenUp := func(t *testing.T, p *pool) {
		t.Helper()
		for _, want := range []int{0, 1} {
			p.advance(longLeases().MaxRunnerLease/2 + 300)
			assertStarts(t, p.decide(), want)
		}
	}
	t.Run("that the owner has found", func(t *testing.T) {
		p := newPool(t, 0)
		p.plan = planner.New(epoch, longLeases())
		p.plan.SetRules(&cowslipbend.Rules{})
		p.addHost("h0", "r0")
		p.plan.Submit(flow("f", step(1, 1)))
		name, ref := onlyStart(t, p.decide())
		p.addHost("h1", "r0")
		spec := *p.reports[name].Host
		spec.Life = "h0@2"
		p.reports[name].Host, p.reports[name].Running = &spec, []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
		assert.Equal(t, p.report(name).LeaseGrant, longLeases().MaxLease)
		delete(p.reports, name)
		assertGivenUp(t, p)
	})
	t.Run("that an earlier owner has found", func(t *testing.T) {
		old, _ := takeOverRun(t)
		p := newPool(t, 0)
		p.plan = planner.New(epoch, longLeases())
		p.plan.SetRules(&cowslipbend.Rules{})
		f := flow("f", step(1, 1))
		row, err := old.plan.TakeProgress("f")
		assert.NilError(t, err)
		assert.NilError(t, p.plan.Restore(f, row, p.now))
		p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
		p.addHost("h1", "r0")
		assertGivenUp(t, p)
	})
}
