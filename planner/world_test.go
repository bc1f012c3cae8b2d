package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// world is a race in which hosts die, calls are lost and the owner changes.
type world struct {
	*race
	rng   *rand.Rand
	epoch cowslipbend.Epoch
	lives int
	flows map[cowslipbend.JobID]*cowslipbend.Flow
	// rows holds the committed progress.
	rows map[cowslipbend.JobID][]byte
	// done holds the tasks with a run that was done, failures counts the failed
	// runs, and newest holds the highest run number of each task.
	done     map[cowslipbend.TaskRef]bool
	failures map[cowslipbend.TaskRef]int
	newest   map[cowslipbend.TaskRef]cowslipbend.Attempt
}

func newWorld(t *testing.T, seed uint64) *world {
	return &world{
		race: newRace(t, 8, func(_ string, ref cowslipbend.RunRef) cowslipbend.Span {
			if chance(seed, ref) < 0.1 {
				return 7 * cowslipbend.Second
			}
			return 900 + cowslipbend.Span(200*chance("length", ref))
		}),
		rng: rand.New(rand.NewPCG(seed, 1)), epoch: epoch, lives: 1, flows: map[cowslipbend.JobID]*cowslipbend.Flow{}, rows: map[cowslipbend.JobID][]byte{},
		done: map[cowslipbend.TaskRef]bool{}, failures: map[cowslipbend.TaskRef]int{}, newest: map[cowslipbend.TaskRef]cowslipbend.Attempt{},
	}
}

// tick lets the hosts work, and carries out one decision.
func (w *world) tick(faults bool) {
	happens := func(probability float64) bool { return faults && w.rng.Float64() < probability }
	w.now = w.now.Add(raceTick)
	for _, name := range w.names() {
		if happens(0.002) {
			w.lives++
			spec := *w.reports[name].Host
			spec.Life = cowslipbend.Incarnation(fmt.Sprint(name, "@", w.lives))
			w.reports[name].Host, w.reports[name].Running, w.reports[name].Ends = &spec, nil, nil
		}
		w.work(name)
	}
	orders := w.plan.Decide(w.now, w.now, w.now)
	for _, id := range w.plan.DirtyFlows() {
		row, err := w.plan.TakeProgress(id)
		assert.NilError(w.t, err)
		w.rows[id] = row
	}
	if happens(0.01) {
		w.changeOwner()
		return
	}
	w.plan.MarkCommitted(w.now)
	for _, a := range orders {
		switch {
		case happens(0.03):
			w.plan.RevertUnsent(&a.Orders, w.now)
		case happens(0.03) || a.Orders.Life != w.reports[a.URL].Host.Life:
			// The orders are lost.
		default:
			w.carryOut(a, !happens(0.03))
		}
	}
	w.checkHosts()
}

// work ends the runs of a host that are due. One in twenty fails.
func (w *world) work(name string) {
	r := w.reports[name]
	for _, s := range append([]cowslipbend.RunState(nil), r.Running...) {
		switch {
		case w.now.Sub(w.startedAt[s.RunRef]) < w.lengthOf(name, s.RunRef):
		case w.rng.Float64() < 0.05:
			w.failures[s.Task]++
			w.endRun(name, s.RunRef, cowslipbend.EndFailed)
		default:
			w.done[s.Task] = true
			w.endRun(name, s.RunRef, cowslipbend.EndDone)
		}
	}
	for i := range r.Running {
		s := &r.Running[i]
		s.Percent = int(100 * w.now.Sub(w.startedAt[s.RunRef]) / w.lengthOf(name, s.RunRef))
	}
	if w.now%500 == 0 || w.rng.Float64() < 0.1 {
		w.report(name)
	}
}

