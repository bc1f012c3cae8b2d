package journaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// poolRecords returns the records of a pool with workers and assigned tasks.
func poolRecords(workers, tasks int) []cowslipbend.Record {
	var recs []cowslipbend.Record
	for i := range workers {
		recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecJoined, Worker: &cowslipbend.WorkerSpec{
			ID: cowslipbend.WorkerID(fmt.Sprintf("w%d", i)), Pool: pool, Domain: "d", Rack: "r",
			Size: cowslipbend.Resources{CPU: 32 * cowslipbend.Core, Mem: 125 * cowslipbend.GB},
		}})
	}
	for i := range tasks {
		job := submittedRecord(fmt.Sprintf("j%d", i), 1)
		recs = append(recs, job, assignedRecord(job.Job, i%workers))
	}
	return recs
}

// assignedRecord returns the record that assigns the only task of a job.
func assignedRecord(job *cowslipbend.Job, worker int) cowslipbend.Record {
	return cowslipbend.Record{
		Kind: cowslipbend.RecAssigned, Task: cowslipbend.MakeTaskID(job.ID, 0), Attempt: 1,
		WorkerID: cowslipbend.WorkerID(fmt.Sprintf("w%d", worker)), Size: job.Size,
	}
}

// BenchmarkStarts measures the writes per second and the bytes per start that
// task starts cost at the peak rate, with ten commits a second.
func BenchmarkStarts(b *testing.B) {
	const startsPerSecond, commitsPerSecond = 520, 10
	for range b.N {
		store := newFaultyStore()
		j := store.takeOver(b, "a")
		state := journaler.NewState()
		var bytes int
		for second := range 60 {
			for c := range commitsPerSecond {
				var recs []cowslipbend.Record
				for i := range startsPerSecond / commitsPerSecond {
					job := submittedRecord(fmt.Sprintf("j%d-%d-%d", second, c, i), 1)
					recs = append(recs, job, assignedRecord(job.Job, 0))
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
		b.ReportMetric(float64(bytes)/(60*startsPerSecond), "bytes/start")
	}
}

// BenchmarkRecovery measures the takeover of a pool: loading the snapshot and
// the rows after it from a store in memory.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range []struct{ workers, tasks int }{{11, 100}, {70, 1100}, {810, 12200}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", c.workers, c.tasks), func(b *testing.B) {
			store := newFaultyStore()
			j := store.takeOver(b, "a")
			recs := poolRecords(c.workers, c.tasks)
			assertCommits(b, j, recs...)
			state := loadState(b, j)
			write, err := j.Snapshot(state)
			assert.NilError(b, err)
			assert.NilError(b, write(b.Context()))
			for i := range rowsPerSnapshot - 1 {
				job := submittedRecord(fmt.Sprintf("late%d", i), 1)
				assertCommits(b, j, job, assignedRecord(job.Job, 0))
			}
			data, err := store.Objects.Get(b.Context(), j.Head().Snapshot)
			assert.NilError(b, err)
			for b.Loop() {
				loadState(b, store.takeOver(b, "b"))
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}
