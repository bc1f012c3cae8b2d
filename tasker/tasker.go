package tasker

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"cowslipbend.dev"
)

// attemptKey identifies an attempt.
type attemptKey struct {
	task    cowslipbend.TaskID
	attempt cowslipbend.Attempt
}

// attemptRecord is the newest attempt of a task known to this agent, and when it was
// last ordered or last reported by the worker.
type attemptRecord struct {
	attempt cowslipbend.Attempt
	seenAt  cowslipbend.Time
}

// As orders older than MaxOrderAge are refused, an attemptRecord can be dropped
// after recordRetention: no late duplicate of a refused order can be mistaken
// for a new order.
const (
	MaxOrderAge     = cowslipbend.Minute
	recordRetention = 2 * MaxOrderAge
)

// heldAttempt is an attempt that the worker runs or has been asked to start.
type heldAttempt struct {
	start  cowslipbend.Start
	status cowslipbend.TaskStatus
	// confirmed is set once the worker has confirmed that it has the attempt, most
	// recently at confirmedAt.
	confirmed   bool
	confirmedAt cowslipbend.Time
	// leaseUntil is the end of the attempt's lease. It is zero if an earlier
	// incarnation of this agent started the attempt, as only the worker knows the
	// end of its lease then.
	leaseUntil cowslipbend.Time
	// startInFlight is set while a start request to the worker is in flight.
	startInFlight bool
}

// Tasker holds the tasks of one worker. It is safe for concurrent use.
//
// The sum of the sizes of held attempts never exceeds the size of the worker, and
// only the newest attempt of a task is ever started.
type Tasker struct {
	machine cowslipbend.Machine
	clock   cowslipbend.Clock

	mu   sync.Mutex
	size cowslipbend.Resources
	// hasStatus is set once the worker has reported its tasks.
	hasStatus bool
	epoch     cowslipbend.Epoch
	// leaseUntil is the end of the batch lease, which has been held without a gap
	// since leaseSince, the sending time of a heartbeat.
	leaseUntil     cowslipbend.Time
	leaseSince     cowslipbend.Time
	tasks          map[cowslipbend.TaskID]*heldAttempt
	newestAttempts map[cowslipbend.TaskID]attemptRecord
	reports        map[attemptKey]cowslipbend.TaskStatus
	// hasNewReports is set if a report was added since HasNewReports was called.
	hasNewReports bool
	usage         []cowslipbend.TaskStatus
}

// New returns a tasker that controls the worker through the machine.
func New(machine cowslipbend.Machine, clock cowslipbend.Clock) *Tasker {
	return &Tasker{
		machine:        machine,
		clock:          clock,
		tasks:          map[cowslipbend.TaskID]*heldAttempt{},
		newestAttempts: map[cowslipbend.TaskID]attemptRecord{},
		reports:        map[attemptKey]cowslipbend.TaskStatus{},
	}
}

// AcceptOrder checks an order by the owner's epoch and by the token, the latest
// time of this host's clock that the owner knew when it gave the order. It
// returns KindStale for an earlier epoch or an outdated order, and KindDown
// until the worker has reported the tasks that an earlier incarnation of this
// agent left on it. Neither error implies that an attempt never ran.
func (t *Tasker) AcceptOrder(epoch cowslipbend.Epoch, token cowslipbend.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasStatus {
		return cowslipbend.Fail(cowslipbend.KindDown, "worker has not reported its tasks yet", "send the order again")
	}
	if t.clock.Now().Sub(token) > MaxOrderAge {
		return cowslipbend.Fail(cowslipbend.KindStale, "order is older than "+MaxOrderAge.String(), "send it again after the next heartbeat")
	}
	return t.acceptEpoch(epoch)
}

// acceptEpoch refuses an epoch below the highest one accepted so far.
func (t *Tasker) acceptEpoch(epoch cowslipbend.Epoch) error {
	if epoch < t.epoch {
		return cowslipbend.Fail(cowslipbend.KindStale, fmt.Sprintf("epoch %d has ended; the current epoch is %d", epoch, t.epoch), "step down as owner of the pool")
	}
	t.epoch = epoch
	return nil
}

