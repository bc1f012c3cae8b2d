package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestFlappingRunner guards against a sound task that is given up, as its runner goes down and up
// by turns and the task is started each time.
func TestFlappingRunner(t *testing.T) {
	p := newPool(t, 0)
	p.addHost("h0", "r0")
	p.addHost("h1", "r0")
	p.plan.Submit(flow("large", step(1, 4)))
	full, _ := onlyStart(t, p.decide())
	name := map[string]string{"h0": "h1", "h1": "h0"}[full]
	life := 1
	crash := func(young ...cowslipbend.LostRun) {
		r, spec := p.reports[name], *p.reports[name].Host
		r.Loss = &cowslipbend.HostLoss{Life: spec.Life, Cause: cowslipbend.LossCrashed, Young: young}
		life++
		spec.Life = cowslipbend.Incarnation(fmt.Sprint(name, "-", life, "@", life))
		r.Host, r.Running = &spec, nil
		p.advance(cowslipbend.Second)
	}
	crash()
	p.plan.Submit(flow("f", step(1, 1)))
	orders := p.decide()
	_, ref := onlyStart(t, orders)
	p.startRuns(orders)
	for range 4 {
		crash(cowslipbend.LostRun{RunRef: ref, Age: 100})
		assertStarts(t, p.decide(), 0)
	}
	assertState(t, p, "f", cowslipbend.FlowRunning)
	p.advance(2 * cowslipbend.Second)
	orders = p.decide()
	_, ref = onlyStart(t, orders)
	p.startRuns(orders)
	p.endRun(name, ref, cowslipbend.EndDone)
	assertState(t, p, "f", cowslipbend.FlowDone)
	assert.Equal(t, ref.Run, cowslipbend.Attempt(2))
}
