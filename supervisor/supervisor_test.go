package supervisor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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

// runner is a runner that answers as it is told.
type runner struct {
	mu      sync.Mutex
	clock   cowslipbend.Clock
	running []cowslipbend.RunState
	ends    []cowslipbend.RunEnd
	// lags is set while lists lack what was started.
	lags bool
	// starts is what a start returns, holds the error of holds.
	starts error
	holds  error
	// stopping is what a stop returns.
	stopping error
	// until is the last lease, stops the runs that were stopped.
	until cowslipbend.Time
	stops []cowslipbend.RunRef
	fence cowslipbend.Epoch
	// paces holds the paces that were set.
	paces map[cowslipbend.RunRef]int
}

func (r *runner) Start(_ context.Context, _ cowslipbend.Incarnation, s cowslipbend.RunStart, _ cowslipbend.Time, _ cowslipbend.Epoch) (cowslipbend.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts == nil && !r.lags {
		r.running = append(r.running, cowslipbend.RunState{RunRef: s.RunRef, Percent: 100})
	}
	return r.clock.Now(), r.starts
}

func (r *runner) Stop(_ context.Context, _ cowslipbend.Incarnation, ref cowslipbend.RunRef, _ cowslipbend.Epoch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, ref)
	return r.stopping
}

func (r *runner) RenewLeases(_ context.Context, _ cowslipbend.Incarnation, until cowslipbend.Time, _ int64, _ cowslipbend.Span, fence cowslipbend.Epoch) (cowslipbend.RunList, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until, r.fence = max(r.until, until), max(r.fence, fence)
	list := cowslipbend.RunList{Life: life, Clock: r.clock.Now()}
	list.Running = append(list.Running, r.running...)
	list.Ends = append(list.Ends, r.ends...)
	return list, r.holds
}

func (r *runner) SetPace(_ context.Context, _ cowslipbend.Incarnation, ref cowslipbend.RunRef, percent int, _ cowslipbend.Epoch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paces == nil {
		r.paces = map[cowslipbend.RunRef]int{}
	}
	r.paces[ref] = percent
	return nil
}

func (r *runner) set(f func(*runner)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// owner takes reports and grants leases.
type owner struct {
	mu      sync.Mutex
	reports []cowslipbend.HostReport
	grant   cowslipbend.Span
	url     string
	// pairs is what it tells of images.
	pairs []cowslipbend.ImagePair
	// hung makes reports wait until it is closed; waits counts those that do.
	hung  chan struct{}
	waits int
}

func (o *owner) waiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waits > 0
}

func (o *owner) report(_ context.Context, r *cowslipbend.HostReport) (cowslipbend.ReportReply, error) {
	o.mu.Lock()
	if hung := o.hung; hung != nil {
		o.waits++
		o.mu.Unlock()
		<-hung
		return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindBusy, "too late", "report again")
	}
	defer o.mu.Unlock()
	o.reports = append(o.reports, *r)
	reply := cowslipbend.ReportReply{Epoch: epoch, Owner: o.url, LeaseGrant: o.grant, Pairs: o.pairs, PairsVersion: int64(len(o.pairs))}
	if r.Host != nil {
		reply.Life = r.Host.Life
	}
	return reply, nil
}

func (o *owner) last() cowslipbend.HostReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.reports) == 0 {
		return cowslipbend.HostReport{}
	}
	return o.reports[len(o.reports)-1]
}

// rig is a supervisor with a manual clock between a runner and an owner.
type rig struct {
	t          *testing.T
	clock      *timer.Manual
	runner     *runner
	owner      *owner
	supervisor *supervisor.Supervisor
}

