package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// longLeases returns options with which runners accept longer leases than the owner grants.
func longLeases() planner.Options {
	o := options()
	o.MaxRunnerLease, o.MaxPriorLease = 12*cowslipbend.Second, 6*cowslipbend.Second
	return o
}

// TestLeaseOfRestartedRunner guards against tasks that are started again while they run on a
// host that was cut off soon after its runner had started again under its id: a call that was
// meant for the earlier incarnation had given it a longer lease than the owner.
func TestLeaseOfRestartedRunner(t *testing.T) {
	assertGivenUp := func(t *testing.T, p *pool) {
		t.Helper()
		for _, want := range []int{0, 1} {
			p.advance(longLeases().MaxRunnerLease/2 + 300)
			assertStarts(t, p.decide(), want)
		}
	}
	t.Run("that the owner has found", func(t *testing.T) {
		p := newPool(t, 0)
		p.plan = planner.New(epoch, longLeases())
		p.plan.SetRules(&cowslipbend.Rules{})
		p.addHost("h0", "r0")
		p.plan.Submit(flow("f", step(1, 1)))
		name, ref := onlyStart(t, p.decide())
		p.addHost("h1", "r0")
		spec := *p.reports[name].Host
		spec.Life = "h0@2"
		p.reports[name].Host, p.reports[name].Running = &spec, []cowslipbend.RunState{{RunRef: ref, Percent: 10}}
		assert.Equal(t, p.report(name).LeaseGrant, longLeases().MaxLease)
		delete(p.reports, name)
		assertGivenUp(t, p)
	})
	t.Run("that an earlier owner has found", func(t *testing.T) {
		old, _ := takeOverRun(t)
		p := newPool(t, 0)
		p.plan = planner.New(epoch, longLeases())
		p.plan.SetRules(&cowslipbend.Rules{})
		f := flow("f", step(1, 1))
		row, err := old.plan.TakeProgress("f")
		assert.NilError(t, err)
		assert.NilError(t, p.plan.Restore(f, row, p.now))
		p.plan.ExpectAgents([]planner.AgentRow{{URL: "h0", RunnerLife: "h0@1"}}, p.now)
		p.addHost("h1", "r0")
		assertGivenUp(t, p)
	})
}

// TestUnansweredStartKeepsItsPlace guards against a task that is started elsewhere after its runner
// has crashed, while the next incarnation may still carry out the start that this one left unanswered.
func TestUnansweredStartKeepsItsPlace(t *testing.T) {
	crash := func(t *testing.T) (*pool, cowslipbend.RunRef, *cowslipbend.HostSpec) {
		t.Helper()
		p := newPool(t, 1)
		p.plan.Submit(flow("answered", step(1, 1)))
		p.startRuns(p.decide())
		p.plan.Submit(flow("f", step(1, 1)))
		name, ref := onlyStart(t, p.decide())
		p.addHost("h1", "r0")
		next, r := *p.reports[name].Host, p.reports[name]
		next.Life = cowslipbend.Incarnation(name + "@2")
		r.LostLife, r.Host, r.Running = r.Host.Life, nil, nil
		r.Loss = &cowslipbend.HostLoss{Life: r.LostLife, Cause: cowslipbend.LossCrashed, Unanswered: []cowslipbend.RunRef{ref}}
		p.report(name)
		_, other := onlyStart(t, p.decide())
		assert.Equal(t, other.Task.Job, cowslipbend.JobID("answered"), "a run whose start was answered has ended")
		return p, ref, &next
	}
	restart := func(p *pool, next *cowslipbend.HostSpec, running ...cowslipbend.RunState) {
		r := p.reports[next.Runner]
		r.LostLife, r.Host, r.Running = "", next, running
		p.report(next.Runner)
	}
	t.Run("until that refuses it", func(t *testing.T) {
		p, ref, next := crash(t)
		p.advance(5 * cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		restart(p, next)
		_, again := onlyStart(t, p.decide())
		assert.Equal(t, again.Task, ref.Task)
	})
	t.Run("unless that has carried it out", func(t *testing.T) {
		p, ref, next := crash(t)
		restart(p, next, cowslipbend.RunState{RunRef: ref, Percent: 10})
		assertStarts(t, p.decide(), 0)
		p.endRun(next.Runner, ref, cowslipbend.EndDone)
		assertState(t, p, "f", cowslipbend.FlowDone)
	})
	t.Run("until it can't be carried out any more", func(t *testing.T) {
		p, ref, _ := crash(t)
		p.advance(cowslipbend.LateCallTimeout - cowslipbend.Second)
		assertStarts(t, p.decide(), 0)
		p.advance(2 * cowslipbend.Second)
		_, again := onlyStart(t, p.decide())
		assert.Equal(t, again.Task, ref.Task)
	})
	t.Run("until it was refused after all", func(t *testing.T) {
		p, ref, next := crash(t)
		r := cowslipbend.HostReport{Agent: "a", URL: next.Runner, BriefFor: "h0@1", Results: []cowslipbend.RunResult{{RunRef: ref, Kind: cowslipbend.Refused}}}
		p.plan.ApplyReport(&r, p.now)
		_, again := onlyStart(t, p.decide())
		assert.Equal(t, again.Task, ref.Task)
	})
}

// TestCrashCountsOnce guards against a job that is shown as failed though no task of it has
// crashed a host twice: the agent reports the loss of its runner to each new owner until the
// runner is back, and the run whose start was not answered keeps its place meanwhile.
func TestCrashCountsOnce(t *testing.T) {
	p := newPool(t, 1)
	f := flow("f", step(1, 1))
	p.plan.Submit(f)
	name, ref := onlyStart(t, p.decide())
	r := p.reports[name]
	r.LostLife, r.Host = r.Host.Life, nil
	r.Loss = &cowslipbend.HostLoss{
		Life: r.LostLife, Cause: cowslipbend.LossCrashed,
		Young: []cowslipbend.LostRun{{RunRef: ref, Age: 2}}, Unanswered: []cowslipbend.RunRef{ref},
	}
	p.report(name)
	for range 3 {
		row, err := p.plan.TakeProgress("f")
		assert.NilError(t, err)
		successor := newPool(t, 0)
		assert.NilError(t, successor.plan.Restore(f, row, successor.now))
		successor.reports[name] = r
		successor.report(name)
		successor.report(name)
		p = successor
	}
	assertState(t, p, "f", cowslipbend.FlowQueued)
}
