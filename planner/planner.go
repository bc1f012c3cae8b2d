package planner

import (
	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

// Options are the times of a planner.
type Options struct {
	// Lease is the longest lease granted to a host.
	Lease cowslipbend.Span
	// Inherited is the longest time for which leases of earlier owners hold.
	Inherited cowslipbend.Span
	// Keep is how long an ended flow is known.
	Keep cowslipbend.Span
}

// Times of orders.
const (
	// quiet is the silence of a host after which nothing more is placed on it:
	// two reports and a half.
	quiet = 1300 * cowslipbend.Millisecond
	// startTime is after how long a start that the host has not confirmed is
	// stopped. An agent gives a start up after a third of it.
	startTime = 2500 * cowslipbend.Millisecond
	// stopTime is the pause between two orders to stop the same run.
	stopTime = 700 * cowslipbend.Millisecond
	// fullTime is how long a host that refused a run for want of room gets
	// none: about the time of a stop.
	fullTime = 300 * cowslipbend.Millisecond
	// missTime is how long a run may be missing from a host's lists until it
	// counts as lost; reports that crossed a start are older than that.
	missTime = 2 * cowslipbend.Second
	// driftDivisor is the share by which a runner's clock may be slow.
	driftDivisor = 33
	// leaseSlack is added to leases for the steps of rounding.
	leaseSlack = 100 * cowslipbend.Millisecond
)

// Planner holds the flows and hosts of all pools for one epoch. It is not safe
// for concurrent use.
type Planner struct {
	opts  Options
	epoch cowslipbend.Epoch
	rules *cowslipbend.Rules
	flows map[cowslipbend.JobID]*flow
	// early holds flows that were cancelled before they were heard of.
	early  map[cowslipbend.JobID]bool
	hosts  map[cowslipbend.Incarnation]*host
	agents map[string]*agent
	dirty  map[cowslipbend.JobID]bool
	// live lists the flows that have not ended.
	live map[cowslipbend.JobID]*flow
	// shared is the store's clock as it was last told.
	shared cowslipbend.Time
	// blame learns how filling images press on serving ones.
	blame *estimator.Estimator
	// advice is what the advisor has told of steps.
	advice map[stepKey]*advice
	// joined is set when the agents have changed since Joined was last called.
	joined bool
	// outbox gathers the orders of a decision.
	outbox map[*host]*cowslipbend.HostOrders
}

// agent is a process beside a runner.
type agent struct {
	url    string
	life   cowslipbend.Incarnation
	number int64
	// host is the life of its runner.
	host cowslipbend.Incarnation
	// told is set once this life of the agent knows what its runs are.
	told bool
	// retired holds the earlier lives, whose reports may still arrive.
	retired map[cowslipbend.Incarnation]bool
}

// New returns a planner without flows and hosts.
func New(epoch cowslipbend.Epoch, opts Options) *Planner {
	return &Planner{
		opts: opts, epoch: epoch, flows: map[cowslipbend.JobID]*flow{}, early: map[cowslipbend.JobID]bool{},
		hosts: map[cowslipbend.Incarnation]*host{}, agents: map[string]*agent{}, dirty: map[cowslipbend.JobID]bool{},
		live: map[cowslipbend.JobID]*flow{}, blame: estimator.New(), advice: map[stepKey]*advice{}, outbox: map[*host]*cowslipbend.HostOrders{},
	}
}

// Tell sets the store's clock.
func (p *Planner) Tell(shared cowslipbend.Time) { p.shared = shared }

// Configure sets the rules in force.
func (p *Planner) Configure(r *cowslipbend.Rules) { p.rules = r }

// Submit takes an accepted flow. A flow that is known already changes nothing.
func (p *Planner) Submit(def *cowslipbend.Flow) {
	if p.flows[def.ID] != nil {
		return
	}
	f := newFlow(def)
	p.flows[def.ID] = f
	p.live[def.ID] = f
	if p.early[def.ID] {
		delete(p.early, def.ID)
		p.Cancel(def.ID)
	}
}

// Cancel ends a flow; its runs are stopped.
func (p *Planner) Cancel(id cowslipbend.JobID) {
	f := p.flows[id]
	if f == nil {
		p.early[id] = true
		return
	}
	if !f.state().Ended() {
		p.finish(f, cowslipbend.FlowCancelled)
	}
}

func (p *Planner) finish(f *flow, s cowslipbend.FlowState) {
	f.final, f.ended = s, p.shared
	p.forgetAdvice(f.def.ID)
	delete(p.live, f.def.ID)
	p.mark(f)
}

func (p *Planner) mark(f *flow) { p.dirty[f.def.ID] = true }

// policy returns what the queue of a flow demands now.
func (p *Planner) policy(f *flow) cowslipbend.FlowPolicy {
	if p.rules != nil {
		if q := p.rules.Queue(f.def.Queue); q != nil {
			return q.Policy
		}
	}
	return f.def.Policy
}

// State returns a flow's state; false if it is unknown.
func (p *Planner) State(id cowslipbend.JobID) (cowslipbend.FlowState, bool) {
	f := p.flows[id]
	if f == nil {
		return "", false
	}
	return f.state(), true
}

// Waiting counts the flows by queue of which no task has begun.
func (p *Planner) Waiting() map[cowslipbend.QueueID]int {
	counts := map[cowslipbend.QueueID]int{}
	for _, f := range p.live {
		if !f.begun {
			counts[f.def.Queue]++
		}
	}
	return counts
}

// Expired returns the flows that ended so long before the moment on the
// store's clock that they need not be known any more, and forgets them.
func (p *Planner) Expired(now cowslipbend.Time) []cowslipbend.JobID {
	var ids []cowslipbend.JobID
	for id, f := range p.flows {
		if f.final != "" && now.Sub(f.ended) > p.opts.Keep && !p.onHost(f) {
			ids = append(ids, id)
			delete(p.flows, id)
			delete(p.dirty, id)
		}
	}
	return ids
}

// onHost reports whether any host still holds a run of the flow.
func (p *Planner) onHost(f *flow) bool {
	for _, h := range p.hosts {
		for ref := range h.runs {
			if ref.Task.Job == f.def.ID {
				return true
			}
		}
	}
	return false
}

// end applies the end of a run to its task.
func (p *Planner) end(ref cowslipbend.RunRef, how cowslipbend.EndKind, saved string) {
	f := p.flows[ref.Task.Job]
	if f == nil {
		return
	}
	t := f.task(ref.Task)
	if t == nil || t.phase == phaseDone || f.final != "" {
		return
	}
	current := t.run == ref.Run && t.phase == phasePlaced
	step := f.step(ref.Task)
	switch {
	case how == cowslipbend.EndDone && !step.def.Lasting:
		p.done(f, step, t, ref)
	case !current:
		// The task has gone on without this run.
	case how == cowslipbend.EndFailed && !step.def.Lasting:
		t.fails++
		p.failed(f, t)
	default:
		t.wait(saved)
	}
	f.recount()
	p.mark(f)
}

// done marks the task as complete, or its whole gang.
func (p *Planner) done(f *flow, step *step, t *task, ref cowslipbend.RunRef) {
	t.phase = phaseDone
	if step.def.Gang {
		for i := range step.tasks {
			step.tasks[i].phase = phaseDone
			step.tasks[i].run = max(step.tasks[i].run, ref.Run)
		}
	}
	f.advance()
	if f.complete() {
		p.finish(f, cowslipbend.FlowDone)
	}
}

// failed counts a failure and ends the flow once a task has no attempt left.
func (p *Planner) failed(f *flow, t *task) {
	t.wait(t.saved)
	limit := p.policy(f).MaxAttempts
	if limit > 0 && t.fails >= limit {
		p.finish(f, cowslipbend.FlowFailed)
	}
}