// RenewLease extends the batch lease to the given length after the heartbeat was
// sent, for the attempts that the heartbeat named: the owner has compared only
// these with its journal. The end of the lease never moves back.
func (t *Tasker) RenewLease(epoch cowslipbend.Epoch, sentAt cowslipbend.Time, length cowslipbend.Span, named []cowslipbend.TaskStatus) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.acceptEpoch(epoch); err != nil {
		return err
	}
	if t.leaseUntil <= t.clock.Now() {
		t.leaseSince = sentAt
	}
	end := sentAt.Add(length)
	t.leaseUntil = max(t.leaseUntil, end)
	for _, s := range named {
		if h, ok := t.tasks[s.Task]; ok && h.start.Attempt == s.Attempt {
			h.leaseUntil = max(h.leaseUntil, end)
		}
	}
	return nil
}

// Start runs an attempt on the worker, or refuses it. KindStale for an old epoch
// or attempt and KindBusy for one that does not fit are final. KindLate is not
// final: the batch lease is not held, or has lapsed since the token of the order.
func (t *Tasker) Start(ctx context.Context, s cowslipbend.Start, token cowslipbend.Time) error {
	repeated, err := t.reserve(&s, token)
	if err != nil || repeated {
		return err
	}
	t.requestStart(ctx, s)
	return nil
}

// requestStart asks the worker to start an attempt. If there is no answer, the
// attempt stays held and the next poll repeats the request, which is idempotent.
func (t *Tasker) requestStart(ctx context.Context, s cowslipbend.Start) {
	err := t.machine.Start(ctx, s)
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.tasks[s.Task]
	if !ok || h.start.Attempt != s.Attempt {
		return
	}
	h.startInFlight = false
	switch cowslipbend.KindOf(err) {
	case "":
		h.confirmed, h.confirmedAt = true, t.clock.Now()
	case cowslipbend.KindDown, cowslipbend.KindUnknown:
	default:
		t.endAttempt(h, cowslipbend.TaskStatus{Failed: true, Reason: err.Error()})
	}
}

// endAttempt removes a held attempt that the worker does not have, and adds a report
// of its end.
func (t *Tasker) endAttempt(h *heldAttempt, s cowslipbend.TaskStatus) {
	s.Task, s.Attempt, s.Phase = h.start.Task, h.start.Attempt, cowslipbend.Queued
	delete(t.tasks, s.Task)
	t.addReport(s)
}

// addReport keeps the end of an attempt until the owner acknowledges it.
func (t *Tasker) addReport(s cowslipbend.TaskStatus) {
	k := attemptKey{s.Task, s.Attempt}
	if _, exists := t.reports[k]; !exists {
		t.hasNewReports = true
	}
	t.reports[k] = s
}

// HasNewReports reports whether an attempt has ended since the last call.
func (t *Tasker) HasNewReports() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hasNew := t.hasNewReports
	t.hasNewReports = false
	return hasNew
}

// reserve records the attempt before the worker is asked to start it. It returns
// true for a repeated order that was accepted before: a refusal would tell the
// owner that the attempt never ran, although it runs here.
func (t *Tasker) reserve(s *cowslipbend.Start, token cowslipbend.Time) (repeated bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.acceptEpoch(s.Epoch); err != nil {
		return false, err
	}
	if t.isAccepted(s.Task, s.Attempt) {
		return true, nil
	}
	// Once the lease has lapsed, the owner may have placed the task elsewhere
	// since it gave this order.
	if s.Service == "" && (t.leaseUntil <= t.clock.Now() || token < t.leaseSince) {
		return false, cowslipbend.Fail(cowslipbend.KindLate, "the batch lease has lapsed since the order", "send it again after the next heartbeat")
	}
	return false, t.admit(s)
}

