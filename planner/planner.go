package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
	"cowslipbend.dev/predictor"
	"cowslipbend.dev/reserver"
	"cowslipbend.dev/sequencer"
)

// Options are the settings of a planner.
type Options struct {
	// MaxLease is the longest lease granted to a host.
	MaxLease cowslipbend.Span
	// MaxRunnerLease is the longest lease that a runner accepts. Zero means that it is not
	// longer than MaxLease.
	MaxRunnerLease cowslipbend.Span
	// MaxPriorLease is the longest time for which a lease granted by an earlier
	// owner can still be valid.
	MaxPriorLease cowslipbend.Span
	// FlowRetention is how long a flow is kept after its end.
	FlowRetention cowslipbend.Span
	// MaxRow is the largest row of the store. Zero means that rows are not bounded.
	MaxRow cowslipbend.Bytes
	// Reserver bounds the reservations for large tasks that wait. The zero value
	// reserves nothing.
	Reserver reserver.Options
}

// Timeouts and intervals.
const (
	// reportTimeout is the time since the last report of a host after which
	// nothing more is placed on it: two and a half report intervals.
	reportTimeout = 1300 * cowslipbend.Millisecond
	// startTimeout is the time after which an unconfirmed start is stopped. The
	// agent gives up a start after a third of it.
	startTimeout = 2500 * cowslipbend.Millisecond
	// stopResendInterval is the time between two orders to stop the same run.
	stopResendInterval = 700 * cowslipbend.Millisecond
	// placementBackoff is how long a host gets no new runs after it refused one
	// for lack of resources, or after orders to it were not sent. It is about
	// the time that stopping a run takes.
	placementBackoff = 300 * cowslipbend.Millisecond
	// missingTimeout is how long a run may be missing from the lists of its
	// host before it counts as lost. It exceeds the delay of reports that were
	// sent before the run started.
	missingTimeout = 2 * cowslipbend.Second
	// driftDivisor bounds the clock drift: the clock of a runner may be slow by
	// 1/driftDivisor.
	driftDivisor = 33
	// leaseSlack is added to leases for rounding.
	leaseSlack = 100 * cowslipbend.Millisecond
)

// Planner holds the flows and hosts of all pools for one epoch. It is not safe
// for concurrent use.
type Planner struct {
	opts  Options
	epoch cowslipbend.Epoch
	rules *cowslipbend.Rules
	flows map[cowslipbend.JobID]*flow
	// earlyCancels holds the flows that were cancelled before they were
	// submitted.
	earlyCancels map[cowslipbend.JobID]bool
	// withheld holds the flows that Submit ignores.
	withheld map[cowslipbend.JobID]*cowslipbend.Flow
	hosts    map[cowslipbend.Incarnation]*host
	agents   map[string]*agent
	// dirtyFlows holds the flows whose progress has changed since it was last
	// encoded for a commit.
	dirtyFlows map[cowslipbend.JobID]bool
	// liveFlows holds the flows that have not ended.
	liveFlows map[cowslipbend.JobID]*flow
	// now is the time of the current decision, on the clock of this process.
	now cowslipbend.Time
	// storeNow is the last known time on the clock of the store.
	storeNow cowslipbend.Time
	// estimator estimates how strongly filling images interfere with serving
	// ones.
	estimator *estimator.Estimator
	// interferenceTaken is the version of its estimates at the last call of
	// TakeInterference.
	interferenceTaken int64
	// predictor estimates the lengths of tasks.
	predictor *predictor.Predictor
	// lengthsLearned is set if it has learned since the last call of TakeLengths.
	lengthsLearned bool
	// learned counts what they came to.
	learned Learned
	// sequencer orders the waiting flows.
	sequencer *sequencer.Sequencer
	// order holds the ready flows in the order of the last decision.
	order []orderedFlow
	// advice holds the answers of the advisor by step.
	advice map[stepKey]*stepAdvice
	// dirtyAgents holds the URLs of agents that were added, changed or forgotten since
	// the last call of TakeAgents. forgottenProcess is the highest number of a process
	// of an agent that was forgotten.
	dirtyAgents      map[string]bool
	forgottenProcess int64
	agentsCheckedAt  cowslipbend.Time
	// processesUsedUp is set once a process of an agent was not given a number.
	processesUsedUp bool
	// rows encodes progress for the store. rowEvents holds the events since the last call
	// of TakeRowEvents.
	rows      rowEncoder
	rowEvents eventLog[RowEvent]
	// uncommitted holds the placements of the current decision.
	uncommitted []*placement
	// stopsDue is set if a run may have to be stopped at once; stopsCheckedAt is
	// when all runs were last checked for it.
	stopsDue       bool
	stopsCheckedAt cowslipbend.Time
	// grades grades the hosts by their speed.
	grades grades
	// copies is the state of speculative execution.
	copies copies
	// banned holds the hosts by service that are left out of the current decision as
	// runs have failed there, although they could start runs.
	banned map[cowslipbend.ServiceID][]*host
	// outbox collects the orders of the current decision.
	outbox map[*host]*cowslipbend.HostOrders
	// domains holds which failure domains are out of service.
	domains domains
	// evacuation holds what becomes of the runs there.
	evacuation evacuation
	ahead      ahead
	// losses holds the losses of hosts since the last call of TakeLossEvents.
	losses eventLog[LossEvent]
	// missing holds the runs that ended by their absence since the last call of
	// TakeMissingEvents.
	missing eventLog[MissingEvent]
	// bans holds the bans of hosts since the last call of TakeBanEvents.
	bans   eventLog[BanEvent]
	trials trials
}

