package conductor

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/timer"
)

// Guards against an owner that goes on with an inconsistent planner after an
// unexpected error while it withdraws starts.
func TestPanicInWithdrawal(t *testing.T) {
	table := &keeper.Table{}
	fence, err := TakeOver(t.Context(), table, timer.Host{}, "http://e", "life")
	assert.NilError(t, err)
	rules := func() *cowslipbend.Rules { return nil }
	c := New(Settings{}, fence, table, table, nil, rules, timer.Host{}, hclog.NewNullLogger())
	c.planner = nil // Every use of it panics.
	c.goroutines.Go(func() {
		c.sendOrders(t.Context(), planner.AgentOrders{Orders: cowslipbend.HostOrders{Starts: make([]cowslipbend.RunStart, 1)}})
	})
	c.goroutines.End()
	assert.Assert(t, c.unsound)
	_, err = c.tryDecide()
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken)
	assert.Equal(t, len(c.failures), 1)
}

// Guards against an owner that goes on when it has no numbers for processes of agents left.
func TestProcessNumbersUsedUp(t *testing.T) {
	table := &keeper.Table{}
	fence, err := TakeOver(t.Context(), table, timer.Host{}, "http://e", "life")
	assert.NilError(t, err)
	c := New(Settings{}, fence, table, table, nil, func() *cowslipbend.Rules { return nil }, timer.Host{}, hclog.NewNullLogger())
	for i := range cowslipbend.MaxProcess + 1 {
		_, err = c.tryDecide()
		assert.NilError(t, err)
		now := cowslipbend.Time(2 * i)
		c.planner.ApplyAnswer(&cowslipbend.HostReport{Agent: cowslipbend.Incarnation(fmt.Sprint(i)), URL: "http://a", Number: 1}, now+1, now+1)
	}
	_, err = c.tryDecide()
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindStale)
}
