package journaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// full returns the records of a pool with workers and running tasks.
func full(workers, tasks int) []cowslipbend.Record {
	var recs []cowslipbend.Record
	for i := range workers {
		recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecJoined, Worker: &cowslipbend.WorkerSpec{
			ID: cowslipbend.WorkerID(fmt.Sprintf("w%d", i)), Pool: pool, Domain: "d", Rack: "r",
			Size: cowslipbend.Resources{CPU: 32 * cowslipbend.Core, Mem: 125 * cowslipbend.GB},
		}})
	}
	for i := range tasks {
		job := submitted(fmt.Sprintf("j%d", i), 1)
		recs = append(recs, job, started(job.Job, i%workers))
	}
	return recs
}

// started assigns the one task of a job.
func started(job *cowslipbend.Job, worker int) cowslipbend.Record {
	return cowslipbend.Record{
		Kind: cowslipbend.RecAssigned, Task: cowslipbend.MakeTaskID(job.ID, 0), Attempt: 1,
		WorkerID: cowslipbend.WorkerID(fmt.Sprintf("w%d", worker)), Size: job.Size,
	}
}

// BenchmarkStarts measures the writes and bytes that task starts cost when
// they come at the peak rate, ten commits a second.
func BenchmarkStarts(b *testing.B) {
	const peak, commits = 520, 10 // a second
	for range b.N {
		store := newBench()
		j := store.take(b, "a")
		state := journaler.NewState()
		var bytes int
		for second := range 60 {
			for c := range commits {
				var recs []cowslipbend.Record
				for i := range peak / commits {
					job := submitted(fmt.Sprintf("j%d-%d-%d", second, c, i), 1)
					recs = append(recs, job, started(job.Job, 0))
				}
				assertCommits(b, j, recs...)
				for _, r := range recs {
					assert.NilError(b, state.Apply(r))
				}
			}
		}
		rows, err := store.table.Scan(b.Context(), "log/", "", 1<<20)
		assert.NilError(b, err)
		for _, r := range rows {
			bytes += len(r.Value)
		}
		_, writes := store.table.Counts()
		b.ReportMetric(float64(writes)/60, "writes/s")
		b.ReportMetric(float64(bytes)/(60*peak), "bytes/start")
	}
}

// BenchmarkRecovery measures taking a pool over: snapshot and the rows behind
// it, from memory.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range []struct{ workers, tasks int }{{11, 100}, {70, 1100}, {810, 12200}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", c.workers, c.tasks), func(b *testing.B) {
			store := newBench()
			j := store.take(b, "a")
			recs := full(c.workers, c.tasks)
			assertCommits(b, j, recs...)
			state := load(b, j)
			write, err := j.Snapshot(state)
			assert.NilError(b, err)
			assert.NilError(b, write(b.Context()))
			for i := range rows - 1 {
				job := submitted(fmt.Sprintf("late%d", i), 1)
				assertCommits(b, j, job, started(job.Job, 0))
			}
			data, err := store.Objects.Get(b.Context(), j.Head().Snapshot)
			assert.NilError(b, err)
			for b.Loop() {
				load(b, store.take(b, "b"))
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}
