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

// held is one attempt that the worker holds.
type held struct {
	start  cowslipbend.Start
	status cowslipbend.TaskStatus
}

// Tasker holds the tasks of one worker. It is safe for concurrent use.
//
// The sum of the sizes of held tasks never exceeds the worker, and of each
// task only the newest attempt is ever started.
type Tasker struct {
	machine cowslipbend.Machine
	clock   cowslipbend.Clock

	mu      sync.Mutex
	size    cowslipbend.Resources
	epoch   cowslipbend.Epoch
	until   cowslipbend.Time
	tasks   map[cowslipbend.TaskID]*held
	newest  map[cowslipbend.TaskID]cowslipbend.Attempt
	reports map[key]cowslipbend.TaskStatus
	usage   []cowslipbend.TaskStatus
}

// New returns a tasker for the worker.
func New(machine cowslipbend.Machine, clock cowslipbend.Clock) *Tasker {
	return &Tasker{
		machine: machine,
		clock:   clock,
		tasks:   map[cowslipbend.TaskID]*held{},
		newest:  map[cowslipbend.TaskID]cowslipbend.Attempt{},
		reports: map[key]cowslipbend.TaskStatus{},
	}
}

// Order takes the owner's epoch. It returns KindStale for an earlier one.
func (t *Tasker) Order(epoch cowslipbend.Epoch) error {
	t.mu.Lock()
	defer t.mu.Unlock()
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
// heartbeat was sent. The lease never moves back within an epoch.
func (t *Tasker) Grant(epoch cowslipbend.Epoch, sent cowslipbend.Time, lease cowslipbend.Span) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.order(epoch); err != nil {
		return err
	}
	t.until = max(t.until, sent.Add(lease))
	return nil
}

// Start runs an attempt on the worker, or refuses it: KindStale for an old
// epoch or attempt, KindBusy if it does not fit, KindLate without a lease.
func (t *Tasker) Start(ctx context.Context, s cowslipbend.Start) error {
	repeated, err := t.reserve(&s)
	if err != nil || repeated {
		return err
	}
	if err := t.machine.Start(ctx, s); err != nil {
		t.failed(s, err)
		return nil
	}
	return nil
}

// reserve records the attempt before the worker is asked. It reports true for
// the repeat of an order that was accepted: refusing that would tell the owner
// that an attempt never ran which runs here.
func (t *Tasker) reserve(s *cowslipbend.Start) (repeated bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.order(s.Epoch); err != nil {
		return false, err
	}
	if t.accepted(s.Task, s.Attempt) {
		return true, nil
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
	if s.Attempt <= t.newest[s.Task] {
		return cowslipbend.Fail(cowslipbend.KindStale, fmt.Sprintf("attempt %d of %s is not newer", s.Attempt, s.Task), "read the pool's journal")
	}
	// From here on a refusal is final: a late duplicate of the order must not
	// start what the owner has placed elsewhere.
	t.newest[s.Task] = s.Attempt
	if _, runs := t.tasks[s.Task]; runs {
		return cowslipbend.Fail(cowslipbend.KindBusy, "an earlier attempt of "+string(s.Task)+" is still here", "wait for its report")
	}
	if s.Service == "" && t.until <= t.clock.Now() {
		return cowslipbend.Fail(cowslipbend.KindLate, "the batch lease has lapsed", "renew it by a heartbeat first")
	}
	if sum := t.reserved().Plus(s.Size); !sum.Fits(t.size) {
		return cowslipbend.Fail(cowslipbend.KindBusy, "task "+string(s.Task)+" does not fit beside the others", "place it elsewhere")
	}
	if s.Service == "" {
		s.Until = t.until
	}
	t.tasks[s.Task] = &held{start: *s, status: cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Phase: cowslipbend.Assigned}}
	return nil
}

// failed turns a start that the worker refused into a report.
func (t *Tasker) failed(s cowslipbend.Start, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cowslipbend.KindOf(cause) == cowslipbend.KindDown {
		return // It may run; the next status tells.
	}
	delete(t.tasks, s.Task)
	t.reports[key{s.Task, s.Attempt}] = cowslipbend.TaskStatus{
		Task: s.Task, Attempt: s.Attempt, Phase: cowslipbend.Queued, Failed: true, Reason: cause.Error(),
	}
}

func (t *Tasker) reserved() cowslipbend.Resources {
	var sum cowslipbend.Resources
	for _, h := range t.tasks {
		sum = sum.Plus(h.start.Size)
	}
	return sum
}

// Evict checkpoints and stops an attempt. An unknown attempt is no error, as
// its report is on the way.
func (t *Tasker) Evict(ctx context.Context, epoch cowslipbend.Epoch, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if err := t.Order(epoch); err != nil {
		return err
	}
	return t.machine.Evict(ctx, task, attempt)
}

// Stop ends an attempt without a checkpoint.
func (t *Tasker) Stop(ctx context.Context, epoch cowslipbend.Epoch, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if err := t.Order(epoch); err != nil {
		return err
	}
	return t.machine.Stop(ctx, task, attempt)
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
	if len(leases) == 0 {
		return nil
	}
	return t.machine.Lease(ctx, leases)
}

// merge takes a status into the table and returns the lease ends to set.
func (t *Tasker) merge(status cowslipbend.MachineStatus, _ cowslipbend.Time) map[cowslipbend.TaskID]cowslipbend.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.size = status.Size
	t.usage = t.usage[:0]
	leases := map[cowslipbend.TaskID]cowslipbend.Time{}
	for _, s := range status.Tasks {
		t.newest[s.Task] = max(t.newest[s.Task], s.Attempt)
		if s.Phase != cowslipbend.Running {
			t.ended(s)
			continue
		}
		h := t.adopt(s)
		h.status = s
		t.usage = append(t.usage, s)
		if s.Service == "" {
			leases[s.Task] = t.until
		}
	}
	return leases
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
	t.reports[key{s.Task, s.Attempt}] = s
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
