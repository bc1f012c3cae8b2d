package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/timer"
)

// TestRoundOrder guards against runs with the same input that differ because the
// heartbeats of a round are taken in the order of a map.
func TestRoundOrder(t *testing.T) {
	clock := &timer.Manual{}
	inbox := newHeartbeatInbox(NewEngine(testPool, journaler.NewState(), testPolicy(t, "guarded"), Defaults(), 0))
	for i := range 20 {
		id := cowslipbend.WorkerID(fmt.Sprintf("w%02d", 19-i))
		inbox.receive(Heartbeat{Worker: cowslipbend.WorkerSpec{ID: id}}, leaser.New(leaser.Terms{}, clock), clock)
	}
	var order []cowslipbend.WorkerID
	for _, b := range inbox.beginRound(clock.Now()) {
		order = append(order, b.Worker.ID)
	}
	assert.Equal(t, len(order), 20)
	assert.Assert(t, slices.IsSorted(order), "%v", order)
}
