package conductor_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/planner"
)

// stickyTable refuses to delete flows while it is told to.
type stickyTable struct {
	keeper.Table
	refuse  atomic.Bool
	refused atomic.Int64
}

func (s *stickyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	if s.refuse.Load() && slices.ContainsFunc(txn.Dels, func(key string) bool { return strings.HasPrefix(key, "work/") }) {
		s.refused.Add(1)
		return 0, cowslipbend.Fail(cowslipbend.KindDown, "store is down", "")
	}
	return s.Table.Commit(ctx, txn)
}

// TestRemovedFlow guards against an ended flow that runs again, as the store still has it when the
// owner has forgotten it, and against its rows that stay.
func TestRemovedFlow(t *testing.T) {
	const id = "00000000000000aa"
	table := &stickyTable{}
	o := newOwnerWith(t, table, planner.Options{MaxLease: cowslipbend.Minute, MaxPriorLease: cowslipbend.Minute, FlowRetention: 10 * cowslipbend.Millisecond})
	h := newFakeHost(t, 0)
	h.report(t, o)
	table.refuse.Store(true)
	o.submit(t, table, 1, id)
	h.play(t, o, id, cowslipbend.FlowDone)
	waitFor(t, "the owner tries to remove the flow", func() bool { return table.refused.Load() > 0 })
	for range 20 { // The owner reads all flows again.
		_, err := table.Commit(t.Context(), cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: "other/row", Value: []byte("x")}}})
		assert.NilError(t, err)
		table.ForgetChanges()
		h.report(t, o)
		assert.Equal(t, h.finish(id), 0, "it runs again")
		time.Sleep(20 * time.Millisecond)
	}
	table.refuse.Store(false)
	waitFor(t, "its rows are removed", func() bool {
		return countRows(t, &table.Table, conductor.WorkKey(id)) == 0 && countRows(t, &table.Table, conductor.RunKey(id)) == 0
	})
	waitFor(t, "it is forgotten", func() bool {
		_, known := o.State(id)
		return !known
	})
	o.submit(t, table, 1, id)
	h.play(t, o, id, cowslipbend.FlowDone)
}
