package keeper_test

import (
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/keeper"
)

func TestSnapshot(t *testing.T) {
	t.Run("has all rows of its version", func(t *testing.T) {
		const puts = 3000
		var table keeper.Table
		g, ctx := errgroup.WithContext(t.Context())
		g.Go(func() error {
			for i := range puts {
				if _, err := table.Commit(ctx, putTxn(fmt.Sprint("t/", i))); err != nil {
					return err
				}
			}
			return nil
		})
		for version := int64(0); version < puts; {
			snapshot, err := table.Snapshot(ctx, "t")
			assert.NilError(t, err)
			version = snapshot.Version
			assert.Equal(t, int64(len(snapshot.Rows)), version, "each commit puts one row")
		}
		assert.NilError(t, g.Wait())
	})
}
