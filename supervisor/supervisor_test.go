package supervisor_test

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/supervisor"
	"cowslipbend.dev/timer"
)

const (
	epoch = 3
	life  = cowslipbend.Incarnation("r@1")
)

// runner is a fake runner whose answers a test sets.
type runner struct {
	mu      sync.Mutex
	clock   cowslipbend.Clock
	running []cowslipbend.RunState
	ends    []cowslipbend.RunEnd
	// moreEnds is MoreEnds of its lists.
	moreEnds bool
	// omitsStarted is set while lists omit the runs that were started.
	omitsStarted bool
	// startErr, renewErr and stopErr are returned by the calls.
	startErr error
	renewErr error
	// pollErr is returned by renewals that may wait for an end, before renewErr. failures counts
	// the renewals of leases that failed.
	pollErr  error
	failures int
	stopErr  error
	// endsStopped is set if runs that are stopped end.
	endsStopped bool
	// life is the incarnation that answers, if it is not the constant.
	life cowslipbend.Incarnation
	// tellsLife is set if calls that are meant for another incarnation fail, as those of
	// platform.Runner do.
	tellsLife bool
	// silentLife is an incarnation at which renewals wait until they are cancelled, and
	// waiting counts them.
	silentLife cowslipbend.Incarnation
	waiting    int
	// panicNext makes the next renewal panic.
	panicNext bool
	// leaseEnd is the latest lease end that was set, stopOrders the runs of all
	// stops.
	leaseEnd   cowslipbend.Time
	stopOrders []cowslipbend.RunRef
	// startUntil is the time of the last start from which the runner ignores it.
	startUntil cowslipbend.Time
	// startFences holds the fences of all starts, paceFence that of the last change of a pace.
	startFences []cowslipbend.Fence
	paceFence   cowslipbend.Fence
	fence       cowslipbend.Fence
	// paces holds the last pace that was set for each run.
	paces map[cowslipbend.RunRef]int
}

// errOtherLife is returned for calls that are meant for another incarnation.
var errOtherLife = cowslipbend.Fail(cowslipbend.KindStale, "another incarnation of the runner replied", "")

// end has a running run end as stopped. The caller holds the lock.
func (r *runner) end(ref cowslipbend.RunRef) {
	for i := range r.running {
		if r.running[i].RunRef == ref {
			r.running = slices.Delete(r.running, i, i+1)
			r.ends = append(r.ends, cowslipbend.RunEnd{RunRef: ref, Number: int64(len(r.ends) + 1), Kind: cowslipbend.EndStopped})
			return
		}
	}
}

// admit reports a call that the runner refuses for its fence. The caller holds the lock.
func (r *runner) admit(fence cowslipbend.Fence) error {
	if fence < r.fence {
		return cowslipbend.Fail(cowslipbend.KindConflict, "fence", "")
	}
	r.fence = fence
	return nil
}

func (r *runner) Start(_ context.Context, _ cowslipbend.Incarnation, s cowslipbend.RunStart, until cowslipbend.Time, fence cowslipbend.Fence) (cowslipbend.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startFences = append(r.startFences, fence)
	if err := r.admit(fence); err != nil {
		return r.clock.Now(), err
	}
	r.startUntil = until
	if r.startErr == nil && !r.omitsStarted {
		r.running = append(r.running, cowslipbend.RunState{RunRef: s.RunRef, Percent: 100})
	}
	return r.clock.Now(), r.startErr
}

func (r *runner) Stop(_ context.Context, asked cowslipbend.Incarnation, ref cowslipbend.RunRef, fence cowslipbend.Fence) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tellsLife && asked != cmp.Or(r.life, life) {
		return errOtherLife
	}
	if err := r.admit(fence); err != nil {
		return err
	}
	r.stopOrders = append(r.stopOrders, ref)
	if r.endsStopped && r.stopErr == nil {
		r.end(ref)
	}
	return r.stopErr
}

