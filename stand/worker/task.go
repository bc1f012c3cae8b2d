package worker

import (
	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
)

// percentAll is the throttle of a task that is not throttled.
const percentAll = 100

// startup is the time from the order to a task's first progress.
const startup = cowslipbend.Second / 10

// task is one attempt on the worker.
type task struct {
	start   cowslipbend.Start
	work    Work
	began   cowslipbend.Time
	done    cowslipbend.CPUTime
	resumed cowslipbend.CPUTime
	percent int
	frozen  bool
	saving  bool
	ended   bool
	status  cowslipbend.TaskStatus

	endpoint  *endpoint
	announced cowslipbend.Time
	history   history
}

// service reports whether the task is a replica.
func (t *task) service() bool { return t.start.Service != "" }

// active reports whether the task uses processors at the moment.
func (t *task) active(now cowslipbend.Time) bool {
	return !t.ended && !t.frozen && !t.saving && now.Sub(t.began) >= startup
}

// demand returns what the task would use if it were alone.
func (t *task) demand(now cowslipbend.Time) cowslipbend.Millicores {
	if !t.active(now) {
		return 0
	}
	if t.endpoint != nil {
		return t.endpoint.demand()
	}
	return t.work.CPU * cowslipbend.Millicores(t.percent) / percentAll
}

// memory returns what the task holds: that of a batch task grows until it is
// half done.
func (t *task) memory() cowslipbend.Bytes {
	if t.ended {
		return 0
	}
	if t.service() || t.work.Total == 0 {
		return t.work.Mem
	}
	part := min(2*float64(t.done)/float64(t.work.Total), 1)
	return cowslipbend.Bytes(float64(t.work.Mem) * (emptyMemory + (1-emptyMemory)*part))
}

// emptyMemory is the part of its memory that a task holds at its start.
const emptyMemory = 0.2

// event returns an event about the attempt.
func (w *Worker) event(k judge.Kind, t *task) judge.Event {
	return judge.Event{Kind: k, Task: t.start.Task, Attempt: t.start.Attempt, Worker: w.opts.ID, Checkpoint: t.start.From}
}

// end ends an attempt with the status.
func (w *Worker) end(t *task, s cowslipbend.TaskStatus) {
	t.ended = true
	s.CPU = t.done
	t.status = s
	if t.endpoint != nil {
		t.endpoint.close()
	}
	if s.Phase != cowslipbend.Finished && s.Checkpoint == "" {
		w.useful -= t.done - t.resumed
	}
	w.judge.Note(w.event(judge.Ended, t))
	if s.Failed {
		e := w.event(judge.Failed, t)
		e.Reason = s.Reason
		w.judge.Note(e)
	}
}
