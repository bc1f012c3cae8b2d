package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// answer has the agent answer a call that is sent now.
func (p *pool) answer(name string) {
	r := p.reports[name]
	r.Number++
	sent := *r
	p.plan.ApplyAnswer(&sent, p.now, p.now.Add(1))
}

// TestReportsOfEarlierAgents guards against the held report of an agent that has restarted
// since: it supplanted the one that runs, of which nothing was applied from then on.
func TestReportsOfEarlierAgents(t *testing.T) {
	ofAgent := func(p *pool, name string, life cowslipbend.Incarnation) *cowslipbend.HostReport {
		r, spec := *p.reports[name], *p.reports[name].Host
		r.Agent, r.Host, r.Number = life, &spec, r.Number+100
		return &r
	}
	assertAsked := func(t *testing.T, p *pool, name string) {
		t.Helper()
		o, asked := p.decide()[name]
		assert.Assert(t, asked && o.Epoch == epoch && len(o.Starts)+len(o.Stops) == 0, "%+v", o)
	}
	t.Run("does not supplant the later agent", func(t *testing.T) {
		p, name, ref := newRunningTask(t)
		held := ofAgent(p, name, "earlier")
		held.Running = nil
		p.plan.ApplyReport(held, p.now)
		p.advance(cowslipbend.Second)
		p.endRun(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("comes first, until the later agent answers", func(t *testing.T) {
		p, name, ref := newRunningTask(t)
		p.advance(cowslipbend.Second)
		p.reports[name] = ofAgent(p, name, "later")
		assert.Equal(t, p.report(name).Epoch, cowslipbend.Epoch(epoch))
		assertAsked(t, p, name)
		p.answer(name)
		p.endRun(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("is not an answer to a call from before the later agent was found", func(t *testing.T) {
		p, name, ref := newRunningTask(t)
		p.advance(cowslipbend.Second)
		held, sentAt := ofAgent(p, name, "a"), p.now
		p.reports[name] = ofAgent(p, name, "later")
		p.answer(name)
		held.Running = nil
		p.plan.ApplyAnswer(held, sentAt, p.now.Add(2))
		assertStarts(t, p.decide(), 0)
		p.endRun(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("is asked about at intervals", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		held := ofAgent(p, name, "earlier")
		for _, want := range []int{1, 0, 1} {
			p.plan.ApplyReport(held, p.now)
			asked := 0
			for _, o := range p.plan.Decide(p.now, p.now, p.now) {
				if o.URL == name {
					asked++
				}
			}
			assert.Equal(t, asked, want)
			p.now = p.now.Add(250)
		}
	})
	t.Run("has no number, and the later one a higher one", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		assert.Equal(t, *p.report(name).Process, int64(1))
		p.advance(cowslipbend.Second)
		first := p.reports[name]
		p.reports[name] = ofAgent(p, name, "later")
		assert.Equal(t, *p.report(name).Process, int64(0), "either may be the later one")
		p.answer(name)
		assert.Equal(t, *p.report(name).Process, int64(2))
		p.reports[name] = first
		assert.Equal(t, *p.report(name).Process, int64(0))
	})
	t.Run("of an agent that a row names", func(t *testing.T) {
		p := newPool(t, 0)
		p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
		p.addHost("h0", "r0")
		assert.Assert(t, p.report("h0").LeaseGrant > 0)
		assert.Equal(t, len(p.decide()), 0, "no agent is doubted")
	})
}
