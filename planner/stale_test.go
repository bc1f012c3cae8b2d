package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestReportsOfEarlierEpochs guards against reports that were held until the entry that they
// were sent to became the owner: their runner may have answered again or restarted since.
func TestReportsOfEarlierEpochs(t *testing.T) {
	for name, change := range map[string]func(r *cowslipbend.HostReport){
		"a runner that was lost": func(r *cowslipbend.HostReport) { r.LostLife, r.Host = r.Host.Life, nil },
		"an earlier incarnation": func(r *cowslipbend.HostReport) { r.Host.Life = "h0@0" },
		"a list without the run": func(*cowslipbend.HostReport) {},
	} {
		t.Run(name, func(t *testing.T) {
			p, ref := takeOverRun(t)
			p.addHost("h1", "r0")
			stale := *newPool(t, 1).reports["h0"]
			earlier := cowslipbend.Epoch(epoch - 1)
			spec := *stale.Host
			stale.Epoch, stale.Fence, stale.Host = &earlier, earlier, &spec
			change(&stale)
			p.plan.ApplyReport(&stale, p.now)
			reply := p.plan.Reply(&stale, p.now)
			assert.Equal(t, reply.Epoch, cowslipbend.Epoch(epoch), "the agent learns of the epoch")
			assert.Equal(t, reply.LeaseGrant, cowslipbend.Span(0))
			assertStarts(t, p.decide(), 0)
			p.addHost("h0", "r0", cowslipbend.RunState{RunRef: ref, Percent: 50})
			assertStarts(t, p.decide(), 0)
			assertState(t, p, "f", cowslipbend.FlowRunning)
		})
	}
}
