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
