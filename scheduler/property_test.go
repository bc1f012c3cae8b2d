package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cowslipbend.dev"
)

// actions performs random actions on a fleet.
type actions struct {
	*fleet
	submitted int
}

func (w *actions) submitOne(t *rapid.T) {
	w.submitted++
	j := job(fmt.Sprint("job-", w.submitted), rapid.IntRange(1, 6).Draw(t, "tasks"), 0)
	j.Size.CPU = cowslipbend.Millicores(rapid.IntRange(1, 16).Draw(t, "cores")) * cowslipbend.Core
	j.Team = rapid.SampledFrom([]cowslipbend.TeamID{"closers", "auditors", "agents"}).Draw(t, "team")
	j.Urgency = rapid.SampledFrom([]cowslipbend.Urgency{"", cowslipbend.Urgent, cowslipbend.Spare}).Draw(t, "urgency")
	w.submit(j)
}

func (w *actions) any(t *rapid.T) *fakeWorker { return rapid.SampledFrom(w.workers).Draw(t, "worker") }

// endOne ends an attempt: it finishes, fails, or is evicted by its worker.
func (w *actions) endOne(t *rapid.T) {
	how := rapid.IntRange(0, 2).Draw(t, "how")
	fake := w.any(t)
	for _, s := range fake.sortedTasks() {
		if s.Service != "" {
			continue
		}
		r := Ref{s.Task, s.Attempt}
		fake.endTask(r, "checkpoint")
		last := &fake.reports[len(fake.reports)-1]
		switch how {
		case 0:
			markFinished(last)
		case 1:
			markFailed(last)
		}
		return
	}
}

func (w *actions) cancelOne(t *rapid.T) {
	if w.submitted == 0 {
		return
	}
	id := cowslipbend.JobID(fmt.Sprint("job-", rapid.IntRange(1, w.submitted).Draw(t, "job")))
	recs, err := w.engine.Cancel([]cowslipbend.JobID{id}, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.apply(recs)
}

func (w *actions) drainOne(t *rapid.T) {
	id := w.any(t).spec.ID
	if w.engine.state.Workers[id] == nil {
		return
	}
	recs, err := w.engine.setDrained(id, rapid.Bool().Draw(t, "drained"), w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.apply(recs)
}

func (w *actions) toggleSilent(t *rapid.T) {
	fake := w.any(t)
	fake.silent = !fake.silent
}

func testSet() *cowslipbend.Set {
	return &cowslipbend.Set{
		Pools: []cowslipbend.Pool{{Name: testPool, Spare: 10}},
		Teams: []cowslipbend.Team{
			{Name: "closers", Share: 2, Quota: cowslipbend.Resources{CPU: 40 * cowslipbend.Core, Mem: 100 * cowslipbend.GB}},
			{Name: "auditors"},
			{Name: "agents"},
		},
		Services: []cowslipbend.Service{{
			Name: "settle", Pool: testPool, Team: "agents", Replicas: 3,
			Size: cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 4 * cowslipbend.GB},
		}},
	}
}

// TestDecisions asserts that no sequence of events reserves more of a worker
// than its size or gives a team more than its quota, and that the index always
// matches the state.
func TestDecisions(t *testing.T) {
	for _, name := range []string{"firstfit", "leastloaded", "guarded"} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				size := cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB}
				w := &actions{fleet: newFleet(rt, 5, size, testPolicy(t, name), Defaults())}
				w.engine.Declare(testSet())
				w.step()
				rt.Repeat(map[string]func(*rapid.T){
					"submit": w.submitOne, "end": w.endOne, "cancel": w.cancelOne, "drain": w.drainOne,
					"silence": w.toggleSilent,
					"step":    func(*rapid.T) { w.step() },
					"long":    func(*rapid.T) { w.steps(25) },
				})
			})
		})
	}
}