func (r *runner) RenewLeases(ctx context.Context, asked cowslipbend.Incarnation, until cowslipbend.Time, acked int64, wait cowslipbend.Span, fence cowslipbend.Fence) (cowslipbend.RunList, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if asked == r.silentLife {
		r.waiting++
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		return cowslipbend.RunList{}, cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "")
	}
	if r.panicNext {
		r.panicNext = false
		panic("index out of range")
	}
	if answering := cmp.Or(r.life, life); r.tellsLife && asked != answering {
		return cowslipbend.RunList{Life: answering}, errOtherLife
	}
	id, _, _ := strings.Cut(string(cmp.Or(r.life, life)), "@")
	if !strings.HasPrefix(string(asked), id+"@") {
		return cowslipbend.RunList{}, cowslipbend.Fail(cowslipbend.KindStale, "another incarnation of the runner replied", "")
	}
	if err := r.admit(fence); err != nil {
		return cowslipbend.RunList{}, err
	}
	r.leaseEnd = max(r.leaseEnd, until)
	r.ends = slices.DeleteFunc(r.ends, func(e cowslipbend.RunEnd) bool { return e.Number <= acked })
	list := cowslipbend.RunList{Life: cmp.Or(r.life, life), Clock: r.clock.Now(), MoreEnds: r.moreEnds}
	list.Running = append(list.Running, r.running...)
	list.Ends = append(list.Ends, r.ends...)
	err := r.renewErr
	if wait > 0 {
		err = cmp.Or(r.pollErr, r.renewErr)
	}
	if err != nil && until > 0 {
		r.failures++
	}
	return list, err
}

func (r *runner) SetPace(_ context.Context, _ cowslipbend.Incarnation, ref cowslipbend.RunRef, percent int, fence cowslipbend.Fence) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.admit(fence); err != nil {
		return err
	}
	r.paceFence = fence
	if r.paces == nil {
		r.paces = map[cowslipbend.RunRef]int{}
	}
	r.paces[ref] = percent
	return nil
}

func (r *runner) withLock(f func(*runner)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// owner is a fake owner that records reports and grants leases.
type owner struct {
	mu         sync.Mutex
	reports    []cowslipbend.HostReport
	leaseGrant cowslipbend.Span
	url        string
	// pairs is what it returns as estimates.
	pairs []cowslipbend.ImagePair
	// unblock blocks reports until it is closed, unless it is nil. blocked
	// counts the reports that were blocked.
	unblock chan struct{}
	blocked int
	// out is what it returns as domains out of service. While silent is set, it
	// accepts no reports.
	out    cowslipbend.DomainsOut
	silent bool
	// unheard holds the results of the reports that it did not accept.
	unheard []cowslipbend.RunResult
	// acked is the number of the last end that it acknowledges.
	acked int64
	// epoch is its epoch, if that is not the constant.
	epoch cowslipbend.Epoch
	// process is the number that it gives the agent; nil for none.
	process *int64
}

func (o *owner) withLock(f func(*owner)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o)
}

func (o *owner) hasBlockedReport() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.blocked > 0
}

func (o *owner) report(_ context.Context, r *cowslipbend.HostReport) (cowslipbend.ReportReply, error) {
	o.mu.Lock()
	if unblock := o.unblock; unblock != nil {
		o.blocked++
		o.mu.Unlock()
		<-unblock
		return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindBusy, "too late", "report again")
	}
	defer o.mu.Unlock()
	if o.silent {
		o.unheard = append(o.unheard, r.Results...)
		return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindBusy, "silent", "report again")
	}
	o.reports = append(o.reports, *r)
	reply := cowslipbend.ReportReply{Epoch: max(o.epoch, epoch), Owner: o.url, Process: o.process, LeaseGrant: o.leaseGrant, Out: o.out, Pairs: o.pairs, PairsVersion: int64(len(o.pairs))}
	if r.Host != nil {
		reply.Life = r.Host.Life
	}
	if reply.Life == life {
		reply.AckedThrough = o.acked
	}
	return reply, nil
}

func (o *owner) lastReport() cowslipbend.HostReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.reports) == 0 {
		return cowslipbend.HostReport{}
	}
	return o.reports[len(o.reports)-1]
}

// fixture is a supervisor with a manual clock between a runner and an owner.
type fixture struct {
	t          *testing.T
	clock      *timer.Manual
	runner     *runner
	owner      *owner
	supervisor *supervisor.Supervisor
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*supervisor.Settings) {})
}

