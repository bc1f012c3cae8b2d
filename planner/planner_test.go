package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

const epoch = 7

// pool drives a planner with hosts that do what they are told.
type pool struct {
	t    *testing.T
	plan *planner.Planner
	now  cowslipbend.Time
	// reports holds the last report of each agent.
	reports map[string]*cowslipbend.HostReport
}

func options() planner.Options {
	return planner.Options{Lease: 5 * cowslipbend.Second, Inherited: 15 * cowslipbend.Second, Keep: cowslipbend.Minute}
}

func newPool(t *testing.T, hosts int) *pool {
	t.Helper()
	p := &pool{t: t, plan: planner.New(epoch, options()), now: 1000, reports: map[string]*cowslipbend.HostReport{}}
	p.plan.Configure(&cowslipbend.Rules{})
	for i := range hosts {
		p.join(fmt.Sprintf("h%d", i), fmt.Sprintf("r%d", i/2))
	}
	return p
}

// join adds a host with 4 cores and 8 GB.
func (p *pool) join(name, rack string, running ...cowslipbend.RunState) {
	p.reports[name] = &cowslipbend.HostReport{
		Agent: "a", URL: name, Fence: epoch, Running: running, Host: &cowslipbend.HostSpec{
			Life: cowslipbend.Incarnation(name + "@1"), Runner: name, Service: "ledger", Rack: cowslipbend.Rack(rack), Labels: []string{"a", rack},
			Size: cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 8 * cowslipbend.GB},
		},
	}
	p.report(name)
}

// report sends an agent's report and returns the reply.
func (p *pool) report(name string) cowslipbend.ReportReply {
	r := p.reports[name]
	r.Number++
	sent := *r
	p.plan.Report(&sent, p.now)
	return p.plan.Reply(&sent, p.now)
}

// decide runs one committed round and returns its orders by agent.
func (p *pool) decide() map[string]cowslipbend.HostOrders {
	orders := p.uncommitted()
	p.plan.Committed(p.now)
	return orders
}

func (p *pool) uncommitted() map[string]cowslipbend.HostOrders {
	orders := map[string]cowslipbend.HostOrders{}
	for _, parcel := range p.plan.Decide(p.now, p.now, p.now) {
		orders[parcel.URL] = parcel.Orders
	}
	for _, id := range p.plan.Dirty() {
		_, err := p.plan.Take(id)
		assert.NilError(p.t, err)
	}
	return orders
}

// obey starts what is ordered on the hosts, which report it.
func (p *pool) obey(orders map[string]cowslipbend.HostOrders) {
	for name, o := range orders {
		for i := range o.Starts {
			p.reports[name].Running = append(p.reports[name].Running, cowslipbend.RunState{RunRef: o.Starts[i].RunRef, Percent: 100})
		}
		p.report(name)
	}
}

// finish ends a run on its host.
func (p *pool) finish(name string, ref cowslipbend.RunRef, how cowslipbend.EndKind) {
	r := p.reports[name]
	var running []cowslipbend.RunState
	for _, s := range r.Running {
		if s.RunRef != ref {
			running = append(running, s)
		}
	}
	r.Running = running
	r.Ends = append(r.Ends, cowslipbend.RunEnd{RunRef: ref, Number: int64(len(r.Ends) + 1), Kind: how, Checkpoint: "saved"})
	p.report(name)
}

