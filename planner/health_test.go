package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// load plays short jobs against a pool in which some hosts misbehave, and
// returns how many flows ended in each state.
type load struct {
	*pool
	// grey hosts fail all that they start; hung ones never finish it.
	grey, hung map[string]bool
	// begun is when each run began.
	begun map[cowslipbend.RunRef]cowslipbend.Time
}

const (
	lookEvery = 100 * cowslipbend.Millisecond
	// settle is how many looks follow the last flow.
	settle = 150
)

// play submits a flow at each look and lets sound runs take half a second.
func (l *load) play(flows int) map[cowslipbend.FlowState]int {
	for i := range flows + settle {
		if i < flows {
			l.plan.Submit(flow(fmt.Sprintf("f%03d", i), step(2, 1)))
		}
		l.now = l.now.Add(lookEvery)
		l.look()
		l.follow(l.decide())
	}
	states := map[cowslipbend.FlowState]int{}
	for i := range flows {
		state, _ := l.plan.State(cowslipbend.JobID(fmt.Sprintf("f%03d", i)))
		states[state]++
	}
	return states
}

// look ends what is due and has all hosts report.
func (l *load) look() {
	for name, r := range l.reports {
		for _, s := range append([]cowslipbend.RunState(nil), r.Running...) {
			gone := l.now.Sub(l.begun[s.RunRef])
			switch {
			case l.grey[name] && gone >= lookEvery:
				l.finish(name, s.RunRef, cowslipbend.EndFailed)
			case !l.grey[name] && !l.hung[name] && gone >= 5*lookEvery:
				l.finish(name, s.RunRef, cowslipbend.EndDone)
			}
		}
		for i := range r.Running {
			if !l.hung[name] {
				r.Running[i].Percent = int(l.now.Sub(l.begun[r.Running[i].RunRef]) / 5)
			}
		}
		l.report(name)
	}
}

// follow carries orders out.
func (l *load) follow(orders map[string]cowslipbend.HostOrders) {
	for name, o := range orders {
		for i := range o.Starts {
			l.begun[o.Starts[i].RunRef] = l.now
			l.reports[name].Running = append(l.reports[name].Running, cowslipbend.RunState{RunRef: o.Starts[i].RunRef, Percent: 1})
		}
		for _, ref := range o.Stops {
			l.finish(name, ref, cowslipbend.EndStopped)
		}
		l.report(name)
	}
}

func newLoad(t *testing.T) *load {
	return &load{pool: newPool(t, 6), grey: map[string]bool{}, hung: map[string]bool{}, begun: map[cowslipbend.RunRef]cowslipbend.Time{}}
}

func TestHealth(t *testing.T) {
	const flows = 200
	t.Run("hosts that fail all they start do not draw the load", func(t *testing.T) {
		l := newLoad(t)
		l.grey["h0"], l.grey["h3"] = true, true
		states := l.play(flows)
		assert.Assert(t, states[cowslipbend.FlowDone] >= flows*95/100, "%v", states)
		assert.Assert(t, len(l.reports["h0"].Ends) < flows/10, "%d runs on a failing host", len(l.reports["h0"].Ends))
	})
	t.Run("runs that stand still go on elsewhere", func(t *testing.T) {
		l := newLoad(t)
		l.hung["h1"] = true
		states := l.play(flows)
		assert.Equal(t, states[cowslipbend.FlowDone], flows, "%v", states)
	})
	t.Run("a flow that fails everywhere blames no host", func(t *testing.T) {
		p := newPool(t, 4)
		bad := flow("bad", step(16, 1))
		bad.Policy.MaxAttempts = 100
		p.plan.Submit(bad)
		for range 6 {
			orders := p.decide()
			p.obey(orders)
			for name, o := range orders {
				for i := range o.Starts {
					p.finish(name, o.Starts[i].RunRef, cowslipbend.EndFailed)
				}
			}
		}
		p.plan.Cancel("bad")
		p.plan.Submit(flow("good", step(16, 1)))
		assertStarts(t, p.decide(), 16)
	})
	t.Run("lists that are old tell nothing of stalls", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		p.obey(p.decide())
		p.reports["h0"].Running[0].Percent = 10
		p.reports["h0"].ListAge = 2 * cowslipbend.Second
		p.pass(4 * cowslipbend.Second)
		assert.Equal(t, len(p.decide()["h0"].Stops), 0)
		p.reports["h0"].ListAge = 0
		p.pass(cowslipbend.Second)
		assert.Equal(t, len(p.decide()["h0"].Stops), 1)
	})
}