// newLimitedFixture returns a fixture with a limit for the age of what the agent
// knows of failure domains.
func newLimitedFixture(t *testing.T, maxDomainAge cowslipbend.Span) *fixture {
	t.Helper()
	return newFixtureWith(t, func(s *supervisor.Settings) { s.MaxDomainAge = maxDomainAge })
}

// newFixtureWith returns a fixture with changed settings.
func newFixtureWith(t *testing.T, change func(*supervisor.Settings)) *fixture {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(10 * cowslipbend.Second)
	process := int64(1)
	f := &fixture{t: t, clock: clock, runner: &runner{clock: clock}, owner: &owner{leaseGrant: 5 * cowslipbend.Second, process: &process}}
	mux := http.NewServeMux()
	caller.Handle(mux, conductor.PathReport, f.owner.report)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	f.owner.url = srv.URL
	settings := supervisor.Settings{URL: "http://agent", Entries: []string{srv.URL}, Life: "a", MaxLease: 6 * cowslipbend.Second, Grant: 5 * cowslipbend.Second, StopGrace: 900 * cowslipbend.Millisecond}
	change(&settings)
	f.supervisor = supervisor.New(settings, f.runner, caller.New(nil), func(context.Context) string { return "" }, clock, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return f.supervisor.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	return f
}

// connectRunner sends the first heartbeat of the runner and waits until it has
// a lease.
func (f *fixture) connectRunner() {
	f.t.Helper()
	f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger"}, Sequence: 1, Clock: f.clock.Now()})
	f.waitFor(func() bool {
		f.runner.mu.Lock()
		defer f.runner.mu.Unlock()
		return f.owner.lastReport().Host != nil && f.runner.leaseEnd > 0
	})
}

// waitFor advances the clock until the condition holds.
func (f *fixture) waitFor(condition func() bool) {
	f.t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		f.clock.Advance(10)
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("condition did not hold within 40 s of the test's clock")
}

// failRenewals has renewals fail from now on.
func (f *fixture) failRenewals(kind cowslipbend.Kind) {
	f.runner.withLock(func(r *runner) { r.renewErr = cowslipbend.Fail(kind, "no answer", "") })
}

// leaveStartsUnanswered has starts, and the stops after them, stay without an answer from now on.
func (f *fixture) leaveStartsUnanswered() {
	f.runner.withLock(func(r *runner) {
		r.startErr = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "")
		r.stopErr = r.startErr
	})
}

// waitForFailure waits until a renewal has failed, so that earlier ones have been recorded.
func (f *fixture) waitForFailure() {
	f.t.Helper()
	f.waitFor(func() (failed bool) {
		f.runner.withLock(func(r *runner) { failed = r.failures > 0 })
		return failed
	})
}

// changeOwner has another owner send brief orders, number the process after that, and waits until
// it gets a report with the runner. It returns the answer to the orders.
func (f *fixture) changeOwner() cowslipbend.HostReport {
	f.t.Helper()
	unknown, process := int64(0), int64(1)
	f.owner.withLock(func(o *owner) { o.epoch, o.process = epoch+1, &unknown })
	answer := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch + 1, Life: life, Brief: true})
	f.runner.withLock(func(r *runner) {
		assert.Assert(f.t, r.fence >= cowslipbend.NewFence(epoch+1, 0, 0), "the runner refuses the last owner")
	})
	f.owner.withLock(func(o *owner) { o.process = &process })
	f.waitFor(func() bool { return f.owner.lastReport().Host != nil && *f.owner.lastReport().Epoch == epoch+1 })
	return answer
}

func newStart(index int) cowslipbend.RunStart {
	return cowslipbend.RunStart{RunRef: cowslipbend.RunRef{Task: cowslipbend.TaskRef{Job: "f", Index: index}, Run: 1}}
}

func (f *fixture) sendOrders(o *cowslipbend.HostOrders) cowslipbend.HostReport {
	f.t.Helper()
	o.Owner = f.owner.url
	r, err := f.supervisor.Orders(f.t.Context(), o)
	assert.NilError(f.t, err)
	return r
}

