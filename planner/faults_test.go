package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestEndsOutOfOrder guards against an end that is listed after one of a higher
// number: it was skipped, acknowledged with that one, and its task ran again.
func TestEndsOutOfOrder(t *testing.T) {
	p := newPool(t, 1)
	p.plan.Submit(flow("f", step(2, 1)))
	orders := p.decide()
	p.startRuns(orders)
	r := p.reports["h0"]
	r.Running = nil
	for i := range orders["h0"].Starts {
		r.Ends = append(r.Ends, cowslipbend.RunEnd{RunRef: orders["h0"].Starts[i].RunRef, Number: int64(2 - i), Kind: cowslipbend.EndDone})
	}
	p.report("h0")
	assertState(t, p, "f", cowslipbend.FlowDone)
	p.decide()
	assert.Equal(t, p.report("h0").AckedThrough, int64(2))
}

// TestCarriedRun guards against a start that reaches the next incarnation of a runner,
// which has the same address and id. Its run counted as lost with the earlier
// incarnation, and the task ran twice at once.
func TestCarriedRun(t *testing.T) {
	setUp := func(t *testing.T) (*pool, string, cowslipbend.RunRef) {
		p := newPool(t, 2)
		p.plan.Submit(flow("f", step(1, 1)))
		name, ref := onlyStart(t, p.decide())
		spec := *p.reports[name].Host
		spec.Life = cowslipbend.Incarnation(name + "@2")
		p.reports[name].Host = &spec
		return p, name, ref
	}
	t.Run("a run that the next incarnation lists goes on there", func(t *testing.T) {
		p, name, ref := setUp(t)
		p.reports[name].Running = []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
		p.report(name)
		orders := p.decide()
		assertStarts(t, orders, 0)
		assert.Equal(t, len(orders[name].Stops), 0)
		p.endRun(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("a run that has ended on the next incarnation has ended", func(t *testing.T) {
		p, name, ref := setUp(t)
		p.endRun(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("a run whose host falls silent keeps its place until the earlier lease has ended", func(t *testing.T) {
		p, name, ref := setUp(t)
		p.reports[name].Running = []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
		p.now = p.now.Add(1)
		p.answer(name)
		delete(p.reports, name)
		p.advance(4 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		p.advance(2 * cowslipbend.Second)
		assertStarts(t, p.decide(), 1)
	})
	for _, losses := range []int{1, 2} {
		t.Run(fmt.Sprintf("a run that was given up is taken back, after %d losses", losses), func(t *testing.T) {
			p, name, ref := setUp(t)
			next := p.reports[name].Host
			lose := func(name string, life cowslipbend.Incarnation) {
				p.reports[name].Host, p.reports[name].LostLife = nil, life
				p.report(name)
			}
			if losses == 1 {
				p.plan.Submit(flow("g", step(2, 4)))
				p.startRuns(p.decide())
			}
			lose(name, cowslipbend.Incarnation(name+"@1"))
			if losses == 2 {
				other, _ := onlyStart(t, p.decide())
				lose(other, cowslipbend.Incarnation(other+"@1"))
			}
			assertStarts(t, p.decide(), 0)
			p.reports[name].Host, p.reports[name].LostLife = next, ""
			p.reports[name].Running = []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
			p.report(name)
			orders := p.decide()
			assert.Equal(t, len(orders[name].Stops), 0)
			for _, s := range starts(orders) {
				assert.Assert(t, s.Task != ref.Task, "%v", s)
			}
			p.endRun(name, ref, cowslipbend.EndDone)
			assertState(t, p, "f", cowslipbend.FlowDone)
		})
	}
	t.Run("the next owner finds the run on that incarnation", func(t *testing.T) {
		p, name, ref := setUp(t)
		p.reports[name].Running = []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
		p.report(name)
		p.plan.Decide(p.now, p.now, p.now)
		row, err := p.plan.TakeProgress("f")
		assert.NilError(t, err)
		next := newPool(t, 0)
		assert.NilError(t, next.plan.Restore(flow("f", step(1, 1)), row, next.now))
		next.plan.ExpectAgents(p.plan.Agents(), next.now)
		next.reports[name] = &cowslipbend.HostReport{Agent: "a", URL: name, Fence: epoch, Host: p.reports[name].Host, Running: p.reports[name].Running}
		next.report(name)
		next.addHost("h9", "r0")
		assertStarts(t, next.decide(), 0)
	})
}

// TestSilentHost guards against a host whose reports were delayed, and whose runs were
// taken for stalled as the first report after that shows the progress of before it.
func TestSilentHost(t *testing.T) {
	p := newPool(t, 2)
	p.plan.Submit(flow("f", step(1, 1)))
	orders := p.decide()
	name, _ := onlyStart(t, orders)
	p.startRuns(orders)
	p.reports[name].Running[0].Percent = 40
	p.report(name)
	for range 3 {
		p.now = p.now.Add(2 * cowslipbend.Second)
		p.report(name)
		orders := p.decide()
		assert.Equal(t, len(orders[name].Stops), 0, "the run was moved")
	}
	t.Run("a run that makes no progress between reports in time is moved", func(t *testing.T) {
		for range 5 {
			p.now = p.now.Add(500)
			p.report(name)
		}
		assert.Equal(t, len(p.decide()[name].Stops), 1)
	})
}

// TestStrayRunOfClosedRound guards against a run of a round that another run has
// completed, on a host that drains: the owner panicked as it looked for its step.
func TestStrayRunOfClosedRound(t *testing.T) {
	p := newPool(t, 2)
	f := flow("f", step(1, 1))
	f.Rounds, f.RoundInterval = 2, cowslipbend.Hour
	p.plan.Submit(f)
	orders := p.decide()
	first, ref := onlyStart(t, orders)
	p.startRuns(orders)
	silent := p.reports[first]
	delete(p.reports, first)
	p.advance(7 * cowslipbend.Second)
	orders = p.decide()
	second, _ := onlyStart(t, orders)
	p.startRuns(orders)
	p.reports[first] = silent
	p.endRun(first, ref, cowslipbend.EndDone)
	spec := *p.reports[second].Host
	spec.Draining = true
	p.reports[second].Host = &spec
	p.now = p.now.Add(cowslipbend.Second)
	p.report(second)
	assert.Equal(t, len(p.decide()[second].Stops), 1)
}

// TestWithheldFlow guards against a flow that runs from the start although it has run:
// its progress cannot be read, and it is submitted again.
func TestWithheldFlow(t *testing.T) {
	p := newPool(t, 2)
	f := flow("f", step(1, 4))
	assert.Equal(t, cowslipbend.KindOf(p.plan.Restore(f, []byte(`{"r":[{"t":[{"s":4}]}]}`), p.now)), cowslipbend.KindBroken)
	p.plan.Withhold(f)
	p.plan.Submit(f)
	assertStarts(t, p.decide(), 0)
	_, known := p.plan.State("f")
	assert.Assert(t, !known)
	t.Run("its run goes on and keeps its room", func(t *testing.T) {
		p.reports["h0"].Running = []cowslipbend.RunState{{RunRef: cowslipbend.RunRef{Task: f.Ref(0, 0, 0), Run: 1}, Percent: 10}}
		p.report("h0")
		p.plan.Submit(flow("g", step(1, 4)))
		orders := p.decide()
		assert.Equal(t, len(orders["h0"].Starts)+len(orders["h0"].Stops), 0)
		assertStarts(t, orders, 1)
	})
	t.Run("it is stopped if the flow is cancelled", func(t *testing.T) {
		p.plan.Cancel("f")
		p.now = p.now.Add(cowslipbend.Second)
		p.report("h0")
		assert.Equal(t, len(p.decide()["h0"].Stops), 1)
	})
}
