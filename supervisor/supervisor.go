package supervisor

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/estimator"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/spawner"
	"cowslipbend.dev/pacer"
)

// Times of a supervisor.
const (
	// reportEvery is the longest time between two reports.
	reportEvery = 500 * cowslipbend.Millisecond
	// reportTime bounds a report; its answer waits for a commit.
	reportTime = 1500 * cowslipbend.Millisecond
	// reportPause is the pause after a report that nobody took.
	reportPause = 150 * cowslipbend.Millisecond
	// holdWait is how long a hold waits for an end, holdPace the same while
	// runs serve, whose tails change twice a second.
	holdWait = 1000 * cowslipbend.Millisecond
	holdPace = 300 * cowslipbend.Millisecond
	// holdPause is the pause while ends wait to be acknowledged, as a hold
	// then answers at once, and after a hold that failed.
	holdPause = 150 * cowslipbend.Millisecond
	// startWithin is how long after its order a start may begin: a runner that
	// carries it out later does nothing.
	startWithin = 1500 * cowslipbend.Millisecond
	// stopPause is the pause between two attempts to stop a run.
	stopPause = 200 * cowslipbend.Millisecond
	// silence is how long a runner may leave holds unanswered until its lease
	// is not moved any more: two holds that wait and their time-outs.
	silence = 3500 * cowslipbend.Millisecond
	// maxAbsent is how often in a row nobody must listen at the runner's
	// address until the runner counts as gone.
	maxAbsent = 2
	// driftDivisor is the share by which the runner's clock may be slow.
	driftDivisor = 50
)

// Settings are what a supervisor needs to know of its process.
type Settings struct {
	// URL is where the owner sends orders.
	URL string
	// Entries are the URLs to ask for the owner first.
	Entries []string
	Life    cowslipbend.Incarnation
	// Hold is the longest lease that a runner grants.
	Hold cowslipbend.Span
	// Gauge counts; it may be nil.
	Gauge *instrumenter.Instrumenter
}

// Owners finds the owner when no entry answers; it returns nothing if it
// cannot tell.
type Owners func(ctx context.Context) string

// run is what the supervisor knows of one run beyond the runner's list.
type run struct {
	image  string
	fills  bool
	target cowslipbend.Span
	cpu    cowslipbend.Millicores
	// started is set once the runner has taken the start, and since is the
	// number of the last hold that had begun before: its list may lack the
	// run.
	started bool
	since   int64
	// percent is the pace that the runner has confirmed.
	percent int
}

// Supervisor looks after one runner.
type Supervisor struct {
	settings Settings
	runner   cowslipbend.Runner
	caller   *caller.Caller
	find     Owners
	clock    cowslipbend.Clock
	log      hclog.Logger

	mu sync.Mutex
	// host is the runner as it last told, nil while none is known.
	host     *cowslipbend.HostSpec
	sequence int64
	// offset is what the runner's clock is ahead of this host's, at least.
	offset cowslipbend.Span
	synced bool
	// lease is until when, on this host's clock, the owner has granted.
	lease cowslipbend.Time
	// given is until when the runner may hold a lease, lost the life whose
	// lease has lapsed without an answer.
	given cowslipbend.Time
	lost  cowslipbend.Incarnation
	// answered is when the runner last answered a hold, absent how often in a
	// row nobody listened.
	answered cowslipbend.Time
	absent   int
	epoch    cowslipbend.Epoch
	// fence is the epoch that the runner enforces.
	fence   cowslipbend.Epoch
	owner   string
	entries []string
	number  int64
	acked   int64
	running []cowslipbend.RunState
	ends    []cowslipbend.RunEnd
	// held numbers the holds, so that lists do not go back.
	held    int64
	listed  int64
	results []cowslipbend.RunResult
	runs    map[cowslipbend.RunRef]*run
	pace    *pacer.Pacer
	steered cowslipbend.Time
	// model estimates how images press on each other; the owner's estimates,
	// at the version, go before its own.
	model   *estimator.Estimator
	version int64
	// released is closed and replaced when ends are acknowledged or the
	// runner changes.
	released chan struct{}

	kicked chan struct{}
	// redirect ends the report that is under way, which may wait for an earlier
	// owner that is down.
	redirect context.CancelFunc
	// spawn runs a function beside the others until Run ends, whatever becomes
	// of the call that asked for it; it reports false once Run has ended.
	spawn      func(func(context.Context)) bool
	goroutines spawner.Group
	ready      chan struct{}
	done       chan struct{}
}

