package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

const epoch = 7

// pool drives a planner with hosts that carry out its orders.
type pool struct {
	t    testing.TB
	plan *planner.Planner
	now  cowslipbend.Time
	// reports holds the last report of each agent.
	reports map[string]*cowslipbend.HostReport
}

func options() planner.Options {
	return planner.Options{MaxLease: 5 * cowslipbend.Second, MaxPriorLease: 15 * cowslipbend.Second, FlowRetention: cowslipbend.Minute}
}

func newPool(t *testing.T, hosts int) *pool {
	t.Helper()
	return newPoolWith(t, options(), hosts)
}

func newPoolWith(t *testing.T, opts planner.Options, hosts int) *pool {
	t.Helper()
	p := &pool{t: t, plan: planner.New(epoch, opts), now: 1000, reports: map[string]*cowslipbend.HostReport{}}
	p.plan.SetRules(&cowslipbend.Rules{})
	for i := range hosts {
		p.addHost(fmt.Sprintf("h%d", i), fmt.Sprintf("r%d", i/2))
	}
	return p
}

// addHost adds a host with 4 cores and 8 GB.
func (p *pool) addHost(name, rack string, running ...cowslipbend.RunState) {
	p.reports[name] = &cowslipbend.HostReport{
		Agent: "a", URL: name, Fence: epoch, Running: running, Host: &cowslipbend.HostSpec{
			Life: cowslipbend.Incarnation(name + "@1"), Runner: name, Service: "ledger", Rack: cowslipbend.Rack(rack), Labels: []string{"a", rack},
			Size: cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 8 * cowslipbend.GB},
		},
	}
	p.report(name)
}

// report sends the report of an agent and returns the reply.
func (p *pool) report(name string) cowslipbend.ReportReply {
	r := p.reports[name]
	r.Number++
	sent := *r
	p.plan.ApplyReport(&sent, p.now)
	return p.plan.Reply(&sent, p.now)
}

// decide commits one decision and returns its orders by agent.
func (p *pool) decide() map[string]cowslipbend.HostOrders {
	orders := p.decideUncommitted()
	p.plan.MarkCommitted(p.now)
	return orders
}

// decideUncommitted returns the orders of one decision by agent.
func (p *pool) decideUncommitted() map[string]cowslipbend.HostOrders {
	orders := map[string]cowslipbend.HostOrders{}
	for _, agent := range p.plan.Decide(p.now, p.now, p.now) {
		orders[agent.URL] = agent.Orders
	}
	for _, id := range p.plan.DirtyFlows() {
		_, err := p.plan.TakeProgress(id)
		assert.NilError(p.t, err)
	}
	return orders
}

// startRuns starts the ordered runs on their hosts, which report them.
func (p *pool) startRuns(orders map[string]cowslipbend.HostOrders) { p.startRunsAt(orders, 100) }

// startRunsAt is startRuns for runs with the progress or speed.
func (p *pool) startRunsAt(orders map[string]cowslipbend.HostOrders, percent int) {
	for name, o := range orders {
		for i := range o.Starts {
			p.reports[name].Running = append(p.reports[name].Running, cowslipbend.RunState{RunRef: o.Starts[i].RunRef, Percent: percent})
		}
		p.report(name)
	}
}

// endRun ends a run on its host, which reports it.
func (p *pool) endRun(name string, ref cowslipbend.RunRef, kind cowslipbend.EndKind) {
	r := p.reports[name]
	var running []cowslipbend.RunState
	for _, s := range r.Running {
		if s.RunRef != ref {
			running = append(running, s)
		}
	}
	r.Running = running
	r.Ends = append(r.Ends, cowslipbend.RunEnd{RunRef: ref, Number: int64(len(r.Ends) + 1), Kind: kind, Checkpoint: "saved"})
	p.report(name)
}

// advance advances the time while all hosts report.
func (p *pool) advance(span cowslipbend.Span) {
	for end := p.now.Add(span); p.now < end; {
		p.now = p.now.Add(500)
		for name := range p.reports {
			p.report(name)
		}
	}
}

