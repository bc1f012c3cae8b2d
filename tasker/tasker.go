package tasker

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"cowslipbend.dev"
)

// key names one attempt.
type key struct {
	task    cowslipbend.TaskID
	attempt cowslipbend.Attempt
}

// mark is the newest attempt of a task that was ordered here, and when.
type mark struct {
	attempt cowslipbend.Attempt
	at      cowslipbend.Time
}

// Times for which refusals are remembered. An order older than OrderAge is
// not taken at all, so that what is older than markAge can be forgotten: no
// late duplicate of a refused order can be taken for a new one.
const (
	OrderAge = cowslipbend.Minute
	markAge  = 2 * OrderAge
)

// held is one attempt that the worker holds.
type held struct {
	start  cowslipbend.Start
	status cowslipbend.TaskStatus
	// known is set once the worker has confirmed that it has the attempt, at
	// the moment since.
	known bool
	since cowslipbend.Time
	// until is the end of its lease; zero for what an earlier life of this
	// agent started, whose end only the worker knows.
	until cowslipbend.Time
	// asking is set while the worker is being asked to start it.
	asking bool
}

// Tasker holds the tasks of one worker. It is safe for concurrent use.
//
// The sum of the sizes of held tasks never exceeds the worker, and of each
// task only the newest attempt is ever started.
type Tasker struct {
	machine cowslipbend.Machine
	clock   cowslipbend.Clock

	mu   sync.Mutex
	size cowslipbend.Resources
	// asked is set once the worker has told what it holds.
	asked bool
	epoch cowslipbend.Epoch
	// until is the end of the newest lease; it has not lapsed since the
	// heartbeat that was sent at the moment begun.
	until   cowslipbend.Time
	begun   cowslipbend.Time
	tasks   map[cowslipbend.TaskID]*held
	newest  map[cowslipbend.TaskID]mark
	reports map[key]cowslipbend.TaskStatus
	// fresh is set when a report is new.
	fresh bool
	usage []cowslipbend.TaskStatus
}

// New returns a tasker for the worker.
func New(machine cowslipbend.Machine, clock cowslipbend.Clock) *Tasker {
	return &Tasker{
		machine: machine,
		clock:   clock,
		tasks:   map[cowslipbend.TaskID]*held{},
		newest:  map[cowslipbend.TaskID]mark{},
		reports: map[key]cowslipbend.TaskStatus{},
	}
}

// Order takes the owner's epoch and the newest moment of this host's clock
// that the owner had heard of when it gave the order. It returns KindStale for
// an earlier epoch or an old order, and KindDown while the worker has not yet
// told what an earlier life of this agent left on it. None of them tells that
// an attempt never ran.
func (t *Tasker) Order(epoch cowslipbend.Epoch, token cowslipbend.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.asked {
		return cowslipbend.Fail(cowslipbend.KindDown, "worker has not told yet what it holds", "send the order again")
	}
	if t.clock.Now().Sub(token) > OrderAge {
		return cowslipbend.Fail(cowslipbend.KindStale, "order is older than "+OrderAge.String(), "send it again after the next heartbeat")
	}
	return t.order(epoch)
}

func (t *Tasker) order(epoch cowslipbend.Epoch) error {
	if epoch < t.epoch {
		return cowslipbend.Fail(cowslipbend.KindStale, fmt.Sprintf("epoch %d is over, %d rules", epoch, t.epoch), "step down as owner of the pool")
	}
	t.epoch = epoch
	return nil
}

// Grant moves the end of the batch lease to the span after the moment the
// heartbeat was sent, for the attempts that the heartbeat named: the owner has
// compared just these with its journal. The lease never moves back.
func (t *Tasker) Grant(epoch cowslipbend.Epoch, sent cowslipbend.Time, lease cowslipbend.Span, named []cowslipbend.TaskStatus) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.order(epoch); err != nil {
		return err
	}
	if t.until <= t.clock.Now() {
		t.begun = sent
	}
	end := sent.Add(lease)
	t.until = max(t.until, end)
	for _, s := range named {
		if h, ok := t.tasks[s.Task]; ok && h.start.Attempt == s.Attempt {
			h.until = max(h.until, end)
		}
	}
	return nil
}

// Start runs an attempt on the worker, or refuses it: KindStale for an old
// epoch or attempt and KindBusy if it does not fit are final; KindLate, without
// a lease that has lasted since the moment token of the order, is not.
func (t *Tasker) Start(ctx context.Context, s cowslipbend.Start, token cowslipbend.Time) error {
	repeated, err := t.reserve(&s, token)
	if err != nil || repeated {
		return err
	}
	t.ask(ctx, s)
	return nil
}