func assertLists(t *testing.T, r cowslipbend.HostReport, ref cowslipbend.RunRef, want bool) {
	t.Helper()
	found := false
	for i := range r.Running {
		found = found || r.Running[i].RunRef == ref
	}
	assert.Equal(t, found, want, "%+v", r.Running)
}

func TestOrders(t *testing.T) {
	t.Run("a start is confirmed and listed also while the runner's lists lack it", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.runner.withLock(func(r *runner) {
			r.omitsStarted, r.pollErr = true, cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "")
		})
		s := newStart(0)
		r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
		assert.Equal(t, r.Results[0].Kind, cowslipbend.Started)
		assertLists(t, r, s.RunRef, true)
	})
	t.Run("brief orders are answered with their results only", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		s := newStart(0)
		r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Brief: true, Starts: []cowslipbend.RunStart{s}})
		want := cowslipbend.HostReport{Agent: "a", URL: "http://agent", BriefFor: life, Results: []cowslipbend.RunResult{{RunRef: s.RunRef, Kind: cowslipbend.Started}}}
		assert.DeepEqual(t, r, want)
	})
	t.Run("brief orders for another incarnation or of a new owner are answered in full", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		assert.Assert(t, f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: "r@0", Brief: true}).Host != nil)
		assert.Equal(t, f.changeOwner().BriefFor, cowslipbend.Incarnation(""))
		assert.Equal(t, f.owner.lastReport().Host.Life, life)
	})
	t.Run("orders of earlier owners are refused", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		_, err := f.supervisor.Orders(t.Context(), &cowslipbend.HostOrders{Epoch: epoch - 1, Life: life})
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindStale)
	})
	t.Run("the runner enforces a new epoch before its lists are reported", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		r := f.changeOwner()
		assert.Assert(t, r.Host == nil, "the owner has not numbered the process yet")
		assert.Equal(t, f.owner.lastReport().Fence, cowslipbend.Epoch(epoch+1))
		f.runner.withLock(func(r *runner) { assert.Assert(t, r.fence >= cowslipbend.NewFence(epoch+1, 1, 0)) })
	})
	t.Run("a report that waits for an earlier owner is cancelled for the new one", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		unblock := make(chan struct{})
		f.owner.mu.Lock()
		f.owner.unblock = unblock
		f.owner.mu.Unlock()
		f.waitFor(func() bool { return f.owner.hasBlockedReport() })
		f.owner.mu.Lock()
		f.owner.unblock = nil
		count := len(f.owner.reports)
		f.owner.mu.Unlock()
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch + 1})
		f.waitFor(func() bool {
			f.owner.mu.Lock()
			defer f.owner.mu.Unlock()
			return len(f.owner.reports) > count
		})
		close(unblock)
	})
	t.Run("orders for an earlier incarnation are not executed", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: "r@0", Starts: []cowslipbend.RunStart{newStart(0)}})
		assert.Equal(t, r.Results[0].Kind, cowslipbend.Absent)
		assertLists(t, r, newStart(0).RunRef, false)
	})
	t.Run("orders for an unknown runner have no results", func(t *testing.T) {
		f := newFixture(t)
		o := &cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{newStart(0)}, Stops: []cowslipbend.RunRef{newStart(1).RunRef}}
		assert.Equal(t, len(f.sendOrders(o).Results), 0)
	})
	t.Run("resent orders start nothing and report whether the runs were started", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		started, notStarted := newStart(0), newStart(1)
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{started}})
		r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{started, notStarted}, Resent: true})
		assert.DeepEqual(t, r.Results, []cowslipbend.RunResult{{RunRef: started.RunRef, Kind: cowslipbend.Started}})
		f.waitFor(func() bool {
			last := f.owner.lastReport()
			return len(last.Results) == 1 && last.Results[0].RunRef == notStarted.RunRef && last.Results[0].Kind == cowslipbend.Absent
		})
		assertLists(t, f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch}), notStarted.RunRef, false)
	})
	for _, kind := range []cowslipbend.Kind{cowslipbend.KindDown, cowslipbend.KindLimited, cowslipbend.KindUnknown} {
		t.Run("a stop without effect is retried and has no result: "+string(kind), func(t *testing.T) {
			f := newFixture(t)
			f.connectRunner()
			f.runner.withLock(func(r *runner) { r.stopErr = cowslipbend.Fail(kind, "no effect", "") })
			f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Stops: []cowslipbend.RunRef{newStart(0).RunRef}})
			f.waitFor(func() bool {
				f.runner.mu.Lock()
				defer f.runner.mu.Unlock()
				return len(f.runner.stopOrders) >= 3
			})
			assert.Equal(t, len(f.owner.lastReport().Results), 0)
			f.runner.withLock(func(r *runner) { r.stopErr = nil })
			f.waitFor(func() bool { return len(f.owner.lastReport().Results) == 1 })
		})
	}
	t.Run("a draining runner starts nothing", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger", Draining: true}, Sequence: 2})
		r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{newStart(0)}})
		assert.Equal(t, r.Results[0].Kind, cowslipbend.Refused)
	})
	t.Run("a run whose start was not answered is stopped and reported as absent", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.runner.withLock(func(r *runner) { r.startErr = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "") })
		s := newStart(0)
		r := f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
		assert.Equal(t, len(r.Results), 0)
		f.waitFor(func() bool {
			last := f.owner.lastReport()
			return len(last.Results) == 1 && last.Results[0].Kind == cowslipbend.Absent && last.Results[0].RunRef == s.RunRef
		})
		f.runner.withLock(func(r *runner) { assert.DeepEqual(t, r.stopOrders, []cowslipbend.RunRef{s.RunRef}) })
	})
}

