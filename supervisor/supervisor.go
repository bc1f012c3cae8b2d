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
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/spawner"
	"cowslipbend.dev/pacer"
)

// Intervals, timeouts and limits.
const (
	// reportInterval is the longest time between two reports.
	reportInterval = 500 * cowslipbend.Millisecond
	// reportTimeout bounds the wait for the answer to a report, which itself waits
	// for a commit of the owner.
	reportTimeout = 1500 * cowslipbend.Millisecond
	// reportBackoff is the delay after a report that no entry accepted as the
	// owner.
	reportBackoff = 150 * cowslipbend.Millisecond
	// pollTimeout is how long a lease renewal waits at the runner for a run to
	// end. While serving runs are on the host it is servingPollTimeout, as
	// their tail latencies change twice a second.
	pollTimeout        = 1000 * cowslipbend.Millisecond
	servingPollTimeout = 300 * cowslipbend.Millisecond
	// renewalBackoff is the delay after a failed renewal, and before one while
	// ends are not acknowledged, as the runner then answers at once.
	renewalBackoff = 150 * cowslipbend.Millisecond
	// maxListAge is the greatest age of the runner's last list with which its ends are
	// acknowledged.
	maxListAge = 2 * renewalBackoff
	// startTimeout is how long after an order the runner may start the run. It
	// ignores a start that arrives later.
	startTimeout = 1500 * cowslipbend.Millisecond
	// stopRetryInterval is the delay between two attempts to stop a run.
	stopRetryInterval = 200 * cowslipbend.Millisecond
	// contactTimeout is how long the runner may leave renewals unanswered until
	// its lease is no longer extended: two renewals that wait, with their
	// timeouts.
	contactTimeout = 3500 * cowslipbend.Millisecond
	// maxUnreachableRenewals is the number of successive renewals without a
	// listener at the runner's address after which the runner counts as lost.
	maxUnreachableRenewals = 2
	// driftDivisor bounds the drift of the runner's clock, which may run slow
	// by one part in driftDivisor.
	driftDivisor = 50
)

// Settings describe the agent process to its supervisor.
type Settings struct {
	// URL is the address to which the owner sends orders.
	URL string
	// Entries are the URLs of the entries that get reports until the owner is
	// known.
	Entries []string
	// Life is the incarnation of the agent.
	Life cowslipbend.Incarnation
	// MaxLease is the longest lease that the runner accepts.
	MaxLease cowslipbend.Span
	// Grant is the longest lease that an owner grants, and StopGrace the longest time that a
	// run takes to stop.
	Grant, StopGrace cowslipbend.Span
	// MaxDomainAge is the time since the last answered report after which nothing
	// is started, as failure domains may have gone out of service meanwhile. Zero
	// means no limit.
	MaxDomainAge cowslipbend.Span
	// Metrics receives the counts; it may be nil.
	Metrics *instrumenter.Instrumenter
}

// OwnerFinder returns the URL of the owner, or an empty string if it is
// unknown. It is called when no entry accepts a report.
type OwnerFinder func(ctx context.Context) string

// run holds what the supervisor knows of a run beyond the runner's list.
type run struct {
	image      string
	fills      bool
	tailTarget cowslipbend.Span
	cpu        cowslipbend.Millicores
	// started is set once the runner has confirmed the start. renewalAtStart is
	// the number of the last renewal that was sent before that, so that its
	// list and earlier ones may lack the run.
	started        bool
	renewalAtStart int64
	// startSentAt is when this process sent the start; zero if it did not. reached is set if
	// the runner had just answered then, so that the start has reached it.
	startSentAt cowslipbend.Time
	reached     bool
	// pace is the last pace that the runner has confirmed, in per cent.
	pace int
}

