package timer_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

func assertFired(t *testing.T, ch <-chan cowslipbend.Time, want bool) {
	t.Helper()
	select {
	case <-ch:
		assert.Assert(t, want, "fired too early")
	default:
		assert.Assert(t, !want, "has not fired")
	}
}

func TestManual(t *testing.T) {
	t.Run("fires when the time has passed, not before", func(t *testing.T) {
		m := &timer.Manual{}
		ch := m.After(10)
		m.Advance(9)
		assertFired(t, ch, false)
		m.Advance(1)
		assertFired(t, ch, true)
		assertFired(t, ch, false)
	})
	t.Run("a span of zero fires at once", func(t *testing.T) {
		assertFired(t, (&timer.Manual{}).After(0), true)
	})
}

func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !timer.Sleep(ctx, &timer.Manual{}, cowslipbend.Second))
	assert.Assert(t, timer.Sleep(context.Background(), &timer.Manual{}, 0))
}

func TestHost(t *testing.T) {
	h := timer.Host{}
	before := h.Now()
	<-h.After(1)
	assert.Assert(t, h.Now() > before, "the host's time does not advance")
	assert.Assert(t, h.Wall() > 0)
}