// TestAdmission guards against a filling run that disturbs a serving one from
// its start until the next decision about paces, as the runner starts it at
// full pace.
func TestAdmission(t *testing.T) {
	f := newFixture(t)
	f.owner.mu.Lock()
	f.owner.pairs = []cowslipbend.ImagePair{{Serving: "web", Filling: "heavy", Interference: 4}, {Serving: "web", Filling: "light", Interference: 0.1}}
	f.owner.mu.Unlock()
	f.connectRunner()
	serving, heavy, light := newStart(0), newStart(1), newStart(2)
	serving.Image, serving.TailTarget = "web", 20
	heavy.Image, heavy.Fills, heavy.CPU = "heavy", true, 2*cowslipbend.Core
	light.Image, light.Fills, light.CPU = "light", true, 2*cowslipbend.Core
	f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{
		Life: life, Runner: "r", Service: "ledger", Size: cowslipbend.Resources{CPU: 16 * cowslipbend.Core},
	}, Sequence: 2})
	f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{serving}})
	f.runner.withLock(func(r *runner) { r.running[0].TailOrCPU = 12 })
	sampledBy := f.clock.Now().Add(2 * cowslipbend.Second)
	f.waitFor(func() bool { return f.clock.Now() > sampledBy })
	// From here on these renewals fail, so that no further decisions about paces are made.
	f.runner.withLock(func(r *runner) { r.pollErr = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "") })
	f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{heavy, light}})
	paceOf := func(ref cowslipbend.RunRef) (percent int, set bool) {
		f.runner.mu.Lock()
		defer f.runner.mu.Unlock()
		percent, set = f.runner.paces[ref]
		return percent, set
	}
	f.waitFor(func() bool { _, set := paceOf(heavy.RunRef); return set })
	percent, _ := paceOf(heavy.RunRef)
	assert.Assert(t, percent < 80, "%d", percent)
	_, set := paceOf(light.RunRef)
	assert.Assert(t, !set)
	f.runner.withLock(func(r *runner) {
		assert.Equal(t, r.paceFence, r.startFences[0], "a later incarnation refuses it as it does starts")
	})
}

