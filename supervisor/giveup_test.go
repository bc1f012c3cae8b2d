package supervisor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/supervisor"
)

// place has the planner place a task on the host of the last report, and returns the orders
// as they are sent.
func place(f *fixture, plan *planner.Planner) *cowslipbend.HostOrders {
	f.t.Helper()
	f.waitFor(func() bool { return *f.owner.lastReport().Epoch == epoch })
	r := f.owner.lastReport()
	plan.ApplyReport(&r, f.clock.Now())
	assert.Assert(f.t, plan.Reply(&r, f.clock.Now()).LeaseGrant > 0)
	plan.Submit(&cowslipbend.Flow{ID: "f", Policy: cowslipbend.FlowPolicy{Service: "ledger"}, Steps: []cowslipbend.Step{{Count: 1}}})
	orders := plan.Decide(f.clock.Now(), f.clock.Now(), f.clock.Now())
	assert.Equal(f.t, len(orders), 1)
	plan.MarkCommitted(f.clock.Now())
	plan.SealStarts(&orders[0].Orders, f.clock.Now())
	return &orders[0].Orders
}

// TestStartAfterHostWasGivenUp guards against a start that is executed after its owner has
// given the host up, on a runner that allows longer leases than the owner grants.
func TestStartAfterHostWasGivenUp(t *testing.T) {
	const granted, allowed = 6 * cowslipbend.Second, 10 * cowslipbend.Second
	f := newFixtureWith(t, func(s *supervisor.Settings) { s.MaxLease = allowed })
	f.owner.leaseGrant = granted
	f.connectRunner()
	plan := planner.New(epoch, planner.Options{MaxLease: granted, MaxPriorLease: granted})
	plan.SetRules(&cowslipbend.Rules{})
	orders := place(f, plan)
	f.waitFor(func() bool {
		plan.Decide(f.clock.Now(), f.clock.Now(), f.clock.Now())
		return len(plan.TakeLossEvents()) > 0
	})
	result := f.sendOrders(orders).Results[0]
	assert.Equal(t, result.Kind, cowslipbend.Refused)
	assert.Equal(t, result.Reason, "order is void")
}

// TestStartAfterRunnerWasLost guards against a start that was ordered before the agent
// reported its runner as lost, and is executed once the same incarnation answers again.
func TestStartAfterRunnerWasLost(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	var ordered cowslipbend.HostReport
	f.failRenewals(cowslipbend.KindUnknown)
	f.waitFor(func() bool {
		last := f.owner.lastReport()
		if last.Host != nil {
			ordered = last
		}
		return last.LostLife == life
	})
	f.runner.withLock(func(r *runner) { r.renewErr = nil })
	f.beat(life, 9)
	f.waitFor(func() bool { return f.owner.lastReport().Host != nil })
	lost := f.owner.lastReport().Number
	f.waitFor(func() bool { return f.owner.lastReport().Number > lost })
	start := func(report int64) cowslipbend.ResultKind {
		o := &cowslipbend.HostOrders{Epoch: epoch, Life: life, Agent: "a", Report: report, Valid: 5 * cowslipbend.Second, Starts: []cowslipbend.RunStart{newStart(int(report))}}
		return f.sendOrders(o).Results[0].Kind
	}
	assert.Equal(t, start(f.owner.lastReport().Number), cowslipbend.Started)
	assert.Equal(t, start(ordered.Number), cowslipbend.Refused)
}
