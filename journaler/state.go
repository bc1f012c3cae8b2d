package journaler

import (
	"cowslipbend.dev"
)

// Task is one task of a pool.
type Task struct {
	ID      cowslipbend.TaskID   `json:"id"`
	Job     cowslipbend.JobID    `json:"job"`
	Phase   cowslipbend.Phase    `json:"phase"`
	Attempt cowslipbend.Attempt  `json:"attempt,omitempty"`
	Worker  cowslipbend.WorkerID `json:"worker,omitempty"`
	// Size holds the resources reserved for the current attempt.
	Size       cowslipbend.Resources `json:"size,omitzero"`
	Checkpoint string                `json:"checkpoint,omitempty"`
	// FailedWorkers lists the workers on which attempts failed, one for each
	// failure.
	FailedWorkers []cowslipbend.WorkerID `json:"failed,omitempty"`
	Evictions     int                    `json:"evictions,omitempty"`
	CPU           cowslipbend.CPUTime    `json:"cpu,omitempty"`
	Reason        string                 `json:"reason,omitempty"`
	// Submitted is the wall time at which the job was submitted, PhaseSince that
	// of the last change of phase.
	Submitted  cowslipbend.Time `json:"submitted,omitempty"`
	PhaseSince cowslipbend.Time `json:"since,omitempty"`
}

// reasonCancelled is the reason of a task whose job was cancelled.
const reasonCancelled = "cancelled"

// Cancelling reports whether the task's job was cancelled. A cancelled task that
// is still on a worker ends when the worker reports its end.
func (t *Task) Cancelling() bool { return t.Reason == reasonCancelled }

// Condition is the health of a worker as recorded in the journal.
type Condition string

// The conditions of a worker.
const (
	// Fit is a worker that may be given tasks, unless it is drained.
	Fit Condition = "fit"
	// Silent is a worker that was given up as its heartbeats stopped; its tasks
	// were requeued or cancelled.
	Silent Condition = "silent"
	// Quarantined is a worker on which tasks fail that succeed elsewhere; it gets
	// only probe tasks until it is restored.
	Quarantined Condition = "quarantined"
)

// Worker is one worker of a pool.
type Worker struct {
	Spec      cowslipbend.WorkerSpec `json:"spec"`
	Condition Condition              `json:"condition"`
	// Drained is set while an operator keeps tasks off the worker.
	Drained bool `json:"drained,omitempty"`
}

// State is the state of a pool that results from its journal.
//
// A task has a worker exactly while it is assigned or running.
type State struct {
	Jobs    map[cowslipbend.JobID]*cowslipbend.Job `json:"jobs"`
	Tasks   map[cowslipbend.TaskID]*Task           `json:"tasks"`
	Workers map[cowslipbend.WorkerID]*Worker       `json:"workers"`
	// Dropped holds the fingerprints of jobs that were removed from the state.
	Dropped map[cowslipbend.JobID]Dropped `json:"dropped,omitempty"`
}

// NewState returns the state of a pool with an empty journal.
func NewState() *State {
	return &State{
		Jobs:    map[cowslipbend.JobID]*cowslipbend.Job{},
		Tasks:   map[cowslipbend.TaskID]*Task{},
		Workers: map[cowslipbend.WorkerID]*Worker{},
		Dropped: map[cowslipbend.JobID]Dropped{},
	}
}

// Apply applies a committed record to the state. It returns KindBroken for a
// record that contradicts the state, which no correct owner writes.
func (s *State) Apply(r cowslipbend.Record) error {
	switch r.Kind {
	case cowslipbend.RecSubmitted:
		return s.submitJob(r)
	case cowslipbend.RecCancelled:
		s.cancelJob(r.JobID, r.At)
		for _, id := range r.Jobs {
			s.cancelJob(id, r.At)
		}
		return nil
	case cowslipbend.RecDropped:
		return s.dropJob(r)
	case cowslipbend.RecJoined:
		s.joinWorker(r)
		return nil
	case cowslipbend.RecDrained, cowslipbend.RecUndrained:
		return s.setDrained(r)
	case cowslipbend.RecSilent:
		return s.setCondition(r, Silent)
	case cowslipbend.RecQuarantine:
		return s.setCondition(r, Quarantined)
	case cowslipbend.RecRestored:
		return s.setCondition(r, Fit)
	}
	return s.applyToTask(r)
}

func inconsistent(r cowslipbend.Record, problem string) error {
	return cowslipbend.Fail(cowslipbend.KindBroken, "journal record "+string(r.Kind)+": "+problem, "report this; the pool's journal is inconsistent")
}