// ask has the worker start an attempt. Without an answer the attempt stays
// held, and the next poll asks again: the worker takes it once.
func (t *Tasker) ask(ctx context.Context, s cowslipbend.Start) {
	err := t.machine.Start(ctx, s)
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.tasks[s.Task]
	if !ok || h.start.Attempt != s.Attempt {
		return
	}
	h.asking = false
	switch cowslipbend.KindOf(err) {
	case "":
		h.known, h.since = true, t.clock.Now()
	case cowslipbend.KindDown, cowslipbend.KindUnknown:
	default:
		t.end(h, cowslipbend.TaskStatus{Failed: true, Reason: err.Error()})
	}
}

// end turns a held attempt that the worker does not have into a report.
func (t *Tasker) end(h *held, s cowslipbend.TaskStatus) {
	s.Task, s.Attempt, s.Phase = h.start.Task, h.start.Attempt, cowslipbend.Queued
	delete(t.tasks, s.Task)
	t.report(s)
}

// report keeps the end of an attempt until the owner acknowledges it.
func (t *Tasker) report(s cowslipbend.TaskStatus) {
	k := key{s.Task, s.Attempt}
	if _, known := t.reports[k]; !known {
		t.fresh = true
	}
	t.reports[k] = s
}

// Fresh reports whether attempts have ended since it was last called.
func (t *Tasker) Fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := t.fresh
	t.fresh = false
	return fresh
}

// reserve records the attempt before the worker is asked. It reports true for
// the repeat of an order that was accepted: refusing that would tell the owner
// that an attempt never ran which runs here.
func (t *Tasker) reserve(s *cowslipbend.Start, token cowslipbend.Time) (repeated bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.order(s.Epoch); err != nil {
		return false, err
	}
	if t.accepted(s.Task, s.Attempt) {
		return true, nil
	}
	// Once the lease has lapsed the owner may have placed elsewhere what it
	// ordered before.
	if s.Service == "" && (t.until <= t.clock.Now() || token < t.begun) {
		return false, cowslipbend.Fail(cowslipbend.KindLate, "the batch lease has lapsed since the order", "send it again after the next heartbeat")
	}
	return false, t.admit(s)
}

// accepted reports whether the attempt is held or waits for the owner's
// acknowledgement.
func (t *Tasker) accepted(task cowslipbend.TaskID, attempt cowslipbend.Attempt) bool {
	if h, ok := t.tasks[task]; ok && h.start.Attempt == attempt {
		return true
	}
	_, ok := t.reports[key{task, attempt}]
	return ok
}

// admit refuses an attempt for good or makes room for it.
func (t *Tasker) admit(s *cowslipbend.Start) error {
	if s.Attempt <= t.newest[s.Task].attempt {
		return cowslipbend.Fail(cowslipbend.KindStale, fmt.Sprintf("attempt %d of %s is not newer", s.Attempt, s.Task), "read the pool's journal")
	}
	// From here on a refusal is final: a late duplicate of the order must not
	// start what the owner has placed elsewhere.
	t.newest[s.Task] = mark{s.Attempt, t.clock.Now()}
	if _, runs := t.tasks[s.Task]; runs {
		return cowslipbend.Fail(cowslipbend.KindBusy, "an earlier attempt of "+string(s.Task)+" is still here", "wait for its report")
	}
	if sum := t.reserved().Plus(s.Size); !sum.Fits(t.size) {
		return cowslipbend.Fail(cowslipbend.KindBusy, "task "+string(s.Task)+" does not fit beside the others", "place it elsewhere")
	}
	if s.Service == "" {
		s.Until = t.until
	}
	t.tasks[s.Task] = &held{start: *s, until: t.until, asking: true, status: cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Phase: cowslipbend.Assigned}}
	return nil
}

func (t *Tasker) reserved() cowslipbend.Resources {
	var sum cowslipbend.Resources
	for _, h := range t.tasks {
		sum = sum.Plus(h.start.Size)
	}
	return sum
}

// Evict checkpoints and stops an attempt, after Order was asked. An attempt
// that has ended is no error, as its report is on the way.
func (t *Tasker) Evict(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if t.forestall(task, attempt) {
		return nil
	}
	return t.machine.Evict(ctx, task, attempt)
}

// Stop ends an attempt without a checkpoint, after Order was asked.
func (t *Tasker) Stop(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if t.forestall(task, attempt) {
		return nil
	}
	return t.machine.Stop(ctx, task, attempt)
}

