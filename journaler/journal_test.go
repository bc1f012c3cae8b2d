package journaler_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/timer"
)

const pool = cowslipbend.PoolID("p")

// bench is a store with faults and what is under them.
type bench struct {
	journaler.Store
	faults *keeper.Faults
	table  *keeper.Table
}

func newBench() bench {
	b := bench{faults: keeper.NewFaults(1, &timer.Manual{}), table: &keeper.Table{}}
	b.Store = journaler.Store{Table: b.faults.Table(b.table), Objects: b.faults.Objects(&keeper.Objects{})}
	return b
}

func (b bench) take(t testing.TB, id cowslipbend.EntryID) *journaler.Journal {
	t.Helper()
	head, version, err := b.ReadHead(t.Context(), pool)
	assert.NilError(t, err)
	j, err := b.Take(t.Context(), pool, head, version, journaler.Witness{ID: id, Life: cowslipbend.Incarnation("life-" + id)})
	assert.NilError(t, err)
	return j
}

func submitted(id string, tasks int) cowslipbend.Record {
	return cowslipbend.Record{Kind: cowslipbend.RecSubmitted, Job: &cowslipbend.Job{
		ID: cowslipbend.JobID(id), Pool: pool, Team: "t", Class: "c", Tasks: tasks,
		Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB},
	}}
}

func assertCommits(t testing.TB, j *journaler.Journal, recs ...cowslipbend.Record) {
	t.Helper()
	b, err := j.Prepare(recs)
	assert.NilError(t, err)
	assert.NilError(t, j.Commit(t.Context(), b))
}

func load(t testing.TB, j *journaler.Journal) *journaler.State {
	t.Helper()
	state, err := j.Load(t.Context())
	assert.NilError(t, err)
	return state
}

func TestCommitSettlesLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []keeper.Fault
	}{
		{"answer lost", []keeper.Fault{keeper.LoseAnswer}},
		{"request lost", []keeper.Fault{keeper.LoseRequest}},
		{"refused", []keeper.Fault{keeper.Refuse}},
		{"one after the other", []keeper.Fault{keeper.LoseRequest, keeper.Refuse, keeper.LoseAnswer}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newBench()
			j := store.take(t, "a")
			b, err := j.Prepare([]cowslipbend.Record{submitted("j", 1)})
			assert.NilError(t, err)
			store.faults.Next(c.script...)
			for range len(c.script) {
				err = j.Commit(t.Context(), b)
			}
			if err != nil {
				err = j.Commit(t.Context(), b)
			}
			assert.NilError(t, err)
			assert.Equal(t, j.Head().Seq, cowslipbend.Seq(1))
			assert.Equal(t, len(load(t, store.take(t, "b")).Jobs), 1)
		})
	}
	t.Run("a repeat finds its own effect after an outage", func(t *testing.T) {
		store := newBench()
		store.Table = cut{store.Table, store.faults}
		j := store.take(t, "a")
		b, err := j.Prepare([]cowslipbend.Record{submitted("j", 1)})
		assert.NilError(t, err)
		store.faults.Next(keeper.LoseAnswer)
		assert.Equal(t, cowslipbend.KindOf(j.Commit(t.Context(), b)), cowslipbend.KindUnknown)
		store.faults.Down(false)
		assert.NilError(t, j.Commit(t.Context(), b))
		assert.Equal(t, j.Head().Seq, cowslipbend.Seq(1))
	})
}

// cut is a table that is down from a commit with a lost answer on, so that it
// cannot be read back.
type cut struct {
	cowslipbend.Table
	faults *keeper.Faults
}

func (c cut) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	version, err := c.Table.Commit(ctx, txn)
	c.faults.Down(cowslipbend.KindOf(err) == cowslipbend.KindUnknown)
	return version, err
}