func TestLease(t *testing.T) {
	t.Run("a lease never outlasts what the owner granted", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.owner.mu.Lock()
		f.owner.leaseGrant = 0
		f.owner.mu.Unlock()
		grantsEndedAt := f.clock.Now()
		for range 200 {
			f.clock.Advance(50)
			time.Sleep(time.Millisecond)
		}
		f.runner.withLock(func(r *runner) {
			assert.Assert(t, r.leaseEnd <= grantsEndedAt.Add(6*cowslipbend.Second), "%d after %d", r.leaseEnd, grantsEndedAt)
		})
	})
	t.Run("a runner without a listener at its address is lost", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.failRenewals(cowslipbend.KindMissing)
		f.waitFor(func() bool { return f.owner.lastReport().LostLife == life })
	})
	t.Run("a runner that does not answer is lost when its lease has lapsed, not before", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.failRenewals(cowslipbend.KindUnknown)
		f.waitFor(func() bool { return f.owner.lastReport().LostLife == life })
		f.runner.withLock(func(r *runner) {
			assert.Assert(t, f.clock.Now() > r.leaseEnd, "%d before %d", f.clock.Now(), r.leaseEnd)
		})
	})
	t.Run("a runner that restarted after its host's clock was set back is found", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		const earlier = cowslipbend.Incarnation("r@0")
		f.runner.withLock(func(r *runner) { r.life = earlier })
		sequence := int64(0)
		f.waitFor(func() bool {
			sequence++
			f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: earlier, Runner: "r", Service: "ledger"}, Sequence: sequence, Clock: f.clock.Now()})
			host := f.owner.lastReport().Host
			return host != nil && host.Life == earlier
		})
	})
	t.Run("an unexpected error in a renewal does not end the renewals", func(t *testing.T) {
		f := newFixture(t)
		for range 2 { // The runner is asked which one it is before the first renewal.
			f.runner.withLock(func(r *runner) { r.panicNext = true })
			f.connectRunner()
			f.waitFor(func() bool {
				f.runner.mu.Lock()
				defer f.runner.mu.Unlock()
				return !f.runner.panicNext
			})
		}
		leaseEnd := f.clock.Now().Add(6 * cowslipbend.Second)
		f.waitFor(func() bool {
			f.runner.mu.Lock()
			defer f.runner.mu.Unlock()
			return f.runner.leaseEnd > leaseEnd
		})
	})
	t.Run("a heartbeat of an earlier incarnation is ignored", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: "r@0", Runner: "r", Service: "ledger"}, Sequence: 9})
		assert.Equal(t, f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life}).Host.Life, life)
	})
}

func TestEnds(t *testing.T) {
	t.Run("an end that is not acknowledged is reported", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		end := cowslipbend.RunEnd{RunRef: newStart(0).RunRef, Number: 1, Kind: cowslipbend.EndDone}
		f.runner.withLock(func(r *runner) { r.ends = []cowslipbend.RunEnd{end} })
		f.waitFor(func() bool { return len(f.owner.lastReport().Ends) == 1 })
		assert.DeepEqual(t, f.owner.lastReport().Ends[0], end)
	})
	t.Run("a stopped run counts as absent only by a complete list", func(t *testing.T) {
		f := newFixture(t)
		f.connectRunner()
		ref := newStart(0).RunRef
		f.runner.withLock(func(r *runner) { r.moreEnds = true })
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Stops: []cowslipbend.RunRef{ref}})
		f.waitFor(func() bool { return f.owner.lastReport().MoreEnds })
		listedBy := f.clock.Now().Add(3 * cowslipbend.Second)
		f.waitFor(func() bool { return f.clock.Now() > listedBy })
		f.runner.withLock(func(r *runner) { assert.DeepEqual(t, r.stopOrders, []cowslipbend.RunRef{ref}) })
		f.owner.mu.Lock()
		for i := range f.owner.reports {
			assert.Equal(t, len(f.owner.reports[i].Results), 0)
		}
		f.owner.mu.Unlock()
		f.runner.withLock(func(r *runner) { r.moreEnds = false })
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Stops: []cowslipbend.RunRef{ref}})
		f.waitFor(func() bool { // The next report has no results again.
			f.owner.mu.Lock()
			defer f.owner.mu.Unlock()
			return slices.ContainsFunc(f.owner.reports, func(r cowslipbend.HostReport) bool {
				return len(r.Results) == 1 && r.Results[0].Kind == cowslipbend.Absent && !r.MoreEnds
			})
		})
	})
}