func step(count int, cores cowslipbend.Millicores) cowslipbend.Step {
	return cowslipbend.Step{Count: count, Size: cowslipbend.Resources{CPU: cores * cowslipbend.Core, Mem: cowslipbend.GB}, Length: cowslipbend.Second}
}

func flow(id string, steps ...cowslipbend.Step) *cowslipbend.Flow {
	return &cowslipbend.Flow{
		ID: cowslipbend.JobID(id), Queue: "q", Steps: steps, AcceptedAt: 1000,
		Policy: cowslipbend.FlowPolicy{Service: "ledger", MaxAttempts: 2, LatencyFactor: 2, LatencyAllowance: cowslipbend.Second},
	}
}

// starts returns the ordered runs by "task run@host".
func starts(orders map[string]cowslipbend.HostOrders) map[string]cowslipbend.RunRef {
	found := map[string]cowslipbend.RunRef{}
	for name, o := range orders {
		for i := range o.Starts {
			found[fmt.Sprintf("%s %d@%s", o.Starts[i].Task, o.Starts[i].Run, name)] = o.Starts[i].RunRef
		}
	}
	return found
}

func assertStarts(t *testing.T, orders map[string]cowslipbend.HostOrders, count int) {
	t.Helper()
	assert.Equal(t, len(starts(orders)), count, "%v", starts(orders))
}

func assertState(t *testing.T, p *pool, id string, want cowslipbend.FlowState) {
	t.Helper()
	state, ok := p.plan.State(cowslipbend.JobID(id))
	assert.Assert(t, ok)
	assert.Equal(t, state, want)
}

// onlyStart returns the host and the run of the only ordered start.
func onlyStart(t *testing.T, orders map[string]cowslipbend.HostOrders) (string, cowslipbend.RunRef) {
	t.Helper()
	assertStarts(t, orders, 1)
	for name, o := range orders {
		if len(o.Starts) > 0 {
			return name, o.Starts[0].RunRef
		}
	}
	return "", cowslipbend.RunRef{}
}

