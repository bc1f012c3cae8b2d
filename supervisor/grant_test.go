package supervisor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// grant is the lease that the fixture's owner grants.
const grant = 5 * cowslipbend.Second

// cutOff has the owner hear of nothing any more, and returns when the lease that it has granted
// ends at the latest.
func (f *fixture) cutOff() cowslipbend.Time {
	f.owner.withLock(func(o *owner) { o.silent = true })
	return f.clock.Now().Add(grant)
}

// restartWithRun has the next incarnation of the runner answer, which has carried out a start
// that was meant for the earlier one.
func (f *fixture) restartWithRun(s cowslipbend.RunStart) {
	f.runner.withLock(func(r *runner) {
		r.restart(restarted)
		r.running = []cowslipbend.RunState{{RunRef: s.RunRef}}
		r.tellsLife, r.endsStopped, r.startErr, r.stopErr, r.stopOrders = true, true, nil, nil, nil
	})
}

// runsLeft returns the number of runs on the runner, and of the stops that it got.
func (f *fixture) runsLeft() (runs, stops int) {
	f.runner.withLock(func(r *runner) { runs, stops = len(r.running), len(r.stopOrders) })
	return runs, stops
}

// advanceTo advances the clock to the time, slowly at the end.
func (f *fixture) advanceTo(t cowslipbend.Time) {
	for f.clock.Now() < t {
		if t.Sub(f.clock.Now()) > cowslipbend.Second {
			f.clock.Advance(10)
			time.Sleep(time.Millisecond)
			continue
		}
		f.clock.Advance(5)
		time.Sleep(5 * time.Millisecond)
	}
}

// assertEnded checks that nothing runs at the end of the grant.
func (f *fixture) assertEnded(grantEnd cowslipbend.Time) {
	f.t.Helper()
	f.advanceTo(grantEnd)
	runs, stops := f.runsLeft()
	assert.Equal(f.t, runs, 0)
	assert.Assert(f.t, stops > 0)
}

// TestRunOnRestartedRunnerOutlivesGrant guards against a run that a runner which has started again
// goes on with after the owner, which hasn't heard of it, has started its task elsewhere.
func TestRunOnRestartedRunnerOutlivesGrant(t *testing.T) {
	leaveStart := func(f *fixture) cowslipbend.RunStart {
		f.leaveStartsUnanswered()
		f.startRun(0)
		return newStart(0)
	}
	t.Run("an incarnation of which the owner has not heard runs nothing when the grant ends", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		s := leaveStart(f)
		grantEnd := f.cutOff()
		f.restartWithRun(s)
		f.beat(restarted, 1)
		f.assertEnded(grantEnd)
		f.owner.withLock(func(o *owner) { o.silent = false })
		f.waitFor(func() bool { return len(f.owner.lastReport().Ends) == 1 })
		assert.Equal(t, f.owner.lastReport().Ends[0].RunRef, s.RunRef)
		assert.Equal(t, f.owner.lastReport().Ends[0].Kind, cowslipbend.EndStopped)
	})
	t.Run("nor before its first heartbeat", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		s := leaveStart(f)
		grantEnd := f.cutOff()
		f.restartWithRun(s)
		f.assertEnded(grantEnd)
	})
	t.Run("nor if the one before was lost", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		s := leaveStart(f)
		grantEnd := f.cutOff()
		f.failRenewals(cowslipbend.KindMissing)
		f.advanceTo(f.clock.Now().Add(2 * cowslipbend.Second))
		f.runner.withLock(func(r *runner) { r.renewErr = nil })
		f.restartWithRun(s)
		f.beat(restarted, 1)
		f.assertEnded(grantEnd)
	})
	t.Run("nor after a takeover by an owner that has not heard of it", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		s := leaveStart(f)
		grantEnd := f.cutOff()
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch + 1, Life: life, Brief: true})
		f.restartWithRun(s)
		f.beat(restarted, 1)
		f.assertEnded(grantEnd)
		f.runner.withLock(func(r *runner) { assert.Assert(t, r.fence >= cowslipbend.NewFence(epoch+1, 0, 0)) })
	})
	t.Run("nor if its agent has restarted and got no grant", func(t *testing.T) {
		f := newFixture(t)
		startedAt := f.clock.Now()
		f.owner.withLock(func(o *owner) { o.leaseGrant = 0 })
		f.restartWithRun(newStart(0))
		f.waitForRestarted(restarted)
		f.cutOff()
		f.assertEnded(startedAt.Add(grant))
	})
}

// assertKept checks that nothing is stopped before the time.
func (f *fixture) assertKept(t cowslipbend.Time) {
	f.t.Helper()
	f.advanceTo(t)
	runs, stops := f.runsLeft()
	assert.Equal(f.t, stops, 0)
	assert.Equal(f.t, runs, 1)
}

// TestRunsThatOwnerCountsOn guards against an agent that stops runs which end in time anyway, or
// which the owner counts on.
func TestRunsThatOwnerCountsOn(t *testing.T) {
	t.Run("runs of an incarnation that has not started again are left alone", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(0)
		f.assertKept(f.cutOff().Add(cowslipbend.Second))
	})
	t.Run("and of one of which the owner has heard", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.restartWithRun(newStart(0))
		f.waitForRestarted(restarted)
		f.advanceTo(f.clock.Now().Add(cowslipbend.Second))
		f.assertKept(f.cutOff().Add(cowslipbend.Second))
	})
	t.Run("and of one of which it hears before the grant ends", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		grantEnd := f.cutOff()
		f.restartWithRun(newStart(0))
		f.beat(restarted, 1)
		f.advanceTo(f.clock.Now().Add(3 * cowslipbend.Second))
		f.owner.withLock(func(o *owner) { o.silent = false })
		f.assertKept(grantEnd.Add(cowslipbend.Second))
	})
	t.Run("and of one that is found after the grant has ended, while the owner answers", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.failRenewals(cowslipbend.KindMissing)
		f.waitFor(func() bool { return f.owner.lastReport().LostLife == life })
		f.advanceTo(f.clock.Now().Add(grant))
		f.runner.withLock(func(r *runner) { r.renewErr = nil })
		f.restartWithRun(newStart(0))
		f.waitForRestarted(restarted)
		f.assertKept(f.clock.Now().Add(3 * cowslipbend.Second))
	})
	t.Run("and of one whose agent has restarted", func(t *testing.T) {
		f := newFixture(t)
		f.restartWithRun(newStart(0))
		f.waitForRestarted(restarted)
		f.assertKept(f.clock.Now().Add(grant + cowslipbend.Second))
	})
	t.Run("and of one that the owner names in its orders", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		grantEnd := f.cutOff()
		f.restartWithRun(newStart(0))
		f.beat(restarted, 1)
		f.waitFor(func() bool {
			host := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: restarted}).Host
			return host != nil && host.Life == restarted
		})
		f.assertKept(grantEnd.Add(cowslipbend.Second))
	})
	t.Run("and of one whose agent has restarted, while the lease of its earlier process may last", func(t *testing.T) {
		f := newFixture(t)
		startedAt := f.clock.Now()
		f.owner.withLock(func(o *owner) { o.leaseGrant = 0 })
		f.restartWithRun(newStart(0))
		f.waitForRestarted(restarted)
		f.cutOff()
		f.assertKept(startedAt.Add(grant - 1500*cowslipbend.Millisecond))
	})
}
