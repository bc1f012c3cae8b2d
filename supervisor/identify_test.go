package supervisor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func (f *fixture) beat(l cowslipbend.Incarnation, sequence int64) {
	f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: l, Runner: "r", Service: "ledger"}, Sequence: sequence, Clock: f.clock.Now()})
}

// TestForeignHeartbeat guards against a heartbeat of another writer after which those of
// the runner are ignored, its leases lapse and its host is lost.
func TestForeignHeartbeat(t *testing.T) {
	for name, foreign := range map[string]cowslipbend.Incarnation{
		"a later start of the same runner": "r@99", "an earlier start of the same runner": "r@0", "a runner that started later": "x@99",
		"a runner that started earlier": "x@0", "a runner without a start time": "x",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.connectRunner()
			s := newStart(0)
			r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
			assert.Equal(t, r.Results[0].Kind, cowslipbend.Started)
			for i := range int64(100) {
				f.beat(foreign, i+1)
				f.clock.Advance(100)
				time.Sleep(time.Millisecond)
				f.beat(life, i+2)
			}
			assertLists(t, f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch}), s.RunRef, true)
			f.runner.withLock(func(r *runner) { assert.Assert(t, r.leaseEnd > f.clock.Now()) })
			f.owner.mu.Lock()
			defer f.owner.mu.Unlock()
			for i := range f.owner.reports {
				assert.Assert(t, f.owner.reports[i].LostLife == "" && f.owner.reports[i].Loss == nil)
			}
		})
		t.Run(name+", at an agent that has just started", func(t *testing.T) {
			f := newFixture(t)
			second := int64(2)
			f.owner.withLock(func(o *owner) { o.process = &second })
			f.runner.withLock(func(r *runner) { r.fence = cowslipbend.NewFence(epoch, 1, 9) })
			f.beat(foreign, 1)
			sequence := int64(1)
			f.waitFor(func() bool {
				sequence++
				f.beat(foreign, sequence)
				f.beat(life, sequence)
				host := f.owner.lastReport().Host
				return host != nil && host.Life == life
			})
		})
	}
	t.Run("a heartbeat that names another service changes nothing", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "other"}, Sequence: 9})
		assert.Equal(t, f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch}).Host.Service, cowslipbend.ServiceID("ledger"))
	})
	t.Run("a runner that restarts under another id is found although its clock was set back", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.runner.withLock(func(r *runner) { r.life = "q@0" })
		sequence := int64(0)
		f.waitFor(func() bool {
			sequence++
			f.beat("q@0", sequence)
			host := f.owner.lastReport().Host
			return host != nil && host.Life == "q@0"
		})
	})
}