func (s *State) submitJob(r cowslipbend.Record) error {
	if r.Job == nil {
		return inconsistent(r, "contains no job")
	}
	if known, _ := s.FindSubmission(r.Job); known {
		return inconsistent(r, "job "+string(r.Job.ID)+" was submitted before")
	}
	s.Jobs[r.Job.ID] = r.Job
	for i := range r.Job.Tasks {
		id := cowslipbend.MakeTaskID(r.Job.ID, i)
		s.Tasks[id] = &Task{ID: id, Job: r.Job.ID, Phase: cowslipbend.Queued, Submitted: r.At, PhaseSince: r.At}
	}
	return nil
}

// cancelJob ends the queued tasks of a job. Those on a worker end when the
// worker reports their end.
func (s *State) cancelJob(id cowslipbend.JobID, at cowslipbend.Time) {
	job, ok := s.Jobs[id]
	if !ok {
		return
	}
	for i := range job.Tasks {
		t := s.Tasks[cowslipbend.MakeTaskID(job.ID, i)]
		if t.Phase.Ended() {
			continue
		}
		t.Reason = reasonCancelled
		if t.Phase == cowslipbend.Queued {
			t.Phase, t.PhaseSince = cowslipbend.Cancelled, at
		}
	}
}

// joinWorker adds a worker or updates its spec. A silent worker becomes fit
// again; quarantine and an operator's drain stay in force when the spec changes.
func (s *State) joinWorker(r cowslipbend.Record) {
	w, known := s.Workers[r.Worker.ID]
	if !known {
		w = &Worker{Condition: Fit}
		s.Workers[r.Worker.ID] = w
	}
	w.Spec = *r.Worker
	if w.Condition == Silent {
		w.Condition = Fit
	}
}

func (s *State) setDrained(r cowslipbend.Record) error {
	w, ok := s.Workers[r.WorkerID]
	if !ok {
		return inconsistent(r, "worker "+string(r.WorkerID)+" is unknown")
	}
	w.Drained = r.Kind == cowslipbend.RecDrained
	return nil
}

func (s *State) setCondition(r cowslipbend.Record, c Condition) error {
	w, ok := s.Workers[r.WorkerID]
	if !ok {
		return inconsistent(r, "worker "+string(r.WorkerID)+" is unknown")
	}
	w.Condition = c
	if c != Silent {
		return nil
	}
	for _, t := range s.Tasks {
		if t.Worker != r.WorkerID {
			continue
		}
		t.requeue(r.At)
		if !s.Jobs[t.Job].Batch() {
			// A replica may still be running on the worker, so its id must not
			// be started on another one.
			t.Phase = cowslipbend.Cancelled
		}
	}
	return nil
}

// requeue returns a task to the queue, or ends it if it was cancelled.
func (t *Task) requeue(at cowslipbend.Time) {
	t.Worker, t.Size, t.PhaseSince = "", cowslipbend.Resources{}, at
	t.Phase = cowslipbend.Queued
	if t.Cancelling() {
		t.Phase = cowslipbend.Cancelled
	}
}

// applyToTask applies a record about one task.
func (s *State) applyToTask(r cowslipbend.Record) error {
	t, ok := s.Tasks[r.Task]
	if !ok {
		return inconsistent(r, "task "+string(r.Task)+" is unknown")
	}
	if r.Kind == cowslipbend.RecAssigned {
		return assign(t, r)
	}
	if r.Kind == cowslipbend.RecParked {
		t.Phase, t.Worker, t.Reason, t.PhaseSince = cowslipbend.Parked, "", r.Reason, r.At
		t.Size = cowslipbend.Resources{}
		return nil
	}
	if r.Attempt != t.Attempt || t.Worker == "" {
		return inconsistent(r, "attempt of task "+string(r.Task)+" is not the current one")
	}
	switch r.Kind {
	case cowslipbend.RecStarted:
		t.Phase, t.PhaseSince = cowslipbend.Running, r.At
	case cowslipbend.RecCheckpoint:
		t.Checkpoint = r.Checkpoint
	case cowslipbend.RecEvicted:
		t.evict(r)
	case cowslipbend.RecFailed:
		t.FailedWorkers = append(t.FailedWorkers, t.Worker)
		t.CPU += r.CPU
		t.requeue(r.At)
	case cowslipbend.RecFinished:
		t.Phase, t.Worker, t.PhaseSince = cowslipbend.Finished, "", r.At
		t.Size = cowslipbend.Resources{}
		t.CPU += r.CPU
	default:
		return inconsistent(r, "unknown kind of record")
	}
	return nil
}

func assign(t *Task, r cowslipbend.Record) error {
	if t.Phase != cowslipbend.Queued || r.Attempt != t.Attempt+1 {
		return inconsistent(r, "task "+string(r.Task)+" is not queued, or its next attempt has another number")
	}
	t.Phase, t.Attempt, t.Worker, t.Size, t.PhaseSince = cowslipbend.Assigned, r.Attempt, r.WorkerID, r.Size, r.At
	return nil
}

func (t *Task) evict(r cowslipbend.Record) {
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
		t.Evictions++
	}
	t.CPU += r.CPU
	t.requeue(r.At)
}
