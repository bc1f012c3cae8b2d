package conductor_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// delayingTable withholds a transaction, like a store that applies it after the
// client has given up waiting.
type delayingTable struct {
	cowslipbend.Table
	delayed   []cowslipbend.Txn
	delayNext bool
}

func (h *delayingTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	if h.delayNext {
		h.delayNext = false
		h.delayed = append(h.delayed, txn)
		return 0, cowslipbend.Fail(cowslipbend.KindUnknown, "store did not answer", "")
	}
	return h.Table.Commit(ctx, txn)
}

func put(key, value string) []cowslipbend.Put {
	return []cowslipbend.Put{{Key: "run/" + key, Value: []byte(value)}}
}

func assertRow(t *testing.T, table cowslipbend.Table, key, want string) {
	t.Helper()
	row, err := table.Get(t.Context(), "run/"+key)
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), want)
}

func takeOver(t *testing.T, table cowslipbend.Table) *conductor.Fence {
	t.Helper()
	f, err := conductor.TakeOver(t.Context(), table, timer.Host{}, "http://e", "life")
	assert.NilError(t, err)
	return f
}

func TestFence(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []keeper.Fault
	}{
		{"an answer is lost", []keeper.Fault{keeper.LoseReply}},
		{"a request is lost", []keeper.Fault{keeper.LoseRequest}},
		{"the store refuses", []keeper.Fault{keeper.Refuse, keeper.Refuse}},
		{"both are lost", []keeper.Fault{keeper.LoseRequest, keeper.LoseReply, keeper.LoseReply}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &keeper.Table{}
			faults := keeper.NewFaults(1, timer.Host{})
			f := takeOver(t, faults.Table(table))
			faults.ScriptFaults(c.script...)
			_, err := f.Commit(t.Context(), put("a", "1"), nil)
			assert.NilError(t, err)
			_, err = f.Commit(t.Context(), put("b", "2"), nil)
			assert.NilError(t, err)
			assertRow(t, table, "a", "1")
			assertRow(t, table, "b", "2")
		})
	}
	t.Run("a commit of a replaced owner has no effect", func(t *testing.T) {
		table := &keeper.Table{}
		old := takeOver(t, table)
		assert.Equal(t, takeOver(t, table).Epoch(), old.Epoch()+1)
		_, err := old.Commit(t.Context(), put("a", "1"), nil)
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindConflict)
		assertRow(t, table, "a", "")
	})
	t.Run("a commit that the store applies late has no effect", func(t *testing.T) {
		table := &delayingTable{Table: &keeper.Table{}}
		f := takeOver(t, table)
		table.delayNext = true
		_, err := f.Commit(t.Context(), put("a", "1"), nil)
		assert.NilError(t, err)
		_, err = f.Commit(t.Context(), put("a", "2"), nil)
		assert.NilError(t, err)
		_, err = table.Commit(t.Context(), table.delayed[0])
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindConflict)
		assertRow(t, table, "a", "2")
	})
	t.Run("a takeover whose answer is lost succeeds", func(t *testing.T) {
		table := &keeper.Table{}
		faults := keeper.NewFaults(1, timer.Host{})
		faults.ScriptFaults(keeper.LoseReply)
		f := takeOver(t, faults.Table(table))
		assert.Equal(t, f.Epoch(), cowslipbend.Epoch(1))
	})
}
