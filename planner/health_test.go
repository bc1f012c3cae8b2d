package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// load runs short jobs on a pool with faulty hosts.
type load struct {
	*pool
	// failing hosts fail all runs; hung hosts never finish one.
	failing, hung map[string]bool
	// startedAt is when each run started.
	startedAt map[cowslipbend.RunRef]cowslipbend.Time
}

const (
	reportInterval = 100 * cowslipbend.Millisecond
	// settleReports is the number of report intervals after the last flow.
	settleReports = 150
)

// run submits a flow in each report interval, and returns how many flows ended
// in each state. Runs on sound hosts take half a second.
func (l *load) run(flows int) map[cowslipbend.FlowState]int {
	for i := range flows + settleReports {
		if i < flows {
			l.plan.Submit(flow(fmt.Sprintf("f%03d", i), step(2, 1)))
		}
		l.now = l.now.Add(reportInterval)
		l.reportAll()
		l.execute(l.decide())
	}
	states := map[cowslipbend.FlowState]int{}
	for i := range flows {
		state, _ := l.plan.State(cowslipbend.JobID(fmt.Sprintf("f%03d", i)))
		states[state]++
	}
	return states
}

// reportAll ends the runs that are due and sends the reports of all hosts.
func (l *load) reportAll() {
	for name, r := range l.reports {
		for _, s := range append([]cowslipbend.RunState(nil), r.Running...) {
			elapsed := l.now.Sub(l.startedAt[s.RunRef])
			switch {
			case l.failing[name] && elapsed >= reportInterval:
				l.endRun(name, s.RunRef, cowslipbend.EndFailed)
			case !l.failing[name] && !l.hung[name] && elapsed >= 5*reportInterval:
				l.endRun(name, s.RunRef, cowslipbend.EndDone)
			}
		}
		for i := range r.Running {
			if !l.hung[name] {
				r.Running[i].Percent = int(l.now.Sub(l.startedAt[r.Running[i].RunRef]) / 5)
			}
		}
		l.report(name)
	}
}

// execute carries out orders.
func (l *load) execute(orders map[string]cowslipbend.HostOrders) {
	for name, o := range orders {
		for i := range o.Starts {
			l.startedAt[o.Starts[i].RunRef] = l.now
			l.reports[name].Running = append(l.reports[name].Running, cowslipbend.RunState{RunRef: o.Starts[i].RunRef, Percent: 1})
		}
		for _, ref := range o.Stops {
			l.endRun(name, ref, cowslipbend.EndStopped)
		}
		l.report(name)
	}
}

func newLoad(t *testing.T) *load {
	return &load{pool: newPool(t, 6), failing: map[string]bool{}, hung: map[string]bool{}, startedAt: map[cowslipbend.RunRef]cowslipbend.Time{}}
}

func TestHealth(t *testing.T) {
	const flows = 200
	t.Run("hosts that fail all runs do not attract more", func(t *testing.T) {
		l := newLoad(t)
		l.failing["h0"], l.failing["h3"] = true, true
		states := l.run(flows)
		assert.Assert(t, states[cowslipbend.FlowDone] >= flows*95/100, "%v", states)
		assert.Assert(t, len(l.reports["h0"].Ends) < flows/10, "%d runs on a failing host", len(l.reports["h0"].Ends))
	})
	t.Run("stalled runs are restarted on other hosts", func(t *testing.T) {
		l := newLoad(t)
		l.hung["h1"] = true
		states := l.run(flows)
		assert.Equal(t, states[cowslipbend.FlowDone], flows, "%v", states)
	})
	t.Run("a flow that fails on all hosts bans none of them", func(t *testing.T) {
		p := newPool(t, 4)
		failingFlow := flow("bad", step(16, 1))
		failingFlow.Policy.MaxAttempts = 100
		p.plan.Submit(failingFlow)
		for range 6 {
			orders := p.decide()
			p.startRuns(orders)
			for name, o := range orders {
				for i := range o.Starts {
					p.endRun(name, o.Starts[i].RunRef, cowslipbend.EndFailed)
				}
			}
		}
		p.plan.Cancel("bad")
		p.plan.Submit(flow("good", step(16, 1)))
		assertStarts(t, p.decide(), 16)
	})
	t.Run("old lists do not show stalls", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		p.startRuns(p.decide())
		p.reports["h0"].Running[0].Percent = 10
		p.reports["h0"].ListAge = 2 * cowslipbend.Second
		p.advance(4 * cowslipbend.Second)
		assert.Equal(t, len(p.decide()["h0"].Stops), 0)
		p.reports["h0"].ListAge = 0
		p.advance(cowslipbend.Second)
		assert.Equal(t, len(p.decide()["h0"].Stops), 1)
	})
}