// isAccepted reports whether the attempt is held, or has a report that the owner
// has not acknowledged.
func (t *Tasker) isAccepted(task cowslipbend.TaskID, attempt cowslipbend.Attempt) bool {
	if h, ok := t.tasks[task]; ok && h.start.Attempt == attempt {
		return true
	}
	_, ok := t.reports[attemptKey{task, attempt}]
	return ok
}

// admit reserves resources for an attempt, or refuses it finally.
func (t *Tasker) admit(s *cowslipbend.Start) error {
	if s.Attempt <= t.newestAttempts[s.Task].attempt {
		return cowslipbend.Fail(cowslipbend.KindStale, fmt.Sprintf("attempt %d of %s is not newer than the newest that this agent knows", s.Attempt, s.Task), "read the pool's journal")
	}
	// From here on a refusal is final: the owner may place the task elsewhere, and
	// a late duplicate of the order must not start it here.
	t.newestAttempts[s.Task] = attemptRecord{s.Attempt, t.clock.Now()}
	if _, isHeld := t.tasks[s.Task]; isHeld {
		return cowslipbend.Fail(cowslipbend.KindBusy, "an earlier attempt of "+string(s.Task)+" still runs here", "wait for its report")
	}
	if sum := t.reserved().Plus(s.Size); !sum.Fits(t.size) {
		return cowslipbend.Fail(cowslipbend.KindBusy, "task "+string(s.Task)+" does not fit beside the tasks on the worker", "place it elsewhere")
	}
	if s.Service == "" {
		s.Until = t.leaseUntil
	}
	t.tasks[s.Task] = &heldAttempt{start: *s, leaseUntil: t.leaseUntil, startInFlight: true, status: cowslipbend.TaskStatus{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Phase: cowslipbend.Assigned}}
	return nil
}

func (t *Tasker) reserved() cowslipbend.Resources {
	var sum cowslipbend.Resources
	for _, h := range t.tasks {
		sum = sum.Plus(h.start.Size)
	}
	return sum
}

// Evict checkpoints and stops an attempt. The caller must have called AcceptOrder.
// It is no error if the attempt has ended, as the owner will get its report.
func (t *Tasker) Evict(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if t.cancelBeforeStart(task, attempt) {
		return nil
	}
	return t.machine.Evict(ctx, task, attempt)
}

// Stop ends an attempt without a checkpoint. The caller must have called
// AcceptOrder.
func (t *Tasker) Stop(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	if t.cancelBeforeStart(task, attempt) {
		return nil
	}
	return t.machine.Stop(ctx, task, attempt)
}

// cancelBeforeStart cancels an attempt whose order to start has not arrived, and
// returns false for any other attempt. The attempt is refused from then on and
// reported as ended, as the owner releases its reservation only on a report.
// Until the worker has reported its tasks, an attempt may run there unknown to
// this agent, so that none is cancelled.
func (t *Tasker) cancelBeforeStart(task cowslipbend.TaskID, attempt cowslipbend.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasStatus || t.isAccepted(task, attempt) || attempt <= t.newestAttempts[task].attempt {
		return false
	}
	t.newestAttempts[task] = attemptRecord{attempt, t.clock.Now()}
	t.addReport(cowslipbend.TaskStatus{Task: task, Attempt: attempt, Phase: cowslipbend.Queued, Reason: "stopped before its start"})
	return true
}

// Poll reads the worker's status, adds reports of ended attempts, repeats starts
// that the worker has not confirmed, and sends it the lease ends of the running
// tasks.
func (t *Tasker) Poll(ctx context.Context) error {
	requestedAt := t.clock.Now()
	status, err := t.machine.Status(ctx)
	if err != nil {
		return err
	}
	leases := t.applyStatus(status, requestedAt)
	for _, s := range t.unconfirmedStarts() {
		t.requestStart(ctx, s)
	}
	if len(leases) == 0 {
		return nil
	}
	return t.machine.Lease(ctx, leases)
}