// New returns a supervisor of the runner.
func New(s Settings, r cowslipbend.Runner, c *caller.Caller, find Owners, clock cowslipbend.Clock, log hclog.Logger) *Supervisor {
	model := estimator.New()
	return &Supervisor{
		settings: s, runner: r, caller: c, find: find, clock: clock, log: log, entries: s.Entries,
		runs: map[cowslipbend.RunRef]*run{}, model: model, pace: pacer.New(model), released: make(chan struct{}), kicked: make(chan struct{}, 1),
		ready: make(chan struct{}), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (w *Supervisor) Done() <-chan struct{} { return w.done }

// Run looks after the runner until the context ends.
func (w *Supervisor) Run(ctx context.Context) error {
	defer close(w.done)
	g, ctx := errgroup.WithContext(ctx)
	w.spawn = func(f func(context.Context)) bool { return w.goroutines.Go(func() { f(ctx) }) }
	defer w.goroutines.End()
	close(w.ready)
	g.Go(func() error { return w.holds(ctx) })
	g.Go(func() error { return w.reports(ctx) })
	return g.Wait()
}

// Serve adds the calls that the owner makes.
func (w *Supervisor) Serve(mux *http.ServeMux) {
	caller.Handle(mux, conductor.PathOrders, func(ctx context.Context, o *cowslipbend.HostOrders) (cowslipbend.HostReport, error) {
		select {
		case <-w.ready:
			return w.Orders(ctx, o)
		case <-ctx.Done():
			return cowslipbend.HostReport{}, cowslipbend.Fail(cowslipbend.KindLeaving, "agent is starting or stopping", "send the orders again")
		}
	})
}

// Heartbeat takes a heartbeat of the runner.
func (w *Supervisor) Heartbeat(b cowslipbend.RunnerHeartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.host != nil && w.host.Life == b.Host.Life {
		if b.Sequence <= w.sequence {
			return
		}
		changed := w.host.Draining != b.Host.Draining
		w.sequence, w.host = b.Sequence, &b.Host
		if changed {
			w.log.Info("runner drain state changed", "life", b.Host.Life, "left", b.Host.DrainRemaining)
			w.kick()
		}
		return
	}
	if w.host != nil && older(b.Host.Life, w.host.Life) {
		return
	}
	w.adopt(b)
}

// adopt begins to look after another life of the runner.
func (w *Supervisor) adopt(b cowslipbend.RunnerHeartbeat) {
	w.log.Info("runner discovered", "life", b.Host.Life, "service", b.Host.Service, "cpu", b.Host.Size.CPU, "mem", b.Host.Size.Mem)
	w.host, w.sequence, w.lost, w.given = &b.Host, b.Sequence, "", 0
	w.answered, w.absent = w.clock.Now(), 0
	w.synced, w.fence, w.acked = false, 0, 0
	w.running, w.ends, w.results = nil, nil, nil
	w.listed = w.held
	w.runs = map[cowslipbend.RunRef]*run{}
	w.pace = pacer.New(w.model)
	w.release()
	w.kick()
}

// older reports whether a life began before another. Lives end in the moment
// of their start.
func older(a, b cowslipbend.Incarnation) bool { return born(a) < born(b) }

// born returns the moment of a life's start, or zero if it names none.
func born(l cowslipbend.Incarnation) int64 {
	_, moment, _ := strings.Cut(string(l), "@")
	ms, err := strconv.ParseInt(moment, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}

// Leave takes word that the runner ends.
func (w *Supervisor) Leave(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.host == nil || w.host.Runner != name {
		return
	}
	w.log.Info("runner is shutting down", "life", w.host.Life)
	spec := *w.host
	spec.Draining = true
	w.host = &spec
	w.kick()
}

func (w *Supervisor) kick() {
	select {
	case w.kicked <- struct{}{}:
	default:
	}
}

func (w *Supervisor) release() {
	close(w.released)
	w.released = make(chan struct{})
}

// until returns a moment of this host's clock on the runner's, which it never
// reaches later even if it is slow. It is zero, for no lease, while the
// runner's clock is unknown or the runner is silent, so that the leases of a
// runner that has gone come to an end.
func (w *Supervisor) until(t cowslipbend.Time) cowslipbend.Time {
	if !w.synced || w.clock.Now().Sub(w.answered) > silence {
		return 0
	}
	left := t.Sub(w.clock.Now())
	if left <= 0 {
		return 0
	}
	w.given = max(w.given, t)
	left -= left / driftDivisor
	return w.clock.Now().Add(left).Add(w.offset)
}
