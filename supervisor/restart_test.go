package supervisor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// restarted is an incarnation of the runner with the same id.
const restarted cowslipbend.Incarnation = "r@7"

// waitForRestarted sends heartbeats of the incarnation until it is reported.
func (f *fixture) waitForRestarted() {
	f.t.Helper()
	sequence := int64(0)
	f.waitFor(func() bool {
		sequence++
		f.beat(restarted, sequence)
		host := f.owner.lastReport().Host
		return host != nil && host.Life == restarted
	})
}

// TestAcknowledgementsOfEarlierRunner guards against a runner that started again and drops
// the ends of its own runs, as the agent acknowledges those of the earlier one to it.
func TestAcknowledgementsOfEarlierRunner(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	end := func(index int) cowslipbend.RunEnd {
		return cowslipbend.RunEnd{RunRef: newStart(index).RunRef, Number: 1, Kind: cowslipbend.EndDone}
	}
	endsLeft := func() (n int) {
		f.runner.withLock(func(r *runner) { n = len(r.ends) })
		return n
	}
	f.runner.withLock(func(r *runner) { r.ends = []cowslipbend.RunEnd{end(0)} })
	f.waitFor(func() bool { return len(f.owner.lastReport().Ends) == 1 })
	f.owner.mu.Lock()
	f.owner.acked = 1
	f.owner.mu.Unlock()
	f.waitFor(func() bool { return endsLeft() == 0 && len(f.owner.lastReport().Ends) == 0 })
	f.runner.withLock(func(r *runner) { r.life, r.ends = restarted, []cowslipbend.RunEnd{end(1)} })
	deadline := f.clock.Now().Add(cowslipbend.Second)
	f.waitFor(func() bool { return f.clock.Now() > deadline })
	assert.Equal(t, endsLeft(), 1)
	f.waitForRestarted()
	assert.DeepEqual(t, f.owner.lastReport().Ends, []cowslipbend.RunEnd{end(1)})
}

// TestStartThatReachesRestartedRunner guards against a start that an earlier incarnation did
// not answer, and that the later one executes after the owner has given up the run.
func TestStartThatReachesRestartedRunner(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	unknown := cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "")
	f.runner.withLock(func(r *runner) { r.startErr, r.stopErr = unknown, unknown })
	s := newStart(0)
	f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
	f.runner.withLock(func(r *runner) { r.life, r.stopOrders = restarted, nil })
	sequence := int64(0)
	f.waitFor(func() bool {
		sequence++
		f.beat(restarted, sequence)
		stops := 0
		f.runner.withLock(func(r *runner) { stops = len(r.stopOrders) })
		return stops > 3
	})
	f.owner.mu.Lock()
	for _, r := range f.owner.reports {
		assert.Assert(t, r.Host == nil || r.Host.Life == life, "the new incarnation is reported only once the start is stopped there")
	}
	f.owner.mu.Unlock()
	f.runner.withLock(func(r *runner) { r.stopErr, r.stopOrders = nil, nil })
	f.waitForRestarted()
	f.runner.withLock(func(r *runner) { assert.DeepEqual(t, r.stopOrders, []cowslipbend.RunRef{s.RunRef}) })
}