func TestPlacement(t *testing.T) {
	t.Run("a step begins when the steps that it depends on are done", func(t *testing.T) {
		p := newPool(t, 1)
		second := step(1, 1)
		second.DependsOn = []int{0}
		p.plan.Submit(flow("f", step(1, 1), second))
		orders := p.decide()
		name, ref := onlyStart(t, orders)
		p.startRuns(orders)
		assertState(t, p, "f", cowslipbend.FlowRunning)
		assertStarts(t, p.decide(), 0)
		p.endRun(name, ref, cowslipbend.EndDone)
		orders = p.decide()
		name, ref = onlyStart(t, orders)
		assert.Equal(t, ref.Task.Step, 1)
		p.startRuns(orders)
		p.endRun(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("the reservations on a host never exceed its size, also while runs stop", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(3, 2)))
		orders := p.decide()
		assertStarts(t, orders, 2)
		p.startRuns(orders)
		p.plan.Cancel("f")
		p.plan.Submit(flow("g", step(1, 2)))
		orders = p.decide()
		assert.Equal(t, len(orders["h0"].Stops), 2)
		assertStarts(t, orders, 0)
		p.endRun("h0", orders["h0"].Stops[0], cowslipbend.EndStopped)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("tasks keep to the label and the limit per host", func(t *testing.T) {
		p := newPool(t, 4)
		s := step(4, 1)
		s.Label, s.MaxPerHost = "r1", 1
		p.plan.Submit(flow("f", s))
		orders := p.decide()
		assertStarts(t, orders, 2)
		assert.Equal(t, len(orders["h2"].Starts), 1)
		assert.Equal(t, len(orders["h3"].Starts), 1)
	})
	t.Run("compact tasks share a rack", func(t *testing.T) {
		p := newPool(t, 4)
		s := step(5, 2)
		s.Compact = true
		p.plan.Submit(flow("f", s))
		orders := p.decide()
		assertStarts(t, orders, 4)
		assert.Assert(t, len(orders["h0"].Starts) == 2 || len(orders["h2"].Starts) == 2)
	})
	t.Run("a gang starts whole with one run number, or not at all", func(t *testing.T) {
		p := newPool(t, 2)
		big, small := step(5, 2), step(4, 2)
		big.Gang, small.Gang = true, true
		p.plan.Submit(flow("big", big))
		assertStarts(t, p.decide(), 0)
		p.plan.Submit(flow("small", small))
		orders := p.decide()
		assertStarts(t, orders, 4)
		p.startRuns(orders)
		ref := orders["h0"].Starts[0].RunRef
		p.endRun("h0", ref, cowslipbend.EndDone)
		assertState(t, p, "small", cowslipbend.FlowDone)
	})
	t.Run("a compact gang starts in another rack if that of the best host lacks room", func(t *testing.T) {
		p := newPool(t, 4)
		full, half := step(1, 4), step(2, 1)
		full.Label, half.Label, half.MaxPerHost, half.Lasting, full.Lasting = "h1", "r1", 1, true, true
		p.reports["h1"].Host.Labels = []string{"h1"}
		p.report("h1")
		p.plan.Submit(flow("other", full, half))
		p.startRuns(p.decide())
		gang := step(2, 3)
		gang.Gang, gang.Compact = true, true
		p.plan.Submit(flow("gang", gang))
		orders := p.decide()
		assert.Equal(t, len(orders["h2"].Starts), 1)
		assert.Equal(t, len(orders["h3"].Starts), 1)
	})
	t.Run("rounds begin when they are due", func(t *testing.T) {
		p := newPool(t, 1)
		f := flow("f", step(1, 1))
		f.Rounds, f.FirstDueAt, f.RoundInterval = 2, 2000, 1000
		p.plan.Submit(f)
		assertStarts(t, p.decide(), 0)
		p.advance(1000)
		orders := p.decide()
		_, ref := onlyStart(t, orders)
		assert.Equal(t, ref.Task.Round, 0)
		p.startRuns(orders)
		p.advance(1000)
		orders = p.decide()
		_, second := onlyStart(t, orders)
		assert.Equal(t, second.Task.Round, 1)
		p.startRuns(orders)
		p.endRun("h0", ref, cowslipbend.EndDone)
		p.endRun("h0", second, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
}

func TestAdvice(t *testing.T) {
	p := newPool(t, 2)
	f := flow("f", step(3, 1))
	f.Policy.NeedsAdvice = true
	p.plan.Submit(f)
	assertStarts(t, p.decide(), 0)
	requests := p.plan.AdviceRequests(p.now)
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(p.plan.AdviceRequests(p.now)), 0, "one request is pending")
	t.Run("a failed request is repeated after a pause", func(t *testing.T) {
		p.plan.ApplyAdvice(requests[0], cowslipbend.Advice{}, cowslipbend.Fail(cowslipbend.KindBusy, "", ""), p.now)
		assert.Equal(t, len(p.plan.AdviceRequests(p.now)), 0)
		p.advance(cowslipbend.Second)
		requests = p.plan.AdviceRequests(p.now)
		assert.Equal(t, len(requests), 1)
	})
	t.Run("only hosts with a ticket run the step, while it is valid", func(t *testing.T) {
		advice := cowslipbend.Advice{Tickets: map[string]string{"h1": "ticket"}, ValidFor: 3 * cowslipbend.Second}
		p.plan.ApplyAdvice(requests[0], advice, nil, p.now)
		orders := p.decide()
		assertStarts(t, orders, 3)
		assert.Equal(t, orders["h1"].Starts[0].Ticket, "ticket")
		p.startRuns(orders)
		p.endRun("h1", orders["h1"].Starts[0].RunRef, cowslipbend.EndFailed)
		p.advance(3 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		assert.Equal(t, len(p.plan.AdviceRequests(p.now)), 1)
	})
}

func TestRunEnds(t *testing.T) {
	t.Run("a flow fails when a task has no attempt left", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		for range 2 {
			orders := p.decide()
			name, ref := onlyStart(t, orders)
			p.startRuns(orders)
			p.endRun(name, ref, cowslipbend.EndFailed)
		}
		assertState(t, p, "f", cowslipbend.FlowFailed)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a lasting task starts again however it ends", func(t *testing.T) {
		p := newPool(t, 1)
		s := step(1, 1)
		s.Lasting = true
		p.plan.Submit(flow("f", s))
		for _, kind := range []cowslipbend.EndKind{cowslipbend.EndDone, cowslipbend.EndFailed, cowslipbend.EndFailed, cowslipbend.EndLapsed} {
			orders := p.decide()
			name, ref := onlyStart(t, orders)
			p.startRuns(orders)
			p.endRun(name, ref, kind)
		}
		assertStarts(t, p.decide(), 1)
	})
	t.Run("only committed ends are acknowledged", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()
		name, ref := onlyStart(t, orders)
		p.startRuns(orders)
		p.endRun(name, ref, cowslipbend.EndDone)
		assert.Equal(t, p.report(name).AckedThrough, int64(0))
		p.decideUncommitted()
		assert.Equal(t, p.report(name).AckedThrough, int64(0))
		p.decide()
		assert.Equal(t, p.report(name).AckedThrough, int64(1))
	})
	t.Run("a run resumes from its checkpoint", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()
		name, ref := onlyStart(t, orders)
		p.startRuns(orders)
		p.endRun(name, ref, cowslipbend.EndStopped)
		assert.Equal(t, p.decide()["h0"].Starts[0].Checkpoint, "saved")
	})
}

// newRunningTask returns a pool of two hosts, one of which runs a task of the flow "f".
func newRunningTask(t *testing.T) (*pool, string, cowslipbend.RunRef) {
	t.Helper()
	p := newPool(t, 2)
	p.plan.Submit(flow("f", step(1, 1)))
	orders := p.decide()
	name, ref := onlyStart(t, orders)
	p.startRuns(orders)
	assertStarts(t, p.decide(), 0)
	return p, name, ref
}

func TestLostRuns(t *testing.T) {
	t.Run("a host without reports keeps its runs until its lease has ended", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		delete(p.reports, name)
		p.advance(5 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		p.advance(cowslipbend.Second)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a new incarnation of the runner ends the runs of the old one", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		spec := *p.reports[name].Host
		spec.Life = "again@2"
		p.reports[name].Host, p.reports[name].Running = &spec, nil
		p.report(name)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a host that reports again after a long time is used", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		other := map[string]string{"h0": "h1", "h1": "h0"}[name]
		pausedReport := p.reports[name]
		delete(p.reports, name)
		p.advance(20 * cowslipbend.Second)
		p.startRuns(p.decide())
		delete(p.reports, other)
		p.reports[name] = pausedReport
		pausedReport.Running = nil
		p.advance(20 * cowslipbend.Second)
		found, _ := onlyStart(t, p.decide())
		assert.Equal(t, found, name)
	})
	t.Run("the runs of a runner that is reported as lost end", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		p.reports[name].LostLife, p.reports[name].Host, p.reports[name].Running = p.reports[name].Host.Life, nil, nil
		p.report(name)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("an older report changes nothing", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		late := *p.reports[name]
		late.Number, late.LostLife, late.Host = 1, late.Host.Life, nil
		p.plan.ApplyReport(&late, p.now)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a report of an earlier incarnation of the agent changes nothing", func(t *testing.T) {
		p, name, _ := newRunningTask(t)
		late := *p.reports[name]
		late.LostLife, late.Host = late.Host.Life, nil
		late.Number += 100
		p.advance(cowslipbend.Second)
		p.reports[name].Agent = "b"
		p.answer(name)
		p.plan.ApplyReport(&late, p.now)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("the start timeout counts from the commit", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decideUncommitted()
		_, ref := onlyStart(t, orders)
		p.advance(4 * cowslipbend.Second)
		p.plan.MarkCommitted(p.now)
		answer := *p.reports["h0"]
		answer.Number++
		answer.Results = []cowslipbend.RunResult{{RunRef: ref, Kind: cowslipbend.Started}}
		p.plan.ApplyReport(&answer, p.now)
		orders = p.decide()
		assertStarts(t, orders, 0)
		assert.Equal(t, len(orders["h0"].Stops), 0)
	})
	t.Run("a start without an answer is stopped before the task runs again", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		_, ref := onlyStart(t, p.decide())
		p.advance(3 * cowslipbend.Second)
		orders := p.decide()
		assertStarts(t, orders, 0)
		assert.DeepEqual(t, orders["h0"].Stops, []cowslipbend.RunRef{ref})
		p.reports["h0"].Results = []cowslipbend.RunResult{{RunRef: ref, Kind: cowslipbend.Absent}}
		p.report("h0")
		p.reports["h0"].Results = nil
		p.advance(cowslipbend.Second)
		_, again := onlyStart(t, p.decide())
		assert.Equal(t, again.Run, cowslipbend.Attempt(2))
	})
	t.Run("orders that were not sent are reverted", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()["h0"]
		p.plan.RevertUnsent(&orders, p.now)
		p.advance(500)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a draining host gets no runs", func(t *testing.T) {
		p := newPool(t, 1)
		spec := *p.reports["h0"].Host
		spec.Draining = true
		p.reports["h0"].Host = &spec
		p.report("h0")
		p.plan.Submit(flow("f", step(1, 1)))
		assertStarts(t, p.decide(), 0)
	})
}

func TestBriefReport(t *testing.T) {
	p := newPool(t, 1)
	p.plan.Submit(flow("f", step(2, 1)))
	orders := p.decide()
	assert.Assert(t, orders["h0"].Brief)
	first, second := orders["h0"].Starts[0].RunRef, orders["h0"].Starts[1].RunRef
	answer := func(brief cowslipbend.Incarnation, results ...cowslipbend.RunResult) {
		p.plan.ApplyReport(&cowslipbend.HostReport{Agent: "a", URL: "h0", BriefFor: brief, Results: results}, p.now)
	}
	answer("h0@0", cowslipbend.RunResult{RunRef: second, Kind: cowslipbend.Refused})
	assertState(t, p, "f", cowslipbend.FlowQueued)
	assertStarts(t, p.decide(), 0)
	answer("h0@1", cowslipbend.RunResult{RunRef: first, Kind: cowslipbend.Started}, cowslipbend.RunResult{RunRef: second, Kind: cowslipbend.Absent})
	assertState(t, p, "f", cowslipbend.FlowRunning)
	_, again := onlyStart(t, p.decide())
	assert.Equal(t, again, cowslipbend.RunRef{Task: second.Task, Run: 2})
	// The report on the way when the orders were answered still counts.
	p.reports["h0"].Running = []cowslipbend.RunState{{RunRef: first, Percent: 40}}
	p.report("h0")
	p.endRun("h0", first, cowslipbend.EndDone)
}

// takeOverRun restores a flow with one run, placed on the host h0, into a new planner.
func takeOverRun(t *testing.T) (*pool, cowslipbend.RunRef) {
	t.Helper()
	old := newPool(t, 1)
	f := flow("f", step(1, 1))
	old.plan.Submit(f)
	var ref cowslipbend.RunRef
	for _, agent := range old.plan.Decide(old.now, old.now, old.now) {
		ref = agent.Orders.Starts[0].RunRef
	}
	row, err := old.plan.TakeProgress("f")
	assert.NilError(t, err)
	p := newPool(t, 0)
	assert.NilError(t, p.plan.Restore(f, row, p.now))
	p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
	return p, ref
}

func TestSuccessor(t *testing.T) {
	takeOver := func(t *testing.T) (*pool, string, cowslipbend.RunRef) {
		t.Helper()
		p, ref := takeOverRun(t)
		return p, "h0", ref
	}
	t.Run("a run that its host lists continues", func(t *testing.T) {
		p, name, ref := takeOver(t)
		p.addHost(name, "r0", cowslipbend.RunState{RunRef: ref, Percent: 50})
		assertStarts(t, p.decide(), 0)
		assertState(t, p, "f", cowslipbend.FlowRunning)
	})
	t.Run("an inherited run that a fenced host does not list has ended", func(t *testing.T) {
		p, name, _ := takeOver(t)
		p.addHost(name, "r0")
		_, ref := onlyStart(t, p.decide())
		assert.Equal(t, ref.Run, cowslipbend.Attempt(2))
	})
	t.Run("a run that its host does not list stays placed until the host enforces the epoch", func(t *testing.T) {
		p, name, _ := takeOver(t)
		p.addHost("h1", "r0")
		p.reports[name] = &cowslipbend.HostReport{Agent: "a", URL: name, Fence: epoch - 1, Host: &cowslipbend.HostSpec{Life: "h0@1", Service: "ledger"}}
		p.report(name)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a run on a host that does not report ends with the longest prior lease", func(t *testing.T) {
		p, _, _ := takeOver(t)
		p.addHost("h1", "r0")
		p.advance(14 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		p.advance(2 * cowslipbend.Second)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a new incarnation of a runner ends the runs that an earlier owner placed on the old one", func(t *testing.T) {
		p, name, _ := takeOver(t)
		p.plan.ExpectAgents([]planner.AgentRow{{URL: name, RunnerLife: "h0@1"}}, p.now)
		p.addHost(name, "r0")
		spec := *p.reports[name].Host
		spec.Life = "h0@2"
		p.reports[name] = &cowslipbend.HostReport{Agent: "b", URL: name, Fence: epoch, Host: &spec}
		p.now = p.now.Add(1)
		p.answer(name)
		p.report(name)
		_, ref := onlyStart(t, p.decide())
		assert.Equal(t, ref.Run, cowslipbend.Attempt(2))
	})
	t.Run("an expected host without runs is used once it reports", func(t *testing.T) {
		p := newPool(t, 0)
		p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
		p.plan.Submit(flow("f", step(1, 1)))
		assertStarts(t, p.decide(), 0)
		p.addHost("h0", "r0")
		assertStarts(t, p.decide(), 1)
	})
	t.Run("agents count as changed when a runner has a new incarnation", func(t *testing.T) {
		p := newPool(t, 1)
		assertTaken := func(want ...planner.AgentRow) {
			t.Helper()
			changed, forgotten := p.plan.TakeAgents()
			assert.DeepEqual(t, changed, want)
			assert.Equal(t, len(forgotten), 0)
		}
		assertTaken(planner.AgentRow{URL: "h0", RunnerLife: "h0@1"})
		assert.DeepEqual(t, p.plan.Agents(), []planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}})
		assertTaken()
		spec := *p.reports["h0"].Host
		spec.Life = "h0@2"
		p.reports["h0"].Host = &spec
		p.report("h0")
		assertTaken(planner.AgentRow{URL: "h0", RunnerLife: "h0@2"})
		assert.DeepEqual(t, p.plan.Agents(), []planner.AgentRow{{URL: "h0", RunnerLife: "h0@2"}})
	})
	t.Run("tasks that are done stay done, and take few bytes", func(t *testing.T) {
		const count = 8
		old := newPool(t, 2)
		f := flow("f", step(count, 1), step(1, 1))
		f.Steps[1].DependsOn = []int{0}
		old.plan.Submit(f)
		orders := old.decide()
		old.startRuns(orders)
		for name, o := range orders {
			for i := range o.Starts {
				old.endRun(name, o.Starts[i].RunRef, cowslipbend.EndDone)
			}
		}
		row, err := old.plan.TakeProgress("f")
		assert.NilError(t, err)
		assert.Assert(t, len(row) < count*30, "%d bytes: %s", len(row), row)
		p := newPool(t, 2)
		assert.NilError(t, p.plan.Restore(f, row, p.now))
		_, ref := onlyStart(t, p.decide())
		assert.Equal(t, ref.Task.Step, 1)
	})
	t.Run("the progress of a wide flow is compressed", func(t *testing.T) {
		const count = 200
		old := newPool(t, 50)
		f := flow("f", step(count, 1))
		old.plan.Submit(f)
		orders := old.plan.Decide(old.now, old.now, old.now)
		assert.Equal(t, len(orders), 50)
		row, err := old.plan.TakeProgress("f")
		assert.NilError(t, err)
		assert.Assert(t, len(row) < count*8, "%d bytes", len(row))
		p := newPool(t, 0)
		assert.NilError(t, p.plan.Restore(f, row, p.now))
		p.addHost("h50", "r0")
		assertStarts(t, p.decide(), 0)
	})
	t.Run("compact tasks stay in the rack of those that are done", func(t *testing.T) {
		old := newPool(t, 4)
		f := flow("f", step(5, 2))
		f.Steps[0].Compact = true
		old.plan.Submit(f)
		orders := old.decide()
		old.startRuns(orders)
		rack := cowslipbend.Rack("")
		for name, o := range orders {
			rack = old.reports[name].Host.Rack
			for i := range o.Starts {
				old.endRun(name, o.Starts[i].RunRef, cowslipbend.EndDone)
			}
		}
		row, err := old.plan.TakeProgress("f")
		assert.NilError(t, err)
		p := newPool(t, 4)
		// The other rack has more room.
		for name, r := range p.reports {
			if r.Host.Rack != rack {
				p.reports[name].Host.Size.CPU *= 2
				p.report(name)
			}
		}
		assert.NilError(t, p.plan.Restore(f, row, p.now))
		name, _ := onlyStart(t, p.decide())
		assert.Equal(t, p.reports[name].Host.Rack, rack)
	})
	t.Run("compact tasks wait until the host of those that are done has reported", func(t *testing.T) {
		f := flow("f", step(2, 1))
		f.Steps[0].Compact = true
		p := newPool(t, 0)
		assert.NilError(t, p.plan.Restore(f, []byte(`{"b":true,"r":[{"t":[{"d":true,"n":1,"h":"h0@1"}]}]}`), p.now))
		p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
		p.addHost("h2", "r1")
		assertStarts(t, p.decide(), 0)
		p.addHost("h0", "r0")
		name, _ := onlyStart(t, p.decide())
		assert.Equal(t, name, "h0")
	})
	t.Run("damaged progress is refused", func(t *testing.T) {
		p := newPool(t, 0)
		f := flow("f", step(1, 1))
		for _, row := range []string{"{", "z\x05", `{"r":[{"t":[{"s":4,"n":1}]}]}`} {
			assert.Equal(t, cowslipbend.KindOf(p.plan.Restore(f, []byte(row), 0)), cowslipbend.KindBroken)
		}
	})
}

