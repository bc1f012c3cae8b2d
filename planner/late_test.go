package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// lateStart is a pool of two hosts. The first has not answered a start of the flow f, and the second
// is preferred.
type lateStart struct {
	*pool
	ref cowslipbend.RunRef
	// until is when the start can't be carried out any more.
	until cowslipbend.Time
}

const lateHost, otherHost = "h0", "h1"

func newLateStart(t *testing.T, def cowslipbend.Step) *lateStart {
	t.Helper()
	p := newPool(t, 1)
	p.plan.Submit(flow("f", def))
	_, ref := onlyStart(t, p.decide())
	p.addHost(otherHost, "r1")
	p.reports[otherHost].Host.Size.CPU *= 2
	return &lateStart{p, ref, p.now.Add(cowslipbend.LateCallTimeout)}
}

// restart has the first host report another incarnation with the runs.
func (l *lateStart) restart(life cowslipbend.Incarnation, running ...cowslipbend.RunState) {
	r, spec := l.reports[lateHost], *l.reports[lateHost].Host
	spec.Life = life
	r.Host, r.Running = &spec, running
	l.report(lateHost)
}

// runUntil lets the time pass, while all that is ordered starts.
func (l *lateStart) runUntil(end cowslipbend.Time) {
	for l.now < end {
		l.startRuns(l.decide())
		l.advance(500 * cowslipbend.Millisecond)
	}
}

// assertAlone has the next incarnation carry the start out, and checks that the task has no other run.
func (l *lateStart) assertAlone(t *testing.T) {
	t.Helper()
	l.runUntil(l.until.Add(-cowslipbend.Second))
	l.restart("h0@3", cowslipbend.RunState{RunRef: l.ref, Percent: 1})
	for name, r := range l.reports {
		for _, s := range r.Running {
			assert.Assert(t, s.Task != l.ref.Task || name == lateHost, "run %d on %s beside run %d on %s", s.Run, name, l.ref.Run, lateHost)
		}
	}
	assertStarts(t, l.decide(), 0)
	l.endRun(lateHost, l.ref, cowslipbend.EndDone)
	assertState(t, l.pool, "f", cowslipbend.FlowDone)
}

// TestLateStartAfterStop guards against a task that runs elsewhere when the next incarnation carries out its stopped start.
func TestLateStartAfterStop(t *testing.T) {
	l := newLateStart(t, step(1, 1))
	l.advance(3 * cowslipbend.Second)
	assert.DeepEqual(t, l.decide()[lateHost].Stops, []cowslipbend.RunRef{l.ref})
	r := l.reports[lateHost]
	r.Results = []cowslipbend.RunResult{{RunRef: l.ref, Kind: cowslipbend.Absent}}
	l.report(lateHost)
	r.Results = nil
	l.assertAlone(t)
}

// TestLateStartAfterRestarts guards against a task that runs elsewhere when the incarnation after the next carries out its start.
func TestLateStartAfterRestarts(t *testing.T) {
	restarted := func(t *testing.T, def cowslipbend.Step) *lateStart {
		t.Helper()
		l := newLateStart(t, def)
		l.advance(cowslipbend.Second)
		l.restart("h0@2")
		return l
	}
	t.Run("it has no other run", func(t *testing.T) { restarted(t, step(1, 1)).assertAlone(t) })
	t.Run("it is not moved while the start may be carried out", func(t *testing.T) {
		l := restarted(t, lasting(1))
		l.startRuns(l.decide())
		l.reports[lateHost].Host.Draining = true
		l.advance(cowslipbend.Second)
		assert.Equal(t, len(l.decide()[lateHost].Stops), 0)
		l.advance(l.until.Sub(l.now))
		assert.Equal(t, len(l.decide()[lateHost].Stops), 1)
	})
	t.Run("it runs elsewhere once the start can't be carried out", func(t *testing.T) {
		l := restarted(t, step(1, 1))
		l.reports[lateHost].Host.Draining = true
		l.report(lateHost)
		assertStarts(t, l.decide(), 0)
		l.advance(l.until.Sub(l.now) - cowslipbend.Second)
		assertStarts(t, l.decide(), 0)
		delays := l.plan.Delays(l.now)
		assert.Equal(t, len(delays), 1)
		assert.Equal(t, delays[0].Reason, planner.DelayBound)
		l.advance(cowslipbend.Second)
		name, _ := onlyStart(t, l.decide())
		assert.Equal(t, name, otherHost)
	})
	t.Run("it runs elsewhere at once if the next runner has another id", func(t *testing.T) {
		l := newLateStart(t, step(1, 1))
		l.advance(cowslipbend.Second)
		next := *l.reports[lateHost].Host
		next.Runner = "h9"
		l.reports[lateHost].Host = &next
		l.restart("h9@2")
		name, _ := onlyStart(t, l.decide())
		assert.Equal(t, name, otherHost)
	})
	t.Run("other tasks of its step run elsewhere", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("f", step(3, 2)))
		assertStarts(t, p.decide(), 2)
		p.addHost(otherHost, "r1")
		l := &lateStart{pool: p}
		l.reports[lateHost].Host.Draining = true
		l.restart("h0@2")
		name, ref := onlyStart(t, p.decide())
		assert.Equal(t, name, otherHost)
		assert.Equal(t, ref.Task.Index, 2)
	})
}
