package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// TestReplacedAgents guards against agents of machines that are gone for good which are kept for
// ever: the row of all agents outgrew the store.
func TestReplacedAgents(t *testing.T) {
	const fleet, replaced, interval = 4, 300, 500 * cowslipbend.Millisecond
	// Those that are there, and those that went while a host without reports is kept.
	recent := fleet + int((options().MaxPriorLease+2*cowslipbend.Second)/interval)
	p := newPool(t, 0)
	for n := range replaced {
		p.addHost(fmt.Sprint("h", n), "r0")
		delete(p.reports, fmt.Sprint("h", n-fleet))
		p.decide()
		p.advance(interval)
		assert.Assert(t, len(p.plan.Agents()) <= recent, "%d agents after %d machines", len(p.plan.Agents()), n)
	}
	for range 40 {
		p.decide()
		p.advance(interval)
	}
	assert.Equal(t, len(p.plan.Agents()), fleet)
}

// TestAgentRows guards against rows of agents that are gone, and rows that lack an agent.
func TestAgentRows(t *testing.T) {
	rows := map[string]cowslipbend.Incarnation{}
	p := newPool(t, 0)
	store := func() {
		changed, forgotten := p.plan.TakeAgents()
		for _, row := range changed {
			rows[row.URL] = row.RunnerLife
		}
		for _, url := range forgotten {
			delete(rows, url)
		}
	}
	for n := range 100 {
		p.addHost(fmt.Sprint("h", n), "r0")
		delete(p.reports, fmt.Sprint("h", n-2))
		if n%10 == 5 { // The next owner.
			list := []planner.AgentRow{}
			for url, life := range rows {
				list = append(list, planner.AgentRow{URL: url, RunnerLife: life})
			}
			p.plan = planner.New(epoch, options())
			p.plan.ExpectAgents(list, p.now)
		}
		p.decide()
		p.advance(cowslipbend.Second)
		store()
	}
	for range 40 {
		p.decide()
		p.advance(cowslipbend.Second)
	}
	store()
	assert.DeepEqual(t, rows, map[string]cowslipbend.Incarnation{"h98": "h98@1", "h99": "h99@1"})
}

// silence lets the time pass without a report of the host, until its agent is forgotten. The other
// hosts start what they are told to.
func (p *pool) silence(t *testing.T, name string) (last cowslipbend.HostReport) {
	t.Helper()
	last = *p.reports[name]
	delete(p.reports, name)
	for range 40 {
		orders := p.decide()
		delete(orders, name)
		p.startRuns(orders)
		p.advance(cowslipbend.Second)
	}
	for _, row := range p.plan.Agents() {
		assert.Assert(t, row.URL != name, "agent %s is still known", name)
	}
	return last
}