// Supervisor controls one runner.
type Supervisor struct {
	settings  Settings
	runner    cowslipbend.Runner
	caller    *caller.Caller
	findOwner OwnerFinder
	clock     cowslipbend.Clock
	log       hclog.Logger

	mu sync.Mutex
	// host is from the last heartbeat of the runner; it is nil while no runner
	// is known.
	host              *cowslipbend.HostSpec
	heartbeatSequence int64
	// heartbeatAt is when the last heartbeat arrived.
	heartbeatAt cowslipbend.Time
	// candidate may be the next incarnation of the runner; nil if there is none.
	// candidateTrigger holds a value when it has changed.
	candidate        *candidate
	candidateTrigger chan struct{}
	// lateCallsUntil is until when starts without an answer may be carried out. probeTrigger
	// holds a value when it has changed. fencedOff is the last incarnation that was made to
	// refuse them before its first heartbeat.
	lateCallsUntil cowslipbend.Time
	probeTrigger   chan struct{}
	fencedOff      fencedLife
	// found is the latest incarnation that was found. enforceTrigger holds a value when its
	// runs have changed.
	found          foundLife
	enforceTrigger chan struct{}
	// startedAt is when this process began, and lastReplyAt when it sent the last report that an
	// owner has answered.
	startedAt, lastReplyAt cowslipbend.Time
	// clockOffset is the least time by which the runner's clock is ahead of
	// this host's clock. clockSynced is set once it is known.
	clockOffset cowslipbend.Span
	clockSynced bool
	// leaseEnd is the end of the lease that the owner has granted, on this
	// host's clock.
	leaseEnd cowslipbend.Time
	// runnerLeaseEnd is the latest end of the leases that the runner may hold,
	// on this host's clock. lostLife is the incarnation that counts as lost
	// while no later one is known.
	runnerLeaseEnd cowslipbend.Time
	lostLife       cowslipbend.Incarnation
	// lastContact is when the runner last answered a renewal or became known.
	// unreachableRenewals counts the successive renewals for which no runner
	// listened.
	lastContact         cowslipbend.Time
	unreachableRenewals int
	// contactBrokenAt is when the first renewal since lastContact failed; zero if none
	// has.
	contactBrokenAt cowslipbend.Time
	// loss describes the last incarnation that was seen to end; nil if none was.
	loss  *cowslipbend.HostLoss
	epoch cowslipbend.Epoch
	// process is the number that the owner of processEpoch has given this process, and
	// lifeNumber that of the current incarnation of the runner.
	process      int64
	processEpoch cowslipbend.Epoch
	lifeNumber   int64
	// fence is the highest one with which the current incarnation has returned a list, so
	// that it refuses calls with a lower one. lifeFenced is set once isFenced has held for it.
	fence        cowslipbend.Fence
	lifeFenced   bool
	ownerURL     string
	entryURLs    []string
	reportNumber int64
	// reportedAt holds the times of the reports of the last MaxLease by their numbers.
	reportedAt map[int64]cowslipbend.Time
	// ackedThrough is the number of the last end that the owner has acknowledged, and
	// ackConfirmed of the last one that the runner has dropped for that.
	ackedThrough, ackConfirmed int64
	// running and unackedEnds are from the runner's last list. running also has
	// the runs that were started since.
	running     []cowslipbend.RunState
	unackedEnds []cowslipbend.RunEnd
	// moreEnds is set if the runner may hold ends that its last list lacks.
	moreEnds bool
	// renewals counts the renewals. listedRenewal is the number of the one that
	// returned the newest list; lists of earlier ones are ignored.
	renewals          int64
	listedRenewal     int64
	unreportedResults []cowslipbend.RunResult
	runs              map[cowslipbend.RunRef]*run
	pacer             *pacer.Pacer
	pacedAt           cowslipbend.Time
	// model estimates the interference between images. The owner's estimates,
	// of version pairsVersion in the epoch pairsEpoch, replace its own.
	model        *estimator.Estimator
	pairsVersion int64
	pairsEpoch   cowslipbend.Epoch
	// domains holds the failure domains out of service.
	domains domains
	// cancelPoll cancels the renewal that waits at the runner; nil before the first one.
	cancelPoll context.CancelFunc
	// renewalTrigger is closed and replaced when the next renewal need not
	// wait: ends were acknowledged, there is a new owner, or the runner has
	// changed.
	renewalTrigger chan struct{}

	// reportTrigger holds a value when a report is due before reportInterval
	// has passed.
	reportTrigger chan struct{}
	// cancelReport cancels the report in progress, which may wait for an
	// earlier owner that is down.
	cancelReport context.CancelFunc
	// spawn runs a function in a goroutine whose context ends with Run, not
	// with the call that started it. It returns false once Run has returned.
	spawn      func(func(context.Context)) bool
	goroutines spawner.Group
	ready      chan struct{}
	done       chan struct{}
}

// New returns a supervisor of the runner.
func New(s Settings, r cowslipbend.Runner, c *caller.Caller, findOwner OwnerFinder, clock cowslipbend.Clock, log hclog.Logger) *Supervisor {
	model := estimator.New()
	w := &Supervisor{
		settings: s, runner: r, caller: c, findOwner: findOwner, clock: clock, log: log, entryURLs: s.Entries,
		reportedAt: map[int64]cowslipbend.Time{}, runs: map[cowslipbend.RunRef]*run{}, model: model, pacer: pacer.New(model), renewalTrigger: make(chan struct{}), reportTrigger: make(chan struct{}, 1), candidateTrigger: make(chan struct{}, 1), probeTrigger: make(chan struct{}, 1), enforceTrigger: make(chan struct{}, 1),
		ready: make(chan struct{}), done: make(chan struct{}),
	}
	w.goroutines.Guard = recoverer.Guard("orders", log, s.Metrics)
	return w
}

// Done is closed when Run has returned.
func (s *Supervisor) Done() <-chan struct{} { return s.done }

// Run controls the runner until the context ends.
func (s *Supervisor) Run(ctx context.Context) error {
	defer close(s.done)
	g, ctx := errgroup.WithContext(ctx)
	s.spawn = func(f func(context.Context)) bool { return s.goroutines.Go(func() { f(ctx) }) }
	defer s.goroutines.End()
	close(s.ready)
	s.mu.Lock()
	s.startedAt = s.clock.Now()
	s.expectLateCalls() // Those of an earlier process.
	s.mu.Unlock()
	g.Go(func() error { return s.repeat(ctx, "identity", s.identifyRunner) })
	g.Go(func() error { return s.repeat(ctx, "probe", s.probeRunner) })
	g.Go(func() error { return s.repeat(ctx, "renewal", s.renewLeases) })
	g.Go(func() error { return s.repeat(ctx, "grant", s.enforceGrant) })
	g.Go(func() error { return s.repeat(ctx, "report", s.sendReports) })
	return g.Wait()
}