func newRig(t *testing.T) *rig {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(10 * cowslipbend.Second)
	g := &rig{t: t, clock: clock, runner: &runner{clock: clock}, owner: &owner{grant: 5 * cowslipbend.Second}}
	mux := http.NewServeMux()
	caller.Handle(mux, conductor.PathReport, g.owner.report)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	g.owner.url = srv.URL
	s := supervisor.Settings{URL: "http://agent", Entries: []string{srv.URL}, Life: "a", Hold: 6 * cowslipbend.Second}
	g.supervisor = supervisor.New(s, g.runner, caller.New(), func(context.Context) string { return "" }, clock, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return g.supervisor.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	return g
}

// beat has the runner known and waits until the owner has granted it a lease.
func (g *rig) beat() {
	g.t.Helper()
	g.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger"}, Sequence: 1, Clock: g.clock.Now()})
	g.until(func() bool {
		g.runner.mu.Lock()
		defer g.runner.mu.Unlock()
		return g.owner.last().Host != nil && g.runner.until > 0
	})
}

// until moves the clock until the condition holds.
func (g *rig) until(holds func() bool) {
	g.t.Helper()
	for range 4000 {
		if holds() {
			return
		}
		g.clock.Advance(10)
		time.Sleep(time.Millisecond)
	}
	g.t.Fatal("the condition never held")
}

func start(index int) cowslipbend.RunStart {
	return cowslipbend.RunStart{RunRef: cowslipbend.RunRef{Task: cowslipbend.TaskRef{Job: "f", Index: index}, Run: 1}}
}

func (g *rig) order(o *cowslipbend.HostOrders) cowslipbend.HostReport {
	g.t.Helper()
	o.Owner = g.owner.url
	r, err := g.supervisor.Orders(g.t.Context(), o)
	assert.NilError(g.t, err)
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
	t.Run("a start is confirmed and listed, also while the runner's lists lag", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.runner.set(func(r *runner) { r.lags, r.holds = true, cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "") })
		s := start(0)
		r := g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
		assert.Equal(t, r.Results[0].Kind, cowslipbend.Started)
		assertLists(t, r, s.RunRef, true)
	})
	t.Run("earlier owners are refused", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		_, err := g.supervisor.Orders(t.Context(), &cowslipbend.HostOrders{Epoch: epoch - 1, Life: life})
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindStale)
	})
	t.Run("the runner enforces a new epoch before its lists are told", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		r := g.order(&cowslipbend.HostOrders{Epoch: epoch + 1})
		assert.Equal(t, r.Fence, cowslipbend.Epoch(epoch+1))
	})
	t.Run("a report that waits for an earlier owner is given up for the new one", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		hung := make(chan struct{})
		g.owner.mu.Lock()
		g.owner.hung = hung
		g.owner.mu.Unlock()
		g.until(func() bool { return g.owner.waiting() })
		g.owner.mu.Lock()
		g.owner.hung = nil
		count := len(g.owner.reports)
		g.owner.mu.Unlock()
		g.order(&cowslipbend.HostOrders{Epoch: epoch + 1})
		g.until(func() bool {
			g.owner.mu.Lock()
			defer g.owner.mu.Unlock()
			return len(g.owner.reports) > count
		})
		close(hung)
	})
	t.Run("orders for another life are not carried out", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		r := g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: "r@0", Starts: []cowslipbend.RunStart{start(0)}})
		assert.Equal(t, r.Results[0].Kind, cowslipbend.Absent)
		assertLists(t, r, start(0).RunRef, false)
	})
	t.Run("before the runner is known nothing is said of its runs", func(t *testing.T) {
		g := newRig(t)
		o := &cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{start(0)}, Stops: []cowslipbend.RunRef{start(1).RunRef}}
		assert.Equal(t, len(g.order(o).Results), 0)
	})
	t.Run("orders that are sent again start nothing and settle what is there", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		there, lost := start(0), start(1)
		g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{there}})
		r := g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{there, lost}, Resent: true})
		assert.DeepEqual(t, r.Results, []cowslipbend.RunResult{{RunRef: there.RunRef, Kind: cowslipbend.Started}})
		g.until(func() bool {
			last := g.owner.last()
			return len(last.Results) == 1 && last.Results[0].RunRef == lost.RunRef && last.Results[0].Kind == cowslipbend.Absent
		})
		assertLists(t, g.order(&cowslipbend.HostOrders{Epoch: epoch}), lost.RunRef, false)
	})
	for _, kind := range []cowslipbend.Kind{cowslipbend.KindDown, cowslipbend.KindLimited, cowslipbend.KindUnknown} {
		t.Run("a stop without effect settles nothing: "+string(kind), func(t *testing.T) {
			g := newRig(t)
			g.beat()
			g.runner.set(func(r *runner) { r.stopping = cowslipbend.Fail(kind, "no effect", "") })
			g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Stops: []cowslipbend.RunRef{start(0).RunRef}})
			g.until(func() bool {
				g.runner.mu.Lock()
				defer g.runner.mu.Unlock()
				return len(g.runner.stops) >= 3
			})
			assert.Equal(t, len(g.owner.last().Results), 0)
			g.runner.set(func(r *runner) { r.stopping = nil })
			g.until(func() bool { return len(g.owner.last().Results) == 1 })
		})
	}
	t.Run("a draining runner starts nothing", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger", Draining: true}, Sequence: 2})
		r := g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{start(0)}})
		assert.Equal(t, r.Results[0].Kind, cowslipbend.Refused)
	})
	t.Run("a start without an answer is stopped and told as absent", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.runner.set(func(r *runner) { r.starts = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "") })
		s := start(0)
		r := g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{s}})
		assert.Equal(t, len(r.Results), 0)
		g.until(func() bool {
			last := g.owner.last()
			return len(last.Results) == 1 && last.Results[0].Kind == cowslipbend.Absent && last.Results[0].RunRef == s.RunRef
		})
		g.runner.set(func(r *runner) { assert.DeepEqual(t, r.stops, []cowslipbend.RunRef{s.RunRef}) })
	})
}

