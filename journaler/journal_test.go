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

// faultyStore is a store that injects faults, with the table beneath it.
type faultyStore struct {
	journaler.Store
	faults *keeper.Faults
	table  *keeper.Table
}

func newFaultyStore() faultyStore {
	s := faultyStore{faults: keeper.NewFaults(1, &timer.Manual{}), table: &keeper.Table{}}
	s.Store = journaler.Store{Table: s.faults.Table(s.table), Objects: s.faults.Objects(&keeper.Objects{})}
	return s
}

func (s faultyStore) takeOver(t testing.TB, id cowslipbend.EntryID) *journaler.Journal {
	t.Helper()
	head, version, err := s.ReadHead(t.Context(), pool)
	assert.NilError(t, err)
	j, err := s.TakeOver(t.Context(), pool, head, version, journaler.EntryRef{ID: id, Life: cowslipbend.Incarnation("life-" + id)})
	assert.NilError(t, err)
	return j
}

func submittedRecord(id string, tasks int) cowslipbend.Record {
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

func loadState(t testing.TB, j *journaler.Journal) *journaler.State {
	t.Helper()
	state, err := j.Load(t.Context())
	assert.NilError(t, err)
	return state
}

func TestCommitRecoversFromLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []keeper.Fault
	}{
		{"answer lost", []keeper.Fault{keeper.LoseReply}},
		{"request lost", []keeper.Fault{keeper.LoseRequest}},
		{"refused", []keeper.Fault{keeper.Refuse}},
		{"request lost, then refused, then answer lost", []keeper.Fault{keeper.LoseRequest, keeper.Refuse, keeper.LoseReply}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newFaultyStore()
			j := store.takeOver(t, "a")
			b, err := j.Prepare([]cowslipbend.Record{submittedRecord("j", 1)})
			assert.NilError(t, err)
			store.faults.ScriptFaults(c.faults...)
			for range len(c.faults) {
				err = j.Commit(t.Context(), b)
			}
			if err != nil {
				err = j.Commit(t.Context(), b)
			}
			assert.NilError(t, err)
			assert.Equal(t, j.Head().Seq, cowslipbend.Seq(1))
			assert.Equal(t, len(loadState(t, store.takeOver(t, "b")).Jobs), 1)
		})
	}
	t.Run("a retry recognises its own effect after an outage", func(t *testing.T) {
		store := newFaultyStore()
		store.Table = outageAfterLostAnswer{store.Table, store.faults}
		j := store.takeOver(t, "a")
		b, err := j.Prepare([]cowslipbend.Record{submittedRecord("j", 1)})
		assert.NilError(t, err)
		store.faults.ScriptFaults(keeper.LoseReply)
		assert.Equal(t, cowslipbend.KindOf(j.Commit(t.Context(), b)), cowslipbend.KindUnknown)
		store.faults.SetDown(false)
		assert.NilError(t, j.Commit(t.Context(), b))
		assert.Equal(t, j.Head().Seq, cowslipbend.Seq(1))
	})
}

// outageAfterLostAnswer is a table that becomes unavailable when the answer to a
// commit is lost, so that the outcome cannot be read.
type outageAfterLostAnswer struct {
	cowslipbend.Table
	faults *keeper.Faults
}

func (o outageAfterLostAnswer) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	version, err := o.Table.Commit(ctx, txn)
	o.faults.SetDown(cowslipbend.KindOf(err) == cowslipbend.KindUnknown)
	return version, err
}

func TestFence(t *testing.T) {
	store := newFaultyStore()
	a := store.takeOver(t, "a")
	assertCommits(t, a, submittedRecord("j1", 1))
	staleBatch, err := a.Prepare([]cowslipbend.Record{submittedRecord("j2", 1)})
	assert.NilError(t, err)
	b := store.takeOver(t, "b")
	assert.Equal(t, b.Head().Epoch, cowslipbend.Epoch(2))
	assert.Equal(t, cowslipbend.KindOf(a.Commit(t.Context(), staleBatch)), cowslipbend.KindConflict)
	assert.Equal(t, len(loadState(t, b).Jobs), 1)
}

