package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// roundStarts is the number of decisions in one benchmark round: an owner that
// starts 520 tasks/s in ten rounds/s makes that many.
const roundStarts = 52

// BenchmarkDecision measures one placement with the work around it: the end of
// a task, the decision, and applying both records.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ workers, running, queued, classes, teams int }{
		{11, 165, 150, 6, 4}, {100, 1500, 1360, 12, 45}, {405, 6100, 5500, 20, 180}, {810, 12200, 11000, 20, 360},
	} {
		for _, policy := range []string{"firstfit", "leastloaded", "guarded"} {
			b.Run(fmt.Sprintf("%s/workers=%d", policy, size.workers), func(b *testing.B) {
				f := newSaturatedFleet(b, size.workers, size.running, size.queued, size.classes, size.teams, policy)
				b.ReportAllocs()
				b.ResetTimer()
				for n := 0; n < b.N; n += roundStarts {
					f.runRound(b)
				}
			})
		}
	}
}

// saturatedFleet is a fleet with full workers and a long queue.
type saturatedFleet struct {
	*fleet
	running   []Ref
	submitted int
}

func newSaturatedFleet(b *testing.B, workers, running, queued, classes, teams int, policy string) *saturatedFleet {
	opts := Defaults()
	opts.MaxStarts = running
	unit := job("unit", 1, cowslipbend.Core).Size
	f := &saturatedFleet{fleet: newFleet(b, workers, unit, testPolicy(b, policy), opts)}
	for i, w := range f.workers {
		w.spec.Size = unit.Times(int64(running*(i+1)/workers - running*i/workers))
		f.sendHeartbeat(w)
	}
	services := running / 2
	f.engine.Declare(&cowslipbend.Set{Pools: []cowslipbend.Pool{{Name: testPool}}, Services: []cowslipbend.Service{{
		Name: "settle", Pool: testPool, Team: "agents", Replicas: services, Size: job("x", 1, cowslipbend.Core).Size,
	}}})
	for range 2 {
		f.apply(f.engine.Decide(f.now, f.now))
	}
	for i := range running - services + queued {
		j := job(fmt.Sprint("job-", i), 1, cowslipbend.Core)
		j.Class = cowslipbend.Class(fmt.Sprint("class-", i%classes))
		j.Team = cowslipbend.TeamID(fmt.Sprint("team-", i%teams))
		f.submit(j)
	}
	f.apply(f.engine.Decide(f.now, f.now))
	var started []cowslipbend.Record
	for _, t := range f.engine.index.pending {
		started = append(started, cowslipbend.Record{Kind: cowslipbend.RecStarted, Task: t.ID, Attempt: t.Attempt})
		if f.engine.state.Jobs[t.Job].Batch() {
			f.running = append(f.running, Ref{t.ID, t.Attempt})
		}
	}
	assert.Equal(b, len(started), running)
	f.apply(started)
	f.submitted = running + queued
	return f
}

// runRound ends roundStarts batch tasks, submits as many, decides and applies
// the records.
func (f *saturatedFleet) runRound(b *testing.B) {
	for range roundStarts {
		r := f.running[0]
		f.running = f.running[1:]
		f.apply([]cowslipbend.Record{{Kind: cowslipbend.RecFinished, Task: r.Task, Attempt: r.Attempt}})
		f.submitted++
		j := job(fmt.Sprint("job-", f.submitted), 1, cowslipbend.Core)
		j.Class = cowslipbend.Class(fmt.Sprint("class-", f.submitted%roundStarts))
		f.submit(j)
	}
	recs := f.engine.Decide(f.now, f.now)
	assert.Equal(b, len(recs), roundStarts)
	f.apply(recs)
	for _, r := range recs {
		if r.Kind != cowslipbend.RecAssigned {
			continue
		}
		f.running = append(f.running, Ref{r.Task, r.Attempt})
		f.apply([]cowslipbend.Record{{Kind: cowslipbend.RecStarted, Task: r.Task, Attempt: r.Attempt}})
	}
}