func TestFence(t *testing.T) {
	store := newBench()
	a := store.take(t, "a")
	assertCommits(t, a, submitted("j1", 1))
	late, err := a.Prepare([]cowslipbend.Record{submitted("j2", 1)})
	assert.NilError(t, err)
	b := store.take(t, "b")
	assert.Equal(t, b.Head().Epoch, cowslipbend.Epoch(2))
	assert.Equal(t, cowslipbend.KindOf(a.Commit(t.Context(), late)), cowslipbend.KindConflict)
	assert.Equal(t, len(load(t, b).Jobs), 1)
}

func TestWatchersWhileUnsettled(t *testing.T) {
	store := newBench()
	j := store.take(t, "a")
	list := []journaler.Witness{{ID: "w", Life: "1"}}
	b, err := j.Prepare(nil, func(h *journaler.Head) { h.Witnesses = list })
	assert.NilError(t, err)
	store.faults.Next(keeper.Refuse)
	assert.Equal(t, cowslipbend.KindOf(j.Commit(t.Context(), b)), cowslipbend.KindDown)
	assert.DeepEqual(t, j.Watchers(), [][]journaler.Witness{nil, list})
	assert.NilError(t, j.Commit(t.Context(), b))
	assert.DeepEqual(t, j.Watchers(), [][]journaler.Witness{list})
}

// rows is the count of commits between two snapshots.
const rows = 1000

func TestSnapshots(t *testing.T) {
	store := newBench()
	j := store.take(t, "a")
	state := journaler.NewState()
	snapshots := 0
	for i := range 3 * rows {
		r := submitted(fmt.Sprintf("j%d", i), 1)
		assertCommits(t, j, r)
		assert.NilError(t, state.Apply(r))
		if j.Due() {
			write, err := j.Snapshot(state)
			assert.NilError(t, err)
			assert.NilError(t, write(t.Context()))
			snapshots++
		}
	}
	assert.Equal(t, snapshots, 3)
	_, writes := store.table.Counts()
	assert.Assert(t, writes+int64(snapshots) <= 2*3*rows, "%d writes of %d commits", writes, 3*rows)
	kept, err := store.table.Scan(t.Context(), "log/", "", 4*rows)
	assert.NilError(t, err)
	assert.Assert(t, len(kept) <= rows+1, "%d rows are kept", len(kept))
	assert.DeepEqual(t, load(t, store.take(t, "b")), state)
}

func TestGapIsFound(t *testing.T) {
	store := newBench()
	j := store.take(t, "a")
	assertCommits(t, j, submitted("j1", 1))
	assertCommits(t, j, submitted("j2", 1))
	_, err := store.Table.Commit(t.Context(), cowslipbend.Txn{Dels: []string{"log/p/0000000000000001"}})
	assert.NilError(t, err)
	_, err = j.Load(t.Context())
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken)
}

func TestDroppedJobs(t *testing.T) {
	job := submitted("j", 1)
	state := journaler.NewState()
	apply := func(recs ...cowslipbend.Record) {
		t.Helper()
		for _, r := range recs {
			assert.NilError(t, state.Apply(r))
		}
	}
	apply(job, cowslipbend.Record{Kind: cowslipbend.RecCancelled, JobID: "j", At: 1})
	assert.Equal(t, len(state.Expired(cowslipbend.Time(journaler.KeepEnded), nil, 10)), 0)
	late := cowslipbend.Time(journaler.KeepEnded) + 1
	assert.Equal(t, len(state.Expired(late, map[cowslipbend.JobID]bool{"j": true}, 10)), 0)
	apply(state.Expired(late, nil, 10)...)
	assert.Equal(t, len(state.Jobs)+len(state.Tasks), 0)

	known, same := state.Known(job.Job)
	assert.Assert(t, known && same)
	other := *job.Job
	other.Tasks = 2
	known, same = state.Known(&other)
	assert.Assert(t, known && !same)

	apply(submitted("k", 1), cowslipbend.Record{Kind: cowslipbend.RecCancelled, JobID: "k", At: late})
	apply(state.Expired(late.Add(journaler.KeepIDs+journaler.KeepEnded+1), nil, 10)...)
	known, _ = state.Known(job.Job)
	assert.Assert(t, !known, "the id is kept for ever")
}