// newOwnerOf returns the planner of an owner that has loaded the flows and their stored progress.
func newOwnerOf(t testing.TB, epoch cowslipbend.Epoch, flows map[cowslipbend.JobID]*cowslipbend.Flow, rows map[cowslipbend.JobID][]byte, now cowslipbend.Time) *planner.Planner {
	t.Helper()
	plan := planner.New(epoch, options())
	plan.SetRules(&cowslipbend.Rules{})
	for id, f := range flows {
		if row := rows[id]; row != nil {
			assert.NilError(t, plan.Restore(f, row, now))
		} else {
			plan.Submit(f)
		}
	}
	return plan
}

// changeOwner starts a new owner from the committed progress. The orders of the
// last one are not sent.
func (w *world) changeOwner() {
	w.epoch++
	w.plan = newOwnerOf(w.t, w.epoch, w.flows, w.rows, w.now)
	for name, r := range w.reports {
		w.plan.ExpectAgents([]planner.AgentRow{{URL: name, RunnerLife: r.Host.Life}}, w.now)
		r.Fence = w.epoch
	}
	for _, name := range w.names() {
		w.report(name)
	}
}

// carryOut carries out the orders to one host, and answers them if answer is set.
func (w *world) carryOut(a planner.AgentOrders, answer bool) {
	r := w.reports[a.URL]
	for i := range a.Orders.Starts {
		ref := a.Orders.Starts[i].RunRef
		assert.Assert(w.t, !w.done[ref.Task], "%v starts after its task is done", ref)
		assert.Assert(w.t, ref.Run > w.newest[ref.Task], "%v starts after run %d", ref, w.newest[ref.Task])
		w.newest[ref.Task], w.startedAt[ref] = ref.Run, w.now
		r.Running = append(r.Running, cowslipbend.RunState{RunRef: ref})
		r.Results = append(r.Results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Started})
	}
	for _, ref := range a.Orders.Stops {
		if slices.ContainsFunc(r.Running, func(s cowslipbend.RunState) bool { return s.RunRef == ref }) {
			w.endRun(a.URL, ref, cowslipbend.EndStopped)
		} else {
			r.Results = append(r.Results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent})
		}
	}
	if answer {
		w.report(a.URL)
	}
	r.Results = nil
}

// checkHosts checks that no task has too many runs and no host too many tasks.
func (w *world) checkHosts() {
	runs := map[cowslipbend.TaskRef]int{}
	for name, r := range w.reports {
		var used cowslipbend.Millicores
		for i := range r.Running {
			ref := r.Running[i].Task
			s := &w.flows[ref.Job].Steps[ref.Step]
			used += s.Size.CPU
			runs[ref]++
			assert.Assert(w.t, runs[ref] == 1 || (s.AllowsCopies && runs[ref] == 2), "%d runs of %v", runs[ref], ref)
		}
		assert.Assert(w.t, used <= r.Host.Size.CPU, name)
	}
}

// TestRules plays random faults. It guards against a task that runs too often, after
// its end or with a number used before, a flow that is lost or failed too early, and
// runs that are left behind.
func TestRules(t *testing.T) {
	const submitting, settling = 400, 1200
	for seed := range uint64(10) {
		w := newWorld(t, seed)
		for i := range settling {
			if i < submitting && i%16 == 0 {
				s, next := step(4+i%5, 1), step(3, 1)
				s.AllowsCopies, next.AllowsCopies, next.DependsOn = i%32 == 0, true, []int{0}
				f := flow(fmt.Sprint("f", i), s, next)
				f.Policy.MaxAttempts = 3
				w.flows[f.ID] = f
				w.plan.Submit(f)
			}
			w.tick(i < submitting)
		}
		failed := map[cowslipbend.JobID]bool{}
		for ref, count := range w.failures {
			failed[ref.Job] = failed[ref.Job] || count >= 3
		}
		for id := range w.flows {
			state, _ := w.plan.State(id)
			assert.Assert(t, state == cowslipbend.FlowDone || (state == cowslipbend.FlowFailed && failed[id]), "seed %d: %s %s", seed, id, state)
		}
		for name, r := range w.reports {
			assert.Equal(t, len(r.Running), 0, name)
		}
	}
}
