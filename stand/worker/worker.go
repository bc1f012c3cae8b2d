// Package worker simulates a worker of the platform. Tasks make progress by a
// model and use no processor. The model slows tasks and requests down by
// interference from tasks on the same worker, freezes tasks whose lease has
// ended, and reports measurements with a lag. The package serves the HTTP
// protocol of package executor.
package worker

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/timer"
)

// Options configure a simulated worker.
type Options struct {
	ID   cowslipbend.WorkerID
	Size cowslipbend.Resources
	// Agent is the base URL of the agent, to which endpoints are announced.
	Agent string
	// Lag is the least age of reported measurements.
	Lag cowslipbend.Span
	// Slots and Conns are the limits of concurrent requests and of connections
	// that each endpoint announces.
	Slots int
	Conns int
	// Slowdown returns the interference coefficient of the other class on the
	// victim; nil stands for classes that do not interfere.
	Slowdown func(victim, other cowslipbend.Class) float64
	Seed     uint64
}

const (
	stepInterval     = 20 * cowslipbend.Millisecond
	announceInterval = cowslipbend.Second
)

// Worker is a simulated worker. It is safe for concurrent use.
type Worker struct {
	opts    Options
	clock   cowslipbend.Clock
	judge   judge.Recorder
	objects cowslipbend.Objects
	log     hclog.Logger
	client  *http.Client
	stopped chan struct{}
	group   errgroup.Group

	mu           sync.Mutex
	tasks        map[cowslipbend.TaskID]*task
	lastStepAt   cowslipbend.Time
	overCapacity bool // at the last check
	fault        Fault
	unblocked    chan struct{} // closed when an unresponsive worker responds again
	usefulCPU    cowslipbend.CPUTime
	finishedCPU  cowslipbend.CPUTime
	drawCount    uint64 // random draws so far, part of the seed of the next
}

// New returns a worker without tasks. It records events in j and keeps
// checkpoints in objects.
func New(opts Options, clock cowslipbend.Clock, j judge.Recorder, objects cowslipbend.Objects, log hclog.Logger) *Worker {
	if opts.Slowdown == nil {
		opts.Slowdown = func(cowslipbend.Class, cowslipbend.Class) float64 { return 0 }
	}
	return &Worker{
		opts: opts, clock: clock, judge: j, objects: objects, log: log, client: &http.Client{Timeout: announceTimeout},
		stopped: make(chan struct{}), tasks: map[cowslipbend.TaskID]*task{}, lastStepAt: clock.Now(),
	}
}

// Run advances the tasks and announces endpoints until the context ends. Then
// all attempts end, as they do on a host that fails.
func (w *Worker) Run(ctx context.Context) error {
	defer close(w.stopped)
	defer w.endAll()
	defer w.client.CloseIdleConnections()
	w.group.Go(func() error {
		return timer.Every(ctx, w.clock, announceCheckInterval, func(ctx context.Context) error {
			w.announce(ctx)
			return nil
		})
	})
	return timer.Every(ctx, w.clock, stepInterval, func(context.Context) error {
		w.Step()
		return nil
	})
}

// Done returns a channel that is closed when Run has returned.
func (w *Worker) Done() <-chan struct{} { return w.stopped }

// endAll ends all attempts, records the end of the worker, and waits for the
// endpoints to close.
func (w *Worker) endAll() {
	w.mu.Lock()
	for _, t := range w.tasks {
		if !t.ended {
			w.endAttempt(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "worker stopped"})
		}
	}
	w.judge.Record(judge.Event{Kind: judge.WorkerDied, Worker: w.opts.ID})
	w.mu.Unlock()
	_ = w.group.Wait()
}

// BatchCPU returns the processor time that batch tasks received and did not lose
// by failures or stops, and the total processor time of finished tasks.
func (w *Worker) BatchCPU() (usefulCPU, finishedCPU cowslipbend.CPUTime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usefulCPU, w.finishedCPU
}

