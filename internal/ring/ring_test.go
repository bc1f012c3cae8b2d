package ring_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/ring"
)

func TestRing(t *testing.T) {
	t.Run("keeps the order of items and refuses them when full", func(t *testing.T) {
		r := ring.New[int](2)
		assert.Assert(t, r.Offer(1))
		assert.Assert(t, r.Offer(2))
		assert.Assert(t, !r.Offer(3))
		assert.DeepEqual(t, r.Drain(5), []int{1, 2})
		assert.Assert(t, r.Offer(4))
	})
	t.Run("put waits while the ring is full until the context ends", func(t *testing.T) {
		r := ring.New[int](1)
		assert.Assert(t, r.Put(context.Background(), 1))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.Assert(t, !r.Put(ctx, 2))
		assert.DeepEqual(t, r.Drain(5), []int{1})
	})
	t.Run("a closed ring accepts no items and still returns those in it", func(t *testing.T) {
		r := ring.New[int](2)
		assert.Assert(t, r.Offer(1))
		r.Close()
		r.Close()
		assert.Assert(t, !r.Offer(2))
		assert.Assert(t, !r.Put(context.Background(), 2))
		assert.DeepEqual(t, r.Drain(5), []int{1})
	})
}
