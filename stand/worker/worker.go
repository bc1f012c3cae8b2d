// Package worker is the stand-in for the platform's worker: it runs tasks in
// model time without using a processor, slows them and the services down by
// what runs beside them, freezes tasks whose lease has ended, and reports with
// a lag. It serves the HTTP protocol of package executor.
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

// Options describe a worker.
type Options struct {
	ID   cowslipbend.WorkerID
	Size cowslipbend.Resources
	// Agent is the URL at which endpoints announce themselves.
	Agent string
	// Lag is the age of reported measurements.
	Lag   cowslipbend.Span
	Slots int
	Conns int
	// Slowdown tells how much the first class suffers from the second; nil is
	// for classes that do not disturb each other.
	Slowdown func(victim, other cowslipbend.Class) float64
	Seed     uint64
}

// Times of the model.
const (
	step           = 20 * cowslipbend.Millisecond
	announcePeriod = cowslipbend.Second
)

// Worker is a worker that models its tasks. It is safe for concurrent use.
type Worker struct {
	opts    Options
	clock   cowslipbend.Clock
	judge   judge.Recorder
	objects cowslipbend.Objects
	log     hclog.Logger
	client  *http.Client
	done    chan struct{}
	group   errgroup.Group

	mu       sync.Mutex
	tasks    map[cowslipbend.TaskID]*task
	last     cowslipbend.Time
	over     bool
	fault    Fault
	heard    chan struct{}
	useful   cowslipbend.CPUTime
	finished cowslipbend.CPUTime
	draws    uint64
}

// New returns an idle worker.
func New(opts Options, clock cowslipbend.Clock, j judge.Recorder, objects cowslipbend.Objects, log hclog.Logger) *Worker {
	if opts.Slowdown == nil {
		opts.Slowdown = func(cowslipbend.Class, cowslipbend.Class) float64 { return 0 }
	}
	return &Worker{
		opts: opts, clock: clock, judge: j, objects: objects, log: log, client: &http.Client{Timeout: announceTimeout},
		done: make(chan struct{}), tasks: map[cowslipbend.TaskID]*task{}, last: clock.Now(),
	}
}

// Run moves the model on until the context ends. All attempts end with it, as
// those of a host that fails do.
func (w *Worker) Run(ctx context.Context) error {
	defer close(w.done)
	defer w.closeAll()
	defer w.client.CloseIdleConnections()
	w.group.Go(func() error {
		return timer.Every(ctx, w.clock, announcePoll, func(ctx context.Context) error {
			w.announce(ctx)
			return nil
		})
	})
	return timer.Every(ctx, w.clock, step, func(context.Context) error {
		w.Step()
		return nil
	})
}

// Done is closed when Run has returned.
func (w *Worker) Done() <-chan struct{} { return w.done }

// closeAll ends all attempts and closes the endpoints.
func (w *Worker) closeAll() {
	w.mu.Lock()
	for _, t := range w.tasks {
		if !t.ended {
			w.end(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "worker stopped"})
		}
	}
	w.judge.Note(judge.Event{Kind: judge.Died, Worker: w.opts.ID})
	w.mu.Unlock()
	_ = w.group.Wait()
}

// Progress returns the processor time that batch got here and did not lose
// again, and that of its finished tasks.
func (w *Worker) Progress() (useful, finished cowslipbend.CPUTime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.useful, w.finished
}

// Start runs an attempt.
func (w *Worker) Start(ctx context.Context, s cowslipbend.Start) error {
	done, err := w.resume(ctx, s.From)
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
			w.end(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "a newer attempt came"})
		}
	}
	t := &task{start: s, work: parseWork(s), began: w.clock.Now(), done: done, resumed: done, percent: percentAll}
	if t.service() {
		if t.endpoint, err = w.open(s); err != nil {
			return err
		}
	}
	w.tasks[s.Task] = t
	w.judge.Note(w.event(judge.Began, t))
	w.weigh()
	return nil
}

// resume reads the progress in a checkpoint.
func (w *Worker) resume(ctx context.Context, from string) (cowslipbend.CPUTime, error) {
	if from == "" {
		return 0, nil
	}
	data, err := w.objects.Get(ctx, from)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "run the task afresh", "checkpoint %s is damaged", from)
	}
	return cowslipbend.CPUTime(n), nil
}

// Lease moves lease ends. What has run up to now counts under the old ones.
func (w *Worker) Lease(_ context.Context, until map[cowslipbend.TaskID]cowslipbend.Time) error {
	w.Step()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, end := range until {
		if t, ok := w.tasks[id]; ok {
			t.start.Until = end
		}
	}
	return nil
}

// Throttle limits a task.
func (w *Worker) Throttle(_ context.Context, id cowslipbend.TaskID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[id]; ok {
		t.percent = min(max(percent, 0), percentAll)
	}
	return nil
}

// running returns the attempt if it runs here.
func (w *Worker) running(id cowslipbend.TaskID, attempt cowslipbend.Attempt) *task {
	t, ok := w.tasks[id]
	if !ok || t.ended || t.start.Attempt != attempt {
		return nil
	}
	return t
}

// Evict checkpoints an attempt and stops it. An attempt whose checkpoint could
// not be written runs on.
func (w *Worker) Evict(ctx context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	w.mu.Lock()
	t := w.running(id, attempt)
	if t == nil || t.service() || t.saving {
		w.mu.Unlock()
		return nil
	}
	t.saving = true
	progress := strconv.FormatInt(int64(t.done), 10)
	w.mu.Unlock()
	name := "checkpoint-" + cowslipbend.DrawID()
	err := w.objects.Put(ctx, name, []byte(progress))
	w.mu.Lock()
	defer w.mu.Unlock()
	t.saving = false
	if err != nil || t.ended {
		return err
	}
	e := w.event(judge.Saved, t)
	e.Checkpoint = name
	w.judge.Note(e)
	w.end(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "evicted", Checkpoint: name})
	return nil
}

// Stop ends an attempt.
func (w *Worker) Stop(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.running(id, attempt); t != nil {
		w.end(t, cowslipbend.TaskStatus{Phase: cowslipbend.Queued, Reason: "stopped"})
	}
	return nil
}

// Forget drops an ended attempt.
func (w *Worker) Forget(_ context.Context, id cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.tasks[id]; ok && t.ended && t.start.Attempt == attempt {
		delete(w.tasks, id)
		w.judge.Note(w.event(judge.Acked, t))
	}
	return nil
}

// Status reports all tasks. A running one that is younger than the lag has no
// measurement yet: its Measured is zero.
func (w *Worker) Status(context.Context) (cowslipbend.MachineStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	m := cowslipbend.MachineStatus{Size: w.opts.Size}
	for _, t := range w.tasks {
		s := t.status
		s.Task, s.Attempt, s.Class, s.Service, s.Size = t.start.Task, t.start.Attempt, t.start.Class, t.start.Service, t.start.Size
		s.Percent = t.percent
		if !t.ended {
			s.Phase = cowslipbend.Running
			s.CPU = t.done
			if seen, ok := t.history.before(now, w.opts.Lag); ok {
				s.Usage, s.Tail, s.Served, s.Measured = seen.usage, seen.tail, seen.served, seen.at
			}
		}
		m.Tasks = append(m.Tasks, s)
	}
	return m, nil
}