// pass lets time go by while all hosts report.
func (p *pool) pass(span cowslipbend.Span) {
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

// starts lists the ordered runs as "task run@host".
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

// only returns the one ordered run and its host.
func only(t *testing.T, orders map[string]cowslipbend.HostOrders) (string, cowslipbend.RunRef) {
	t.Helper()
	assertStarts(t, orders, 1)
	for name, o := range orders {
		if len(o.Starts) > 0 {
			return name, o.Starts[0].RunRef
		}
	}
	return "", cowslipbend.RunRef{}
}

func TestSteps(t *testing.T) {
	t.Run("a step begins when those before it are done", func(t *testing.T) {
		p := newPool(t, 1)
		second := step(1, 1)
		second.DependsOn = []int{0}
		p.plan.Submit(flow("f", step(1, 1), second))
		orders := p.decide()
		name, ref := only(t, orders)
		p.obey(orders)
		assertState(t, p, "f", cowslipbend.FlowRunning)
		assertStarts(t, p.decide(), 0)
		p.finish(name, ref, cowslipbend.EndDone)
		orders = p.decide()
		name, ref = only(t, orders)
		assert.Equal(t, ref.Task.Step, 1)
		p.obey(orders)
		p.finish(name, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("a host is never filled beyond its room, also while runs stop", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(3, 2)))
		orders := p.decide()
		assertStarts(t, orders, 2)
		p.obey(orders)
		p.plan.Cancel("f")
		p.plan.Submit(flow("g", step(1, 2)))
		orders = p.decide()
		assert.Equal(t, len(orders["h0"].Stops), 2)
		assertStarts(t, orders, 0)
		p.finish("h0", orders["h0"].Stops[0], cowslipbend.EndStopped)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("label, spread and rack bind", func(t *testing.T) {
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
		p.obey(orders)
		ref := orders["h0"].Starts[0].RunRef
		p.finish("h0", ref, cowslipbend.EndDone)
		assertState(t, p, "small", cowslipbend.FlowDone)
	})
	t.Run("rounds begin when they are due", func(t *testing.T) {
		p := newPool(t, 1)
		f := flow("f", step(1, 1))
		f.Rounds, f.FirstDueAt, f.RoundInterval = 2, 2000, 1000
		p.plan.Submit(f)
		assertStarts(t, p.decide(), 0)
		p.pass(1000)
		orders := p.decide()
		_, ref := only(t, orders)
		assert.Equal(t, ref.Task.Round, 0)
		p.obey(orders)
		p.pass(1000)
		orders = p.decide()
		_, next := only(t, orders)
		assert.Equal(t, next.Task.Round, 1)
		p.obey(orders)
		p.finish("h0", ref, cowslipbend.EndDone)
		p.finish("h0", next, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
}

func TestAdvice(t *testing.T) {
	p := newPool(t, 2)
	f := flow("f", step(3, 1))
	f.Policy.NeedsAdvice = true
	p.plan.Submit(f)
	assertStarts(t, p.decide(), 0)
	questions := p.plan.Questions(p.now)
	assert.Equal(t, len(questions), 1)
	assert.Equal(t, len(p.plan.Questions(p.now)), 0, "one question is open")
	t.Run("a failed question is asked again after a pause", func(t *testing.T) {
		p.plan.Advise(questions[0], cowslipbend.Advice{}, cowslipbend.Fail(cowslipbend.KindBusy, "", ""), p.now)
		assert.Equal(t, len(p.plan.Questions(p.now)), 0)
		p.pass(cowslipbend.Second)
		questions = p.plan.Questions(p.now)
		assert.Equal(t, len(questions), 1)
	})
	t.Run("only hosts with a ticket run the step, while it is valid", func(t *testing.T) {
		good := cowslipbend.Advice{Tickets: map[string]string{"h1": "ticket"}, ValidFor: 3 * cowslipbend.Second}
		p.plan.Advise(questions[0], good, nil, p.now)
		orders := p.decide()
		assertStarts(t, orders, 3)
		assert.Equal(t, orders["h1"].Starts[0].Ticket, "ticket")
		p.obey(orders)
		p.finish("h1", orders["h1"].Starts[0].RunRef, cowslipbend.EndFailed)
		p.pass(3 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		assert.Equal(t, len(p.plan.Questions(p.now)), 1)
	})
}

func TestEnds(t *testing.T) {
	t.Run("a flow fails when a task has no attempt left", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		for range 2 {
			orders := p.decide()
			name, ref := only(t, orders)
			p.obey(orders)
			p.finish(name, ref, cowslipbend.EndFailed)
		}
		assertState(t, p, "f", cowslipbend.FlowFailed)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a lasting task starts again however it ends", func(t *testing.T) {
		p := newPool(t, 1)
		s := step(1, 1)
		s.Lasting = true
		p.plan.Submit(flow("f", s))
		for _, how := range []cowslipbend.EndKind{cowslipbend.EndDone, cowslipbend.EndFailed, cowslipbend.EndFailed, cowslipbend.EndLapsed} {
			orders := p.decide()
			name, ref := only(t, orders)
			p.obey(orders)
			p.finish(name, ref, how)
		}
		assertStarts(t, p.decide(), 1)
	})
	t.Run("only committed ends are acknowledged", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()
		name, ref := only(t, orders)
		p.obey(orders)
		p.finish(name, ref, cowslipbend.EndDone)
		assert.Equal(t, p.report(name).AckedThrough, int64(0))
		p.uncommitted()
		assert.Equal(t, p.report(name).AckedThrough, int64(0))
		p.decide()
		assert.Equal(t, p.report(name).AckedThrough, int64(1))
	})
	t.Run("a run resumes from its checkpoint", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()
		name, ref := only(t, orders)
		p.obey(orders)
		p.finish(name, ref, cowslipbend.EndStopped)
		assert.Equal(t, p.decide()["h0"].Starts[0].Checkpoint, "saved")
	})
}

func TestLostRuns(t *testing.T) {
	begin := func(t *testing.T) (*pool, string, cowslipbend.RunRef) {
		p := newPool(t, 2)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()
		name, ref := only(t, orders)
		p.obey(orders)
		assertStarts(t, p.decide(), 0)
		return p, name, ref
	}
	t.Run("a silent host keeps its runs until its lease has lapsed", func(t *testing.T) {
		p, name, _ := begin(t)
		delete(p.reports, name)
		p.pass(5 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		p.pass(cowslipbend.Second)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a new life of the runner ends the runs of the old one", func(t *testing.T) {
		p, name, _ := begin(t)
		spec := *p.reports[name].Host
		spec.Life = "again@2"
		p.reports[name].Host, p.reports[name].Running = &spec, nil
		p.report(name)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a host that was silent for long is used again", func(t *testing.T) {
		p, name, _ := begin(t)
		other := map[string]string{"h0": "h1", "h1": "h0"}[name]
		silent := p.reports[name]
		delete(p.reports, name)
		p.pass(20 * cowslipbend.Second)
		p.obey(p.decide())
		delete(p.reports, other)
		p.reports[name] = silent
		silent.Running = nil
		p.pass(20 * cowslipbend.Second)
		found, _ := only(t, p.decide())
		assert.Equal(t, found, name)
	})
	t.Run("a runner that was given up ends its runs", func(t *testing.T) {
		p, name, _ := begin(t)
		p.reports[name].LostLife, p.reports[name].Host, p.reports[name].Running = p.reports[name].Host.Life, nil, nil
		p.report(name)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("an older report changes nothing", func(t *testing.T) {
		p, name, _ := begin(t)
		late := *p.reports[name]
		late.Number, late.LostLife, late.Host = 1, late.Host.Life, nil
		p.plan.Report(&late, p.now)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a report of an earlier process of the agent changes nothing", func(t *testing.T) {
		p, name, _ := begin(t)
		late := *p.reports[name]
		late.LostLife, late.Host = late.Host.Life, nil
		late.Number += 100
		p.reports[name].Agent = "b"
		p.report(name)
		p.plan.Report(&late, p.now)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a run that waited long for its commit is not missed", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.uncommitted()
		_, ref := only(t, orders)
		p.pass(4 * cowslipbend.Second)
		p.plan.Committed(p.now)
		answer := *p.reports["h0"]
		answer.Number++
		answer.Results = []cowslipbend.RunResult{{RunRef: ref, Kind: cowslipbend.Started}}
		p.plan.Report(&answer, p.now)
		orders = p.decide()
		assertStarts(t, orders, 0)
		assert.Equal(t, len(orders["h0"].Stops), 0)
	})
	t.Run("a start without an answer is stopped before the task runs again", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		_, ref := only(t, p.decide())
		p.pass(3 * cowslipbend.Second)
		orders := p.decide()
		assertStarts(t, orders, 0)
		assert.DeepEqual(t, orders["h0"].Stops, []cowslipbend.RunRef{ref})
		p.reports["h0"].Results = []cowslipbend.RunResult{{RunRef: ref, Kind: cowslipbend.Absent}}
		p.report("h0")
		p.reports["h0"].Results = nil
		p.pass(cowslipbend.Second)
		_, again := only(t, p.decide())
		assert.Equal(t, again.Run, cowslipbend.Attempt(2))
	})
	t.Run("orders of which no byte was sent are taken back", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(1, 1)))
		orders := p.decide()["h0"]
		p.plan.Unsent(&orders, p.now)
		p.pass(500)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a draining host gets nothing", func(t *testing.T) {
		p := newPool(t, 1)
		spec := *p.reports["h0"].Host
		spec.Draining = true
		p.reports["h0"].Host = &spec
		p.report("h0")
		p.plan.Submit(flow("f", step(1, 1)))
		assertStarts(t, p.decide(), 0)
	})
}

func TestSuccessor(t *testing.T) {
	// succeed restores a flow with one placed run into a new planner.
	succeed := func(t *testing.T) (*pool, string, cowslipbend.RunRef) {
		old := newPool(t, 1)
		f := flow("f", step(1, 1))
		old.plan.Submit(f)
		var row []byte
		var ref cowslipbend.RunRef
		for _, parcel := range old.plan.Decide(old.now, old.now, old.now) {
			ref = parcel.Orders.Starts[0].RunRef
		}
		row, err := old.plan.Take("f")
		assert.NilError(t, err)
		p := newPool(t, 0)
		assert.NilError(t, p.plan.Restore(f, row, p.now))
		return p, "h0", ref
	}
	t.Run("a run that its host lists goes on", func(t *testing.T) {
		p, name, ref := succeed(t)
		p.join(name, "r0", cowslipbend.RunState{RunRef: ref, Percent: 50})
		assertStarts(t, p.decide(), 0)
		assertState(t, p, "f", cowslipbend.FlowRunning)
	})
	t.Run("a run that a fenced host does not list can never begin", func(t *testing.T) {
		p, name, _ := succeed(t)
		p.join(name, "r0")
		_, ref := only(t, p.decide())
		assert.Equal(t, ref.Run, cowslipbend.Attempt(2))
	})
	t.Run("before the host enforces the epoch nothing is concluded", func(t *testing.T) {
		p, name, _ := succeed(t)
		p.join("h1", "r0")
		p.reports[name] = &cowslipbend.HostReport{Agent: "a", URL: name, Fence: epoch - 1, Host: &cowslipbend.HostSpec{Life: "h0@1", Service: "ledger"}}
		p.report(name)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a host that is not heard of is waited out", func(t *testing.T) {
		p, _, _ := succeed(t)
		p.join("h1", "r0")
		p.pass(14 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		p.pass(2 * cowslipbend.Second)
		assertStarts(t, p.decide(), 1)
	})
	t.Run("a new life of a runner ends the runs that an earlier owner placed on the old one", func(t *testing.T) {
		p, name, _ := succeed(t)
		p.plan.Expect([]planner.AgentRow{{URL: name, Host: "h0@1"}}, p.now)
		p.join(name, "r0")
		spec := *p.reports[name].Host
		spec.Life = "h0@2"
		p.reports[name] = &cowslipbend.HostReport{Agent: "b", URL: name, Fence: epoch, Host: &spec}
		p.report(name)
		_, ref := only(t, p.decide())
		assert.Equal(t, ref.Run, cowslipbend.Attempt(2))
	})
	t.Run("an expected host without runs is used once it reports", func(t *testing.T) {
		p := newPool(t, 0)
		p.plan.Expect([]planner.AgentRow{{URL: "h0", Host: "h0@1"}}, p.now)
		p.plan.Submit(flow("f", step(1, 1)))
		assertStarts(t, p.decide(), 0)
		p.join("h0", "r0")
		assertStarts(t, p.decide(), 1)
	})
	t.Run("agents are told again when a runner has a new life", func(t *testing.T) {
		p := newPool(t, 1)
		assert.Assert(t, p.plan.Joined())
		assert.DeepEqual(t, p.plan.Agents(), []planner.AgentRow{{URL: "h0", Host: "h0@1"}})
		assert.Assert(t, !p.plan.Joined())
		spec := *p.reports["h0"].Host
		spec.Life = "h0@2"
		p.reports["h0"].Host = &spec
		p.report("h0")
		assert.Assert(t, p.plan.Joined())
		assert.DeepEqual(t, p.plan.Agents(), []planner.AgentRow{{URL: "h0", Host: "h0@2"}})
	})
	t.Run("damaged progress is refused", func(t *testing.T) {
		p := newPool(t, 0)
		f := flow("f", step(1, 1))
		for _, row := range []string{"{", `{"r":[{"t":[{"s":4,"n":1}]}]}`} {
			assert.Equal(t, cowslipbend.KindOf(p.plan.Restore(f, []byte(row), 0)), cowslipbend.KindBroken)
		}
	})
}