// forestall reports whether the attempt was never taken here. It then refuses
// it for good and reports its end, as the owner gives its reservation back
// only on a report.
func (t *Tasker) forestall(task cowslipbend.TaskID, attempt cowslipbend.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepted(task, attempt) || attempt <= t.newest[task].attempt {
		return false
	}
	t.newest[task] = mark{attempt, t.clock.Now()}
	t.report(cowslipbend.TaskStatus{Task: task, Attempt: attempt, Phase: cowslipbend.Queued, Reason: "stopped before its start"})
	return true
}

// Poll reads the worker's status, turns ended attempts into reports and moves
// the lease ends of what runs.
func (t *Tasker) Poll(ctx context.Context) error {
	asked := t.clock.Now()
	status, err := t.machine.Status(ctx)
	if err != nil {
		return err
	}
	leases := t.merge(status, asked)
	for _, s := range t.unanswered() {
		t.ask(ctx, s)
	}
	if len(leases) == 0 {
		return nil
	}
	return t.machine.Lease(ctx, leases)
}

// unanswered returns the starts to ask the worker for again.
func (t *Tasker) unanswered() []cowslipbend.Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []cowslipbend.Start
	for _, h := range t.tasks {
		if h.known || h.asking {
			continue
		}
		h.asking = true
		if h.start.Service == "" {
			h.start.Until = h.until
		}
		list = append(list, h.start)
	}
	return list
}

// merge takes a status into the table and returns the lease ends to set.
func (t *Tasker) merge(status cowslipbend.MachineStatus, asked cowslipbend.Time) map[cowslipbend.TaskID]cowslipbend.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.size, t.asked = status.Size, true
	now := t.clock.Now()
	t.usage = t.usage[:0]
	leases, there := map[cowslipbend.TaskID]cowslipbend.Time{}, map[cowslipbend.TaskID]bool{}
	for _, s := range status.Tasks {
		t.newest[s.Task] = mark{max(t.newest[s.Task].attempt, s.Attempt), now}
		if s.Phase != cowslipbend.Running {
			t.ended(s)
			continue
		}
		h := t.adopt(s)
		h.status, h.known, h.since = s, true, asked
		there[s.Task] = true
		t.usage = append(t.usage, s)
		if s.Service == "" && h.until != 0 {
			leases[s.Task] = h.until
		}
	}
	t.missing(there, asked)
	t.forget(now)
	return leases
}

// missing reports the attempts that the worker had and that are not in a
// status asked for later: it was restarted and lost them.
func (t *Tasker) missing(there map[cowslipbend.TaskID]bool, asked cowslipbend.Time) {
	for id, h := range t.tasks {
		if !there[id] && h.known && h.since < asked {
			t.end(h, cowslipbend.TaskStatus{Reason: "worker no longer has it"})
		}
	}
}

// forget drops the marks that no order can be compared with any more.
func (t *Tasker) forget(now cowslipbend.Time) {
	for id, m := range t.newest {
		if _, runs := t.tasks[id]; !runs && now.Sub(m.at) > markAge {
			delete(t.newest, id)
		}
	}
}

// adopt returns the entry of a running task, making one for a task that an
// earlier life of this agent started.
func (t *Tasker) adopt(s cowslipbend.TaskStatus) *held {
	h, ok := t.tasks[s.Task]
	if !ok {
		h = &held{start: cowslipbend.Start{Task: s.Task, Attempt: s.Attempt, Class: s.Class, Size: s.Size, Service: s.Service}}
		t.tasks[s.Task] = h
	}
	return h
}

func (t *Tasker) ended(s cowslipbend.TaskStatus) {
	t.report(s)
	if h, ok := t.tasks[s.Task]; ok && h.start.Attempt == s.Attempt {
		delete(t.tasks, s.Task)
	}
}

// Acknowledge drops a report that the owner has committed.
func (t *Tasker) Acknowledge(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) {
	t.mu.Lock()
	_, ok := t.reports[key{task, attempt}]
	t.mu.Unlock()
	if !ok || t.machine.Forget(ctx, task, attempt) != nil {
		return // The report is sent again and acknowledged again.
	}
	t.mu.Lock()
	delete(t.reports, key{task, attempt})
	t.mu.Unlock()
}

// View is what the next heartbeat tells.
type View struct {
	Size    cowslipbend.Resources
	Epoch   cowslipbend.Epoch
	Reports []cowslipbend.TaskStatus
	Usage   []cowslipbend.TaskStatus
}

// View returns the state for a heartbeat. Running tasks are reported as such
// each time, ended ones until they are acknowledged.
func (t *Tasker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{Size: t.size, Epoch: t.epoch, Usage: append([]cowslipbend.TaskStatus(nil), t.usage...)}
	for _, s := range t.reports {
		v.Reports = append(v.Reports, s)
	}
	sort.Slice(v.Reports, func(i, j int) bool { return v.Reports[i].Task < v.Reports[j].Task })
	return v
}
