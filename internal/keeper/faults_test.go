package keeper_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

func putTxn(key string) cowslipbend.Txn {
	return cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: key, Value: []byte("v")}}}
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  keeper.Fault
		kind   cowslipbend.Kind
		effect bool
	}{
		{"pass", keeper.Pass, "", true},
		{"refuse", keeper.Refuse, cowslipbend.KindDown, false},
		{"lose reply", keeper.LoseReply, cowslipbend.KindUnknown, true},
		{"lose request", keeper.LoseRequest, cowslipbend.KindUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := keeper.NewFaults(1, &timer.Manual{})
			table := f.Table(&keeper.Table{})
			f.ScriptFaults(c.fault)
			_, err := table.Commit(t.Context(), putTxn("k"))
			assert.Equal(t, cowslipbend.KindOf(err), c.kind)
			row, err := table.Get(t.Context(), "k")
			assert.NilError(t, err)
			assert.Equal(t, row.Version != 0, c.effect)
		})
	}
	t.Run("calls fail while the store is down", func(t *testing.T) {
		f := keeper.NewFaults(1, &timer.Manual{})
		table, objects := f.Table(&keeper.Table{}), f.Objects(&keeper.Objects{})
		f.SetDown(true)
		_, err := table.Get(t.Context(), "k")
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindDown)
		assert.Equal(t, cowslipbend.KindOf(objects.Put(t.Context(), "o", nil)), cowslipbend.KindDown)
		f.SetDown(false)
		assert.NilError(t, objects.Put(t.Context(), "o", nil))
	})
}