// TestForgottenAgent guards against an agent that is forgotten although its host may run
// something, or that is not taken as it was when it comes back after a cut.
func TestForgottenAgent(t *testing.T) {
	t.Run("keeps its runs until the lease of its host has ended", func(t *testing.T) {
		p, name, ref := newRunningTask(t)
		delete(p.reports, name)
		silentAt := p.now
		for p.now.Sub(silentAt) <= options().MaxLease {
			assertStarts(t, p.decide(), 0)
			assert.Equal(t, len(p.plan.Agents()), 2, "%s is known", name)
			p.advance(500)
		}
		p.advance(cowslipbend.Second)
		_, next := onlyStart(t, p.decide())
		assert.Equal(t, next.Run, ref.Run+1)
	})
	t.Run("keeps a start that the next incarnation of its runner may carry out", func(t *testing.T) {
		opts := options()
		opts.MaxPriorLease = 8 * cowslipbend.Second
		p := newPoolWith(t, opts, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		_, ref := onlyStart(t, p.decide())
		p.addHost("h1", "r0")
		r, next := p.reports["h0"], *p.reports["h0"].Host
		next.Life = "h0@2"
		r.Host, r.LostLife, r.Loss = nil, "h0@1", &cowslipbend.HostLoss{Life: "h0@1", Cause: cowslipbend.LossCrashed, Unanswered: []cowslipbend.RunRef{ref}}
		p.report("h0")
		delete(p.reports, "h0")
		for range 11 {
			assertStarts(t, p.decide(), 0)
			p.advance(cowslipbend.Second)
		}
		r.Host, r.LostLife, r.Running = &next, "", []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
		p.reports["h0"] = r
		for range 10 {
			p.advance(cowslipbend.Second)
			assertStarts(t, p.decide(), 0)
		}
		p.endRun("h0", ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("is known while it reports without a runner", func(t *testing.T) {
		p := newPool(t, 1)
		p.reports["h0"].Host, p.reports["h0"].LostLife = nil, "h0@1"
		for range 60 {
			p.decide()
			p.advance(cowslipbend.Second)
		}
		assert.Equal(t, len(p.plan.Agents()), 1)
	})
	t.Run("comes back with a higher number than its processes had", func(t *testing.T) {
		p := newPool(t, 2)
		for _, life := range []cowslipbend.Incarnation{"b", "c"} {
			p.now = p.now.Add(2)
			p.reports["h0"].Agent = life
			p.answer("h0")
		}
		assert.Equal(t, *p.report("h0").Process, int64(3))
		last := p.silence(t, "h0")
		p.reports["h0"] = &last
		assert.Equal(t, *p.report("h0").Process, int64(4))
		last.Agent = "d"
		p.now = p.now.Add(2)
		p.answer("h0")
		assert.Equal(t, *p.report("h0").Process, int64(5))
	})
	t.Run("a held report of an earlier process does not supplant it", func(t *testing.T) {
		p := newPool(t, 2)
		held := *p.reports["h0"]
		held.Number += 100
		p.now = p.now.Add(2)
		p.reports["h0"].Agent = "b"
		p.answer("h0")
		last := p.silence(t, "h0")
		p.plan.ApplyReport(&held, p.now)
		p.plan.Reply(&held, p.now)
		p.reports["h0"] = &last
		p.advance(cowslipbend.Second)
		asked := p.decide()["h0"]
		assert.Assert(t, asked.Epoch == epoch && asked.Agent != "b")
		p.now = p.now.Add(2)
		p.answer("h0")
		assert.Equal(t, *p.report("h0").Process, int64(4))
		p.plan.Submit(flow("f", step(8, 1)))
		orders := p.decide()
		assert.Equal(t, len(orders["h0"].Starts), 4)
	})
	t.Run("what it ran before the cut is stopped and not run beside the later run", func(t *testing.T) {
		p, name, ref := newRunningTask(t)
		last := p.silence(t, name)
		other := map[string]string{"h0": "h1", "h1": "h0"}[name]
		next := p.reports[other].Running[0].RunRef
		assert.Equal(t, next, cowslipbend.RunRef{Task: ref.Task, Run: ref.Run + 1})
		p.reports[name] = &last
		p.report(name)
		orders := p.decide()
		assertStarts(t, orders, 0)
		assert.DeepEqual(t, orders[name].Stops, []cowslipbend.RunRef{ref})
		p.endRun(other, next, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("its runner has started again under its id", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		_, ref := onlyStart(t, p.decide())
		p.startRuns(map[string]cowslipbend.HostOrders{"h0": {Starts: []cowslipbend.RunStart{{RunRef: ref}}}})
		last := p.silence(t, "h0")
		spec := *last.Host
		spec.Life = "h0@2"
		last.Host, last.Running = &spec, nil
		p.reports["h0"] = &last
		p.report("h0")
		_, next := onlyStart(t, p.decide())
		assert.Equal(t, next.Run, ref.Run+1)
	})
	t.Run("a new owner knows nothing of it and waits for the lease of its runs", func(t *testing.T) {
		p, name, ref := newRunningTask(t)
		row, err := p.plan.TakeProgress("f")
		assert.NilError(t, err)
		next := newPool(t, 0)
		next.plan = planner.New(epoch+1, options())
		next.plan.SetRules(&cowslipbend.Rules{})
		assert.NilError(t, next.plan.Restore(flow("f", step(1, 1)), row, next.now))
		for other, r := range p.reports {
			if other != name {
				next.reports[other] = r
				r.Fence = epoch + 1
			}
		}
		began := next.now
		for next.now.Sub(began) <= options().MaxPriorLease-cowslipbend.Second {
			next.advance(500)
			assertStarts(t, next.decide(), 0)
		}
		next.advance(3 * cowslipbend.Second)
		_, again := onlyStart(t, next.decide())
		assert.Equal(t, again.Run, ref.Run+1)
	})
}

// TestProcessNumbersRunOut guards against an agent that restarts again and again until its fence
// runs into that of the next epoch, in which its runner refuses it.
func TestProcessNumbersRunOut(t *testing.T) {
	p := newPool(t, 1)
	number := *p.report("h0").Process
	for i := 0; number > 0 && i < 20_000; i++ {
		assert.Assert(t, cowslipbend.NewFence(epoch, number, 1) < cowslipbend.NewFence(epoch+1, 1, 1), "process %d", number)
		assert.Assert(t, !p.plan.ProcessesUsedUp(), "process %d", number)
		p.now = p.now.Add(2)
		p.reports["h0"].Agent = cowslipbend.Incarnation(fmt.Sprint("a", i))
		p.answer("h0")
		next := *p.report("h0").Process
		assert.Assert(t, next == 0 || next == number+1)
		number = next
	}
	assert.Equal(t, number, int64(0), "an owner without a number gives none")
	assert.Assert(t, p.plan.ProcessesUsedUp())
}
