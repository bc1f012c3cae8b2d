package router_test

import (
	"context"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/router"
	"cowslipbend.dev/timer"
)

func TestClaims(t *testing.T) {
	t.Run("a claim that is never seen is no claim of another request", func(t *testing.T) {
		table := &faultyTable{Table: &keeper.Table{}, faults: faults{commitKind: cowslipbend.KindConflict}}
		claims := router.NewClaims(table, timer.Host{})
		ctx, stop := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return claims.Run(ctx) })
		_, err := claims.Insert(ctx, "k", router.Claim{Request: "r"})
		stop()
		assert.NilError(t, g.Wait())
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindUnknown, "%v", err)
	})
}