// New returns a planner without flows and hosts.
func New(epoch cowslipbend.Epoch, opts Options) *Planner {
	return &Planner{
		opts: opts, epoch: epoch, flows: map[cowslipbend.JobID]*flow{}, earlyCancels: map[cowslipbend.JobID]bool{}, withheld: map[cowslipbend.JobID]*cowslipbend.Flow{},
		hosts: map[cowslipbend.Incarnation]*host{}, agents: map[string]*agent{}, dirtyAgents: map[string]bool{}, dirtyFlows: map[cowslipbend.JobID]bool{},
		liveFlows: map[cowslipbend.JobID]*flow{}, estimator: estimator.New(), predictor: predictor.New(), sequencer: sequencer.New(), advice: map[stepKey]*stepAdvice{}, outbox: map[*host]*cowslipbend.HostOrders{},
	}
}

// SetStoreTime sets the current time on the clock of the store.
func (p *Planner) SetStoreTime(storeNow cowslipbend.Time) { p.storeNow = storeNow }

// SetRules sets the rules in force.
func (p *Planner) SetRules(r *cowslipbend.Rules) { p.rules = r }

// Submit adds an accepted flow. It does nothing if the flow is known or withheld.
func (p *Planner) Submit(def *cowslipbend.Flow) {
	if p.flows[def.ID] != nil || p.withheld[def.ID] != nil {
		return
	}
	f := newFlow(def)
	p.flows[def.ID] = f
	p.liveFlows[def.ID] = f
	if p.earlyCancels[def.ID] {
		delete(p.earlyCancels, def.ID)
		p.Cancel(def.ID)
	}
}

// Cancel ends a flow. The next decision stops its runs.
func (p *Planner) Cancel(id cowslipbend.JobID) {
	f := p.flows[id]
	if f == nil {
		p.earlyCancels[id] = true
		return
	}
	if !f.state().Ended() {
		p.finish(f, cowslipbend.FlowCancelled)
	}
}

func (p *Planner) finish(f *flow, s cowslipbend.FlowState) {
	f.finalState, f.endedAt = s, p.storeNow
	if s == cowslipbend.FlowDone {
		p.recordDone(f)
	}
	f.lengths = nil // Ended flows are kept for long, and their classes have learned.
	p.stopsDue = p.stopsDue || s != cowslipbend.FlowDone
	p.forgetAdvice(f.def.ID)
	delete(p.liveFlows, f.def.ID)
	p.markDirty(f)
}