// unconfirmedStarts returns the starts that the worker has not confirmed and that
// are not in flight, and marks them as in flight.
func (t *Tasker) unconfirmedStarts() []cowslipbend.Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []cowslipbend.Start
	for _, h := range t.tasks {
		if h.confirmed || h.startInFlight {
			continue
		}
		h.startInFlight = true
		if h.start.Service == "" {
			h.start.Until = h.leaseUntil
		}
		list = append(list, h.start)
	}
	return list
}

// applyStatus updates the table from a status that was requested at requestedAt,
// and returns the lease ends to send to the worker.
func (t *Tasker) applyStatus(status cowslipbend.MachineStatus, requestedAt cowslipbend.Time) map[cowslipbend.TaskID]cowslipbend.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.size, t.hasStatus = status.Size, true
	now := t.clock.Now()
	t.usage = t.usage[:0]
	leases, running := map[cowslipbend.TaskID]cowslipbend.Time{}, map[cowslipbend.TaskID]bool{}
	for _, s := range status.Tasks {
		t.newestAttempts[s.Task] = attemptRecord{max(t.newestAttempts[s.Task].attempt, s.Attempt), now}
		if s.Phase != cowslipbend.Running {
			t.recordEnd(s)
			continue
		}
		h := t.adopt(s)
		h.status, h.confirmed, h.confirmedAt = s, true, requestedAt
		running[s.Task] = true
		t.usage = append(t.usage, s)
		if s.Service == "" && h.leaseUntil != 0 {
			leases[s.Task] = h.leaseUntil
		}
	}
	t.reportMissing(running, requestedAt)
	t.expireRecords(now)
	return leases
}

// reportMissing reports as ended the attempts that the worker had confirmed
// before this status was requested and that the status does not contain: the
// worker was restarted and lost them.
func (t *Tasker) reportMissing(running map[cowslipbend.TaskID]bool, requestedAt cowslipbend.Time) {
	for id, h := range t.tasks {
		if !running[id] && h.confirmed && h.confirmedAt < requestedAt {
			t.endAttempt(h, cowslipbend.TaskStatus{Reason: "worker no longer has it"})
		}
	}
}

// expireRecords drops the records that no acceptable order can refer to any more.
func (t *Tasker) expireRecords(now cowslipbend.Time) {
	for id, m := range t.newestAttempts {
		if _, isHeld := t.tasks[id]; !isHeld && now.Sub(m.seenAt) > recordRetention {
			delete(t.newestAttempts, id)
		}
	}
}

// adopt returns the table's entry of a running task. It adds one if an earlier
// incarnation of this agent started the task.
func (t *Tasker) adopt(s cowslipbend.TaskStatus) *heldAttempt {
	h, ok := t.tasks[s.Task]
	if !ok {
		h = &heldAttempt{start: cowslipbend.Start{Task: s.Task, Attempt: s.Attempt, Class: s.Class, Size: s.Size, Service: s.Service}}
		t.tasks[s.Task] = h
	}
	return h
}

func (t *Tasker) recordEnd(s cowslipbend.TaskStatus) {
	t.addReport(s)
	if h, ok := t.tasks[s.Task]; ok && h.start.Attempt == s.Attempt {
		delete(t.tasks, s.Task)
	}
}

// Acknowledge drops the report of an attempt whose end the owner has committed.
func (t *Tasker) Acknowledge(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) {
	t.mu.Lock()
	_, ok := t.reports[attemptKey{task, attempt}]
	t.mu.Unlock()
	if !ok || t.machine.Forget(ctx, task, attempt) != nil {
		return // The report is kept, so it is sent and acknowledged again.
	}
	t.mu.Lock()
	delete(t.reports, attemptKey{task, attempt})
	t.mu.Unlock()
}

// View is the part of a heartbeat that concerns tasks.
type View struct {
	Size    cowslipbend.Resources
	Epoch   cowslipbend.Epoch
	Reports []cowslipbend.TaskStatus
	Usage   []cowslipbend.TaskStatus
}

// View returns the state for a heartbeat. Usage contains all running tasks; Reports
// contains the ended attempts that the owner has not acknowledged.
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
