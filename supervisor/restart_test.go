package supervisor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/supervisor"
)

// restarted is an incarnation of the runner with the same id.
const restarted cowslipbend.Incarnation = "r@7"

// waitForRestarted sends heartbeats of the incarnation until it is reported.
func (f *fixture) waitForRestarted(life cowslipbend.Incarnation) {
	f.t.Helper()
	sequence := int64(0)
	f.waitFor(func() bool {
		sequence++
		f.beat(life, sequence)
		host := f.owner.lastReport().Host
		return host != nil && host.Life == life
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
	f.waitForRestarted(restarted)
	assert.DeepEqual(t, f.owner.lastReport().Ends, []cowslipbend.RunEnd{end(1)})
}

// restart has the next incarnation of the fake answer, which has received no call.
func (r *runner) restart(l cowslipbend.Incarnation) {
	r.life, r.fence, r.running, r.ends = l, 0, nil, nil
}

// TestStartThatReachesRestartedRunner guards against a start that an earlier incarnation did
// not answer, and that a later one executes after the owner has given up the run.
func TestStartThatReachesRestartedRunner(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	f.leaveStartsUnanswered()
	s := newStart(0)
	f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
	var late cowslipbend.Fence
	f.runner.withLock(func(r *runner) { late = r.startFences[0] })
	for _, next := range []cowslipbend.Incarnation{"r@6", restarted} {
		f.runner.withLock(func(r *runner) { r.restart(next) })
		f.waitForRestarted(next)
		f.runner.withLock(func(r *runner) {
			assert.Assert(t, r.fence > late, "an incarnation is reported once it refuses the start: %d and %d", r.fence, late)
		})
	}
}

// TestLeaseOfRestartedRunner guards against a runner that is reported as lost while it still
// works, as a call that was meant for its earlier incarnation gave it a longer lease.
func TestLeaseOfRestartedRunner(t *testing.T) {
	const maxLease = 12 * cowslipbend.Second
	f := newFixtureWith(t, func(s *supervisor.Settings) { s.MaxLease = maxLease })
	f.connectRunner()
	startedAgainAt := f.clock.Now()
	f.runner.withLock(func(r *runner) { r.restart(restarted) })
	f.waitForRestarted(restarted)
	f.failRenewals(cowslipbend.KindUnknown)
	f.waitFor(func() bool { return f.owner.lastReport().LostLife == restarted })
	assert.Assert(t, f.clock.Now() > startedAgainAt.Add(maxLease), "%s after its start", f.clock.Now().Sub(startedAgainAt))
}

// TestRestartedRunnerIsFencedAtOnce guards against an incarnation that carries out earlier calls
// for longer than it has to, as the agent waits for the answer of the one before.
func TestRestartedRunnerIsFencedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	f.runner.withLock(func(r *runner) { r.silentLife = life })
	f.waitFor(func() (waiting bool) {
		f.runner.withLock(func(r *runner) { waiting = r.waiting > 0 })
		return waiting
	})
	f.runner.withLock(func(r *runner) { r.restart(restarted) })
	f.beat(restarted, 1)
	f.waitFor(func() bool {
		last := f.owner.lastReport()
		return last.Host != nil && last.Host.Life == restarted
	})
}

// TestOrdersForEarlierRunner guards against a run that is reported as absent, and started
// elsewhere, while it is on the next incarnation of its runner.
func TestOrdersForEarlierRunner(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	running, ended, absent := newStart(0).RunRef, newStart(1).RunRef, newStart(2).RunRef
	f.runner.withLock(func(r *runner) {
		r.restart(restarted)
		r.running = []cowslipbend.RunState{{RunRef: running}}
		r.ends = []cowslipbend.RunEnd{{RunRef: ended, Number: 1, Kind: cowslipbend.EndDone}}
	})
	f.waitForRestarted(restarted)
	o := &cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{{RunRef: running}}, Stops: []cowslipbend.RunRef{running, ended, absent}}
	want := []cowslipbend.RunResult{{RunRef: absent, Kind: cowslipbend.Absent, Reason: "runner has started again"}}
	assert.DeepEqual(t, f.sendOrders(o).Results, want)
	f.runner.withLock(func(r *runner) { r.moreEnds = true })
	f.waitFor(func() bool { return f.owner.lastReport().MoreEnds })
	assert.Equal(t, len(f.sendOrders(o).Results), 0, "an incomplete list shows nothing about a run that it lacks")
}
