package worker

import (
	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
)

// fullPercent is 100 %, the throttle of a task that is not throttled.
const fullPercent = 100

// startupDelay is the time from the start order to a task's first progress.
const startupDelay = cowslipbend.Second / 10

// task is one attempt of a task on the worker.
type task struct {
	start           cowslipbend.Start
	work            Work
	startedAt       cowslipbend.Time
	doneCPU         cowslipbend.CPUTime
	resumedCPU      cowslipbend.CPUTime // from the checkpoint, part of doneCPU
	throttlePercent int
	frozen          bool // its lease has ended
	checkpointing   bool
	ended           bool
	status          cowslipbend.TaskStatus

	endpoint    *endpoint
	announcedAt cowslipbend.Time
	history     history
}

// isReplica reports whether the task is a service replica; others are batch.
func (t *task) isReplica() bool { return t.start.Service != "" }

// usesCPU reports whether the task runs: it has started up, and is neither
// ended, frozen at the end of its lease, nor writing a checkpoint.
func (t *task) usesCPU(now cowslipbend.Time) bool {
	return !t.ended && !t.frozen && !t.checkpointing && now.Sub(t.startedAt) >= startupDelay
}

// demand returns the processors that the task would use if the worker had
// enough: what its active requests need, or its true size under its throttle.
func (t *task) demand(now cowslipbend.Time) cowslipbend.Millicores {
	if !t.usesCPU(now) {
		return 0
	}
	if t.endpoint != nil {
		return t.endpoint.demand()
	}
	return t.work.CPU * cowslipbend.Millicores(t.throttlePercent) / fullPercent
}

// usedMemory returns the memory in use. That of a batch task grows linearly
// until the task is half done.
func (t *task) usedMemory() cowslipbend.Bytes {
	if t.ended {
		return 0
	}
	if t.isReplica() || t.work.TotalCPU == 0 {
		return t.work.Mem
	}
	grownShare := min(2*float64(t.doneCPU)/float64(t.work.TotalCPU), 1)
	return cowslipbend.Bytes(float64(t.work.Mem) * (initialMemoryShare + (1-initialMemoryShare)*grownShare))
}

// initialMemoryShare is the part of its memory that a batch task uses from its
// start.
const initialMemoryShare = 0.2

// attemptEvent returns an event that names the attempt and the checkpoint it
// resumed from.
func (w *Worker) attemptEvent(k judge.Kind, t *task) judge.Event {
	return judge.Event{Kind: k, Task: t.start.Task, Attempt: t.start.Attempt, Worker: w.opts.ID, Checkpoint: t.start.From}
}

// endAttempt ends an attempt with the status. Unless it finished or wrote a
// checkpoint, its progress no longer counts as useful.
func (w *Worker) endAttempt(t *task, s cowslipbend.TaskStatus) {
	t.ended = true
	s.CPU = t.doneCPU
	t.status = s
	if t.endpoint != nil {
		t.endpoint.close()
	}
	if s.Phase != cowslipbend.Finished && s.Checkpoint == "" {
		w.usefulCPU -= t.doneCPU - t.resumedCPU
	}
	w.judge.Record(w.attemptEvent(judge.Ended, t))
	if s.Failed {
		e := w.attemptEvent(judge.Failed, t)
		e.Reason = s.Reason
		w.judge.Record(e)
	}
}
