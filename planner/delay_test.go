package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// wait runs decisions for the span, while all hosts report and all runs advance.
func (p *pool) wait(span cowslipbend.Span) {
	for end := p.now.Add(span); p.now < end; {
		for _, r := range p.reports {
			for i := range r.Running {
				r.Running[i].Percent++
			}
		}
		p.advance(500)
		p.startRuns(p.decide())
	}
}

func TestDelays(t *testing.T) {
	// delay returns the only delay after three seconds.
	delay := func(t *testing.T, p *pool) planner.Delay {
		t.Helper()
		p.startRuns(p.decide())
		p.wait(3 * cowslipbend.Second)
		list := p.plan.Delays(p.now)
		assert.Equal(t, len(list), 1, "%+v", list)
		return list[0]
	}
	t.Run("a task that does not fit waits for room", func(t *testing.T) {
		p := newPool(t, 2)
		p.plan.Submit(flow("large", step(3, 3)))
		d := delay(t, p)
		assert.Equal(t, d.Reason, planner.DelayRoom)
		assert.Equal(t, d.Hosts[planner.DelayRoom], 2)
		assert.Equal(t, d.Waiting, 1)
		assert.Assert(t, d.For >= 2*cowslipbend.Second)
		assert.Equal(t, d.Position, 1)
		assert.Equal(t, d.Ready, 1)
	})
	t.Run("a label that no host has", func(t *testing.T) {
		p := newPool(t, 2)
		s := step(1, 1)
		s.Label = "none"
		p.plan.Submit(flow("f", s))
		assert.Equal(t, delay(t, p).Reason, planner.DelayLabel)
	})
	t.Run("no host", func(t *testing.T) {
		p := newPool(t, 0)
		p.plan.Submit(flow("f", step(1, 1)))
		assert.Equal(t, delay(t, p).Reason, planner.DelayNoHost)
	})
	t.Run("filling tasks wait for idle processors", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", filling(8, 1)))
		d := delay(t, p)
		assert.Equal(t, d.Reason, planner.DelayProcessors)
		assert.Assert(t, d.BestRate < 0.9, "%f", d.BestRate)
	})
	t.Run("a flow is reported at intervals until a task is placed", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("large", step(2, 3)))
		delay(t, p)
		p.wait(3 * cowslipbend.Second)
		assert.Equal(t, len(p.plan.Delays(p.now)), 0)
		p.wait(3 * cowslipbend.Second)
		assert.Equal(t, len(p.plan.Delays(p.now)), 1)
		p.addHost("h1", "r1")
		p.wait(6 * cowslipbend.Second)
		assert.Equal(t, len(p.plan.Delays(p.now)), 0)
	})
	t.Run("the longest delays are reported, a bounded number at a time", func(t *testing.T) {
		p := newPool(t, 0)
		for i := range 20 {
			p.plan.Submit(flow(fmt.Sprintf("f%02d", i), step(1, 1)))
			p.decide()
			p.now = p.now.Add(10)
		}
		p.now = p.now.Add(3000)
		list := p.plan.Delays(p.now)
		assert.Assert(t, len(list) < 10, "%d", len(list))
		assert.Equal(t, list[0].Flow, cowslipbend.JobID("f00"))
	})
}