func (p *Planner) markDirty(f *flow) { p.dirtyFlows[f.def.ID] = true }

// policy returns the current policy of the queue of a flow, or the policy at
// acceptance if the queue has been removed.
func (p *Planner) policy(f *flow) cowslipbend.FlowPolicy {
	if p.rules != nil {
		if q := p.rules.Queue(f.def.Queue); q != nil {
			return q.Policy
		}
	}
	return f.def.Policy
}

// State returns the state of a flow, or false if the flow is unknown.
func (p *Planner) State(id cowslipbend.JobID) (cowslipbend.FlowState, bool) {
	f := p.flows[id]
	if f == nil {
		return "", false
	}
	return f.state(), true
}

// CountQueued counts the flows without a started task by queue.
func (p *Planner) CountQueued() map[cowslipbend.QueueID]int {
	counts := map[cowslipbend.QueueID]int{}
	for _, f := range p.liveFlows {
		if !f.begun {
			counts[f.def.Queue]++
		}
	}
	return counts
}

// ExpiredFlows returns the flows that ended longer than FlowRetention before now, a
// time on the clock of the store. Flows with runs on a host are left out.
func (p *Planner) ExpiredFlows(now cowslipbend.Time) []cowslipbend.JobID {
	var ids []cowslipbend.JobID
	for id, f := range p.flows {
		if f.finalState != "" && now.Sub(f.endedAt) > p.opts.FlowRetention && !p.hasRuns(f) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget removes an ended flow. A flow with its id that is submitted later is another one.
func (p *Planner) Forget(id cowslipbend.JobID) {
	delete(p.flows, id)
	delete(p.dirtyFlows, id)
}

// hasRuns reports whether any host has a run of the flow.
func (p *Planner) hasRuns(f *flow) bool {
	for _, h := range p.hosts {
		for ref := range h.runs {
			if ref.Task.Job == f.def.ID {
				return true
			}
		}
	}
	return false
}

// endRun applies the end of a run to its task.
func (p *Planner) endRun(ref cowslipbend.RunRef, kind cowslipbend.EndKind, checkpoint string) {
	f := p.flows[ref.Task.Job]
	if f == nil {
		return
	}
	t := f.task(ref.Task)
	if t == nil || t.phase == phaseDone || f.finalState != "" {
		return
	}
	current := t.holds(ref.Run) && t.phase == phasePlaced
	step := f.step(ref.Task)
	switch {
	case kind == cowslipbend.EndDone && !step.def.Lasting:
		p.settleCopy(t, ref)
		p.completeTask(f, step, t, ref)
	case !current:
		// The run is not a current one of its task.
	case kind == cowslipbend.EndFailed && !step.def.Lasting:
		t.failures++
		p.retryOrFail(f, t, ref)
	case p.dropRun(t, ref):
		// The other run of the task continues.
	default:
		t.requeue(checkpoint)
	}
	f.updateCounts()
	p.markDirty(f)
}

// completeTask marks the task as done. One done member completes a whole gang.
func (p *Planner) completeTask(f *flow, step *step, t *task, ref cowslipbend.RunRef) {
	t.phase = phaseDone
	if step.def.Gang {
		for i := range step.tasks {
			step.tasks[i].phase = phaseDone
			step.tasks[i].run = max(step.tasks[i].run, ref.Run)
		}
	}
	f.closeCompleteRounds()
	if f.isComplete() {
		p.finish(f, cowslipbend.FlowDone)
	}
}

// retryOrFail returns a failed task to the waiting ones, unless it has another
// run, or ends the flow if the task has no attempt left.
func (p *Planner) retryOrFail(f *flow, t *task, ref cowslipbend.RunRef) {
	if !p.dropRun(t, ref) {
		t.requeue(t.checkpoint)
	}
	limit := p.policy(f).MaxAttempts
	if limit > 0 && t.failures >= limit {
		p.finish(f, cowslipbend.FlowFailed)
	}
}