// It guards against starts on a host that has shrunk below what its runs, also those
// that are being stopped, reserve.
func TestShrunkHost(t *testing.T) {
	p := newPool(t, 1)
	p.plan.Submit(flow("f", step(4, 1)))
	orders := p.decide()
	assert.Equal(t, len(orders["h0"].Starts), 4)
	p.startRuns(orders)
	full := p.reports["h0"].Host.Size
	resize := func(cores cowslipbend.Millicores) {
		spec := *p.reports["h0"].Host
		spec.Size.CPU = cores * cowslipbend.Core
		p.reports["h0"].Host = &spec
		p.report("h0")
	}
	resize(2)
	p.plan.Submit(flow("g", step(1, 1)))
	assert.Equal(t, len(p.decide()["h0"].Starts), 0, "four cores in use of two")
	for i := range 2 {
		p.endRun("h0", orders["h0"].Starts[i].RunRef, cowslipbend.EndDone)
	}
	assert.Equal(t, len(p.decide()["h0"].Starts), 0, "two cores in use of two")
	p.plan.Cancel("f")
	assert.Equal(t, len(p.decide()["h0"].Starts), 0, "two runs are being stopped")
	resize(full.CPU / cowslipbend.Core)
	assert.Equal(t, len(p.decide()["h0"].Starts), 1, "grown again")
}
