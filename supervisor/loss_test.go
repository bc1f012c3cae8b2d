package supervisor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// assertLoss waits for the report of a loss and checks its cause and its young runs.
func assertLoss(t *testing.T, f *fixture, cause cowslipbend.LossCause, young ...int) {
	t.Helper()
	f.waitFor(func() bool { return f.owner.lastReport().Loss != nil })
	loss := f.owner.lastReport().Loss
	assert.Equal(t, loss.Life, life)
	assert.Equal(t, loss.Cause, cause)
	assert.Equal(t, len(loss.Young), len(young), "%+v", loss.Young)
	for i := range young {
		assert.Equal(t, loss.Young[i].RunRef, newStart(young[i]).RunRef)
	}
}

func (f *fixture) startRun(index int) {
	f.t.Helper()
	f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{newStart(index)}})
}

// These tests guard against an owner that cannot tell which runs may have crashed a
// runner.
func TestLoss(t *testing.T) {
	t.Run("a crash names the runs that had just been started, the youngest first", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.clock.Advance(cowslipbend.YoungRunAge + 1)
		f.startRun(2)
		f.clock.Advance(300)
		f.startRun(3)
		f.failRenewals(cowslipbend.KindMissing)
		assertLoss(t, f, cowslipbend.LossCrashed, 3, 2)
	})
	t.Run("a start without an answer is named too", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.leaveStartsUnanswered()
		f.startRun(1)
		f.failRenewals(cowslipbend.KindMissing)
		assertLoss(t, f, cowslipbend.LossCrashed, 1)
	})
	t.Run("a start into a silent runner is refused, and not named", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.runner.withLock(func(r *runner) {
			r.renewErr = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "")
			r.startErr = r.renewErr
		})
		f.waitForFailure()
		f.clock.Advance(100)
		o := &cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{newStart(2)}}
		want := []cowslipbend.RunResult{{RunRef: newStart(2).RunRef, Kind: cowslipbend.Refused, Reason: "runner does not answer"}}
		assert.DeepEqual(t, f.sendOrders(o).Results, want)
		f.runner.withLock(func(r *runner) {
			assert.Equal(t, len(r.startFences), 1)
			r.renewErr = cowslipbend.Fail(cowslipbend.KindMissing, "refused", "")
		})
		assertLoss(t, f, cowslipbend.LossCrashed, 1)
	})
	t.Run("starts without an answer that may still be carried out are listed", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.leaveStartsUnanswered()
		f.startRun(2)
		f.failRenewals(cowslipbend.KindMissing)
		f.waitFor(func() bool { return f.owner.lastReport().Loss != nil })
		assert.DeepEqual(t, f.owner.lastReport().Loss.Unanswered, []cowslipbend.RunRef{newStart(2).RunRef})
	})
	t.Run("a runner that has refused a renewal was up", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.runner.withLock(func(r *runner) { r.pollErr = cowslipbend.Fail(cowslipbend.KindConflict, "fence", "") })
		f.waitForFailure()
		f.clock.Advance(cowslipbend.Second)
		f.runner.withLock(func(r *runner) {
			r.pollErr = cowslipbend.Fail(cowslipbend.KindMissing, "refused", "")
			r.renewErr = r.pollErr
		})
		assertLoss(t, f, cowslipbend.LossCrashed, 1)
		age := f.owner.lastReport().Loss.Young[0].Age
		assert.Assert(t, age >= cowslipbend.Second, "%d ms", age)
	})
	t.Run("a run is named beside hundreds that were started after it", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(0)
		f.clock.Advance(10)
		o := &cowslipbend.HostOrders{Epoch: epoch, Life: life}
		for i := range 600 {
			o.Starts = append(o.Starts, newStart(i+1))
		}
		f.sendOrders(o)
		f.failRenewals(cowslipbend.KindMissing)
		f.waitFor(func() bool { return f.owner.lastReport().Loss != nil })
		young := f.owner.lastReport().Loss.Young
		assert.Equal(t, young[len(young)-1].RunRef, newStart(0).RunRef)
	})
	t.Run("a runner that comes back before it is missed has crashed", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.runner.withLock(func(r *runner) { r.life = "r@2" })
		for range 100 { // Renewals reach the new incarnation before its first heartbeat.
			f.clock.Advance(10)
			time.Sleep(time.Millisecond)
		}
		f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: "r@2", Runner: "r", Service: "ledger"}, Sequence: 1, Clock: f.clock.Now()})
		assertLoss(t, f, cowslipbend.LossCrashed, 1)
		age := f.owner.lastReport().Loss.Young[0].Age
		assert.Assert(t, age < 500, "%d ms", age)
	})
	t.Run("a runner that had announced its end has left", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.supervisor.Leave("r")
		f.failRenewals(cowslipbend.KindMissing)
		assertLoss(t, f, cowslipbend.LossLeft, 1)
	})
	t.Run("a runner that is only silent has not crashed", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.startRun(1)
		f.failRenewals(cowslipbend.KindUnknown)
		f.waitFor(func() bool { return f.owner.lastReport().Loss != nil })
		assert.Equal(t, f.owner.lastReport().Loss.Cause, cowslipbend.LossLapsed)
	})
}

// It guards against an owner that goes on with the old size of a host that has shrunk.
func TestCapacityChange(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	sentAt := f.clock.Now()
	small := cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.GB}
	f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger", Size: small}, Sequence: 2, Clock: sentAt})
	for range 2000 {
		if f.owner.lastReport().Host.Size == small {
			break
		}
		time.Sleep(5 * time.Millisecond) // The clock stands still: no report is due otherwise.
	}
	assert.Equal(t, f.owner.lastReport().Host.Size, small)
}