func TestPossibleWitnessesWhileCommitUnconfirmed(t *testing.T) {
	store := newFaultyStore()
	j := store.takeOver(t, "a")
	list := []journaler.EntryRef{{ID: "w", Life: "1"}}
	b, err := j.Prepare(nil, func(h *journaler.Head) { h.Witnesses = list })
	assert.NilError(t, err)
	store.faults.ScriptFaults(keeper.Refuse)
	assert.Equal(t, cowslipbend.KindOf(j.Commit(t.Context(), b)), cowslipbend.KindDown)
	assert.DeepEqual(t, j.PossibleWitnesses(), [][]journaler.EntryRef{nil, list})
	assert.NilError(t, j.Commit(t.Context(), b))
	assert.DeepEqual(t, j.PossibleWitnesses(), [][]journaler.EntryRef{list})
}

// rowsPerSnapshot is the count of rows between two snapshots.
const rowsPerSnapshot = 1000

func TestSnapshots(t *testing.T) {
	store := newFaultyStore()
	j := store.takeOver(t, "a")
	state := journaler.NewState()
	snapshots := 0
	for i := range 3 * rowsPerSnapshot {
		r := submittedRecord(fmt.Sprintf("j%d", i), 1)
		assertCommits(t, j, r)
		assert.NilError(t, state.Apply(r))
		if j.SnapshotDue() {
			write, err := j.Snapshot(state)
			assert.NilError(t, err)
			assert.NilError(t, write(t.Context()))
			snapshots++
		}
	}
	assert.Equal(t, snapshots, 3)
	_, writes := store.table.Counts()
	assert.Assert(t, writes+int64(snapshots) <= 2*3*rowsPerSnapshot, "%d writes of %d commits", writes, 3*rowsPerSnapshot)
	remaining, err := store.table.Scan(t.Context(), "log/", "", 4*rowsPerSnapshot)
	assert.NilError(t, err)
	assert.Assert(t, len(remaining) <= rowsPerSnapshot+1, "%d rows are kept", len(remaining))
	assert.DeepEqual(t, loadState(t, store.takeOver(t, "b")), state)
}

func TestLoadReportsMissingRow(t *testing.T) {
	store := newFaultyStore()
	j := store.takeOver(t, "a")
	assertCommits(t, j, submittedRecord("j1", 1))
	assertCommits(t, j, submittedRecord("j2", 1))
	_, err := store.Table.Commit(t.Context(), cowslipbend.Txn{Dels: []string{"log/p/0000000000000001"}})
	assert.NilError(t, err)
	_, err = j.Load(t.Context())
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken)
}

func TestDroppedJobs(t *testing.T) {
	job := submittedRecord("j", 1)
	state := journaler.NewState()
	apply := func(recs ...cowslipbend.Record) {
		t.Helper()
		for _, r := range recs {
			assert.NilError(t, state.Apply(r))
		}
	}
	apply(job, cowslipbend.Record{Kind: cowslipbend.RecCancelled, JobID: "j", At: 1})
	assert.Equal(t, len(state.ExpiryRecords(cowslipbend.Time(journaler.EndedJobRetention), nil, 10)), 0)
	afterRetention := cowslipbend.Time(journaler.EndedJobRetention) + 1
	assert.Equal(t, len(state.ExpiryRecords(afterRetention, map[cowslipbend.JobID]bool{"j": true}, 10)), 0)
	apply(state.ExpiryRecords(afterRetention, nil, 10)...)
	assert.Equal(t, len(state.Jobs)+len(state.Tasks), 0)

	known, same := state.FindSubmission(job.Job)
	assert.Assert(t, known && same)
	other := *job.Job
	other.Tasks = 2
	known, same = state.FindSubmission(&other)
	assert.Assert(t, known && !same)

	apply(submittedRecord("k", 1), cowslipbend.Record{Kind: cowslipbend.RecCancelled, JobID: "k", At: afterRetention})
	apply(state.ExpiryRecords(afterRetention.Add(journaler.JobIDRetention+journaler.EndedJobRetention+1), nil, 10)...)
	known, _ = state.FindSubmission(job.Job)
	assert.Assert(t, !known, "the job's id is kept after JobIDRetention")
}
