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