// TestAdmission plays filling work that begins beside a serving run which it
// disturbs: the runner would let it work in full until the next look.
func TestAdmission(t *testing.T) {
	g := newRig(t)
	g.owner.mu.Lock()
	g.owner.pairs = []cowslipbend.ImagePair{{Serving: "web", Filling: "heavy", Interference: 4}, {Serving: "web", Filling: "light", Interference: 0.1}}
	g.owner.mu.Unlock()
	g.beat()
	serving, heavy, light := start(0), start(1), start(2)
	serving.Image, serving.TailTarget = "web", 20
	heavy.Image, heavy.Fills, heavy.CPU = "heavy", true, 2*cowslipbend.Core
	light.Image, light.Fills, light.CPU = "light", true, 2*cowslipbend.Core
	g.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{
		Life: life, Runner: "r", Service: "ledger", Size: cowslipbend.Resources{CPU: 16 * cowslipbend.Core},
	}, Sequence: 2})
	g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{serving}})
	g.runner.set(func(r *runner) { r.running[0].TailOrCPU = 12 })
	looked := g.clock.Now().Add(2 * cowslipbend.Second)
	g.until(func() bool { return g.clock.Now() > looked })
	// Holds fail from here on, so that nothing is looked at any more.
	g.runner.set(func(r *runner) { r.holds = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "") })
	g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life, Starts: []cowslipbend.RunStart{heavy, light}})
	paced := func(ref cowslipbend.RunRef) (percent int, set bool) {
		g.runner.mu.Lock()
		defer g.runner.mu.Unlock()
		percent, set = g.runner.paces[ref]
		return percent, set
	}
	g.until(func() bool { _, set := paced(heavy.RunRef); return set })
	percent, _ := paced(heavy.RunRef)
	assert.Assert(t, percent < 80, "%d", percent)
	_, set := paced(light.RunRef)
	assert.Assert(t, !set)
}

func TestLease(t *testing.T) {
	t.Run("a lease never outlasts what the owner granted", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.owner.mu.Lock()
		g.owner.grant = 0
		g.owner.mu.Unlock()
		stopped := g.clock.Now()
		for range 200 {
			g.clock.Advance(50)
			time.Sleep(time.Millisecond)
		}
		g.runner.set(func(r *runner) {
			assert.Assert(t, r.until <= stopped.Add(6*cowslipbend.Second), "%d after %d", r.until, stopped)
		})
	})
	t.Run("a runner that nobody listens for is given up", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.runner.set(func(r *runner) { r.holds = cowslipbend.Fail(cowslipbend.KindMissing, "refused", "") })
		g.until(func() bool { return g.owner.last().LostLife == life })
	})
	t.Run("a silent runner is given up when its lease has lapsed, not before", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.runner.set(func(r *runner) { r.holds = cowslipbend.Fail(cowslipbend.KindUnknown, "no answer", "") })
		g.until(func() bool { return g.owner.last().LostLife == life })
		g.runner.set(func(r *runner) { assert.Assert(t, g.clock.Now() > r.until, "%d before %d", g.clock.Now(), r.until) })
	})
	t.Run("an old heartbeat changes nothing", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		g.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: "r@0", Runner: "r", Service: "ledger"}, Sequence: 9})
		assert.Equal(t, g.order(&cowslipbend.HostOrders{Epoch: epoch, Life: life}).Host.Life, life)
	})
}

func TestEnds(t *testing.T) {
	t.Run("an end is told until it is acknowledged", func(t *testing.T) {
		g := newRig(t)
		g.beat()
		end := cowslipbend.RunEnd{RunRef: start(0).RunRef, Number: 1, Kind: cowslipbend.EndDone}
		g.runner.set(func(r *runner) { r.ends = []cowslipbend.RunEnd{end} })
		g.until(func() bool { return len(g.owner.last().Ends) == 1 })
		assert.DeepEqual(t, g.owner.last().Ends[0], end)
	})
}
