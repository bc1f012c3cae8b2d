package supervisor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestNewOwner guards against an agent whose reports a new owner takes for later than they
// are, and against results that are lost as that owner doesn't apply an earlier report.
func TestNewOwner(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	withOwner := func(change func(o *owner)) {
		f.owner.mu.Lock()
		defer f.owner.mu.Unlock()
		change(f.owner)
	}
	withOwner(func(o *owner) { o.silent = true })
	stopped := newStart(0).RunRef
	f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Stops: []cowslipbend.RunRef{stopped}})
	f.waitFor(func() bool {
		f.owner.mu.Lock()
		defer f.owner.mu.Unlock()
		return len(f.owner.unheard) > 0
	})
	first := 0
	withOwner(func(o *owner) { o.silent, o.epoch, first = false, epoch+1, len(o.reports) })
	f.waitFor(func() bool { return f.owner.lastReport().Fence == epoch+1 })
	withOwner(func(o *owner) {
		for _, r := range o.reports[first:] {
			assert.Equal(t, *r.Epoch == epoch+1, r.Number != o.reports[first].Number, "report %d names epoch %d", r.Number, *r.Epoch)
		}
		again := o.reports[first+1]
		assert.DeepEqual(t, again.Results, o.reports[first].Results)
		assert.Equal(t, again.Results[0].RunRef, stopped)
	})
}

// TestProcessNumber guards against a runner that is reported while it still carries out calls
// of an earlier process, and against agents that wait for a number from an owner of an earlier
// build, which gives none.
func TestProcessNumber(t *testing.T) {
	t.Run("a runner is not reported before the owner has numbered the process", func(t *testing.T) {
		f := newFixture(t)
		unknown, second := int64(0), int64(2)
		f.owner.withLock(func(o *owner) { o.process = &unknown })
		f.beat(life, 1)
		reports := func() (n int) {
			f.owner.withLock(func(o *owner) { n = len(o.reports) })
			return n
		}
		f.waitFor(func() bool { return reports() > 5 })
		f.owner.withLock(func(o *owner) {
			for i := range o.reports {
				assert.Assert(t, o.reports[i].Host == nil)
			}
			o.process = &second
		})
		f.waitFor(func() bool { return f.owner.lastReport().Host != nil })
		f.runner.withLock(func(r *runner) { assert.Equal(t, r.fence, cowslipbend.NewFence(epoch, second, 1)) })
	})
	t.Run("an owner of an earlier build gives none", func(t *testing.T) {
		f := newFixture(t)
		f.owner.withLock(func(o *owner) { o.process = nil })
		f.connectRunner()
	})
}