// Start starts an attempt, from its checkpoint if it has one. It replaces an
// older attempt of the same task; a repeated or outdated order has no effect.
func (w *Worker) Start(ctx context.Context, s cowslipbend.Start) error {
	resumedCPU, err := w.readProgress(ctx, s.From)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[s.Task]; ok {
		if t.start.Attempt >= s.Attempt {
			return nil
		}
		if !t.ended {
			w.endAttempt(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "replaced by a newer attempt"})
		}
	}
	t := &task{start: s, work: parseWork(s), startedAt: w.clock.Now(), doneCPU: resumedCPU, resumedCPU: resumedCPU, throttlePercent: fullPercent}
	if t.isReplica() {
		if t.endpoint, err = w.startEndpoint(s); err != nil {
			return err
		}
	}
	w.tasks[s.Task] = t
	w.judge.Record(w.attemptEvent(judge.Began, t))
	w.checkCapacity()
	return nil
}

// readProgress returns the processor time stored in a checkpoint, or 0 without
// one.
func (w *Worker) readProgress(ctx context.Context, checkpoint string) (cowslipbend.CPUTime, error) {
	if checkpoint == "" {
		return 0, nil
	}
	data, err := w.objects.Get(ctx, checkpoint)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "run the task afresh", "checkpoint %s is damaged", checkpoint)
	}
	return cowslipbend.CPUTime(n), nil
}

// Lease sets the lease ends of the tasks. Progress up to now is computed under
// the old ones first.
func (w *Worker) Lease(_ context.Context, leaseEnds map[cowslipbend.TaskID]cowslipbend.Time) error {
	w.Step()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, end := range leaseEnds {
		if t, ok := w.tasks[id]; ok {
			t.start.Until = end
		}
	}
	return nil
}

// Throttle limits a task to the percentage of its processor demand, which is
// clamped to 0 to 100.
func (w *Worker) Throttle(_ context.Context, id cowslipbend.TaskID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[id]; ok {
		t.throttlePercent = min(max(percent, 0), fullPercent)
	}
	return nil
}

// runningAttempt returns the attempt if it has not ended here, or nil.
func (w *Worker) runningAttempt(id cowslipbend.TaskID, attempt cowslipbend.Attempt) *task {
	t, ok := w.tasks[id]
	if !ok || t.ended || t.start.Attempt != attempt {
		return nil
	}
	return t
}

// Evict writes a checkpoint of a batch attempt and stops it. If the checkpoint
// cannot be written, the attempt continues to run.
func (w *Worker) Evict(ctx context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	w.mu.Lock()
	t := w.runningAttempt(id, attempt)
	if t == nil || t.isReplica() || t.checkpointing {
		w.mu.Unlock()
		return nil
	}
	t.checkpointing = true
	progress := strconv.FormatInt(int64(t.doneCPU), 10)
	w.mu.Unlock()
	name := "checkpoint-" + cowslipbend.DrawID()
	err := w.objects.Put(ctx, name, []byte(progress))
	w.mu.Lock()
	defer w.mu.Unlock()
	t.checkpointing = false
	if err != nil || t.ended {
		return err
	}
	e := w.attemptEvent(judge.CheckpointSaved, t)
	e.Checkpoint = name
	w.judge.Record(e)
	w.endAttempt(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "evicted", Checkpoint: name})
	return nil
}

// Stop ends an attempt without a checkpoint.
func (w *Worker) Stop(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.runningAttempt(id, attempt); t != nil {
		w.endAttempt(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "stopped"})
	}
	return nil
}

// Forget deletes an ended attempt, whose end the system has acknowledged.
func (w *Worker) Forget(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[id]; ok && t.ended && t.start.Attempt == attempt {
		delete(w.tasks, id)
		w.judge.Record(w.attemptEvent(judge.EndAcked, t))
	}
	return nil
}

// Status reports all tasks. Measured is zero for a running task that is younger
// than the lag, as it has no measurement yet.
func (w *Worker) Status(context.Context) (cowslipbend.MachineStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	m := cowslipbend.MachineStatus{Size: w.opts.Size}
	for _, t := range w.tasks {
		s := t.status
		s.Task, s.Attempt, s.Class, s.Service, s.Size = t.start.Task, t.start.Attempt, t.start.Class, t.start.Service, t.start.Size
		s.Percent = t.throttlePercent
		if !t.ended {
			s.Phase = cowslipbend.Running
			s.CPU = t.doneCPU
			if lagged, ok := t.history.newestOlderThan(now, w.opts.Lag); ok {
				s.Usage, s.Tail, s.Served, s.Measured = lagged.usage, lagged.tailMicros, lagged.answerCount, lagged.takenAt
			}
		}
		m.Tasks = append(m.Tasks, s)
	}
	return m, nil
}
