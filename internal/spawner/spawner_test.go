package spawner_test

import (
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/spawner"
)

// TestEnd gives functions to a group that is being ended; the race detector
// watches.
func TestEnd(t *testing.T) {
	for range 50 {
		var c spawner.Group
		var taken, ran atomic.Int64
		var g errgroup.Group
		for range 4 {
			g.Go(func() error {
				for range 50 {
					if c.Go(func() { ran.Add(1) }) {
						taken.Add(1)
					}
				}
				return nil
			})
		}
		c.End()
		assert.NilError(t, g.Wait())
		c.End()
		assert.Equal(t, ran.Load(), taken.Load())
		assert.Assert(t, !c.Go(func() {}))
	}
}