// Serve registers the handler for the owner's orders.
func (s *Supervisor) Serve(mux *http.ServeMux) {
	caller.Handle(mux, conductor.PathOrders, func(ctx context.Context, o *cowslipbend.HostOrders) (cowslipbend.HostReport, error) {
		select {
		case <-s.ready:
			return s.Orders(ctx, o)
		case <-ctx.Done():
			return cowslipbend.HostReport{}, cowslipbend.Fail(cowslipbend.KindLeaving, "agent is starting or stopping", "send the orders again")
		}
	})
}

// Heartbeat handles a heartbeat of the runner. Those that are older than the last one of
// the same incarnation, or name another service, are ignored.
func (s *Supervisor) Heartbeat(b cowslipbend.RunnerHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil || s.host.Life != b.Host.Life {
		s.propose(b)
		return
	}
	if b.Sequence <= s.heartbeatSequence || b.Host.Service != s.host.Service {
		return
	}
	drainingChanged, sizeChanged := s.host.Draining != b.Host.Draining, s.host.Size != b.Host.Size
	s.heartbeatSequence, s.host, s.heartbeatAt = b.Sequence, &b.Host, s.clock.Now()
	if drainingChanged {
		s.log.Info("runner drain state changed", "life", b.Host.Life, "left", b.Host.DrainRemaining)
		s.triggerReport()
	}
	if sizeChanged {
		s.log.Info("runner capacity changed", "life", b.Host.Life, "cpu", b.Host.Size.CPU, "mem", b.Host.Size.Mem)
		s.triggerReport()
	}
}

// trackLife resets the state for a new incarnation of the runner.
func (s *Supervisor) trackLife(b cowslipbend.RunnerHeartbeat) {
	if s.host != nil {
		s.recordLoss(cowslipbend.LossCrashed)
	}
	s.log.Info("runner discovered", "life", b.Host.Life, "service", b.Host.Service, "cpu", b.Host.Size.CPU, "mem", b.Host.Size.Mem)
	s.host, s.heartbeatSequence, s.lostLife, s.runnerLeaseEnd = &b.Host, b.Sequence, "", 0
	s.heartbeatAt = s.clock.Now()
	s.lastContact, s.unreachableRenewals, s.contactBrokenAt = s.clock.Now(), 0, 0
	s.clockSynced, s.ackedThrough, s.ackConfirmed = false, 0, 0
	s.lifeNumber, s.fence, s.lifeFenced = s.lifeNumber+1, 0, false
	s.noteFound(b.Host.Life, nil)
	s.found.reported = false
	s.running, s.unackedEnds, s.moreEnds, s.unreportedResults = nil, nil, false, nil
	s.listedRenewal = s.renewals
	s.runs = map[cowslipbend.RunRef]*run{}
	s.pacer = pacer.New(s.model)
	if s.cancelPoll != nil {
		s.cancelPoll()
	}
	s.triggerRenewal()
	s.triggerReport()
}

// startedBefore reports whether an incarnation started before another. The name
// of an incarnation ends with the time of its start.
func startedBefore(a, b cowslipbend.Incarnation) bool { return startTime(a) < startTime(b) }

// startTime returns the start time in the name of an incarnation, or zero if it
// has none.
func startTime(l cowslipbend.Incarnation) int64 {
	_, text, _ := strings.Cut(string(l), "@")
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}

// Leave handles the notice that the runner with the name is shutting down.
func (s *Supervisor) Leave(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil || s.host.Runner != name {
		return
	}
	s.log.Info("runner is shutting down", "life", s.host.Life)
	spec := *s.host
	spec.Draining = true
	s.host = &spec
	s.triggerReport()
}

func (s *Supervisor) triggerReport() {
	select {
	case s.reportTrigger <- struct{}{}:
	default:
	}
}

func (s *Supervisor) triggerRenewal() {
	close(s.renewalTrigger)
	s.renewalTrigger = make(chan struct{})
}

// runnerDeadline converts a time on this host's clock to the runner's clock,
// such that the runner never reaches it later, even if its clock runs slow. It
// returns zero, for no lease, while the runner's clock is unknown or the runner
// does not answer, so that the leases of a lost runner expire.
func (s *Supervisor) runnerDeadline(t cowslipbend.Time) cowslipbend.Time {
	if !s.clockSynced || s.clock.Now().Sub(s.lastContact) > contactTimeout {
		return 0
	}
	remaining := t.Sub(s.clock.Now())
	if remaining <= 0 {
		return 0
	}
	s.runnerLeaseEnd = max(s.runnerLeaseEnd, t)
	remaining -= remaining / driftDivisor
	return s.clock.Now().Add(remaining).Add(s.clockOffset)
}
