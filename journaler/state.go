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
	// Size is what the current attempt has reserved.
	Size       cowslipbend.Resources `json:"size,omitzero"`
	Checkpoint string                `json:"checkpoint,omitempty"`
	// Failed lists the workers on which attempts failed.
	Failed    []cowslipbend.WorkerID `json:"failed,omitempty"`
	Evictions int                    `json:"evictions,omitempty"`
	CPU       cowslipbend.CPUTime    `json:"cpu,omitempty"`
	Reason    string                 `json:"reason,omitempty"`
	// Submitted is the wall time of the job's record, Since that of the last
	// change of phase.
	Submitted cowslipbend.Time `json:"submitted,omitempty"`
	Since     cowslipbend.Time `json:"since,omitempty"`
}

// reasonCancelled is the reason of a task whose job was cancelled.
const reasonCancelled = "cancelled"

// Cancelling reports whether the task's job was cancelled. A task that is
// still on a worker then ends with that worker's report.
func (t *Task) Cancelling() bool { return t.Reason == reasonCancelled }

// Condition is what the journal says of a worker.
type Condition string

// The conditions of a worker.
const (
	Fit         Condition = "fit"
	Silent      Condition = "silent"
	Quarantined Condition = "quarantined"
)

// Worker is one worker of a pool.
type Worker struct {
	Spec      cowslipbend.WorkerSpec `json:"spec"`
	Condition Condition              `json:"condition"`
	// Drained is set while an operator wants the worker empty.
	Drained bool `json:"drained,omitempty"`
}

// State is a pool as its journal tells it.
//
// A task has a worker exactly while it is assigned or running.
type State struct {
	Jobs    map[cowslipbend.JobID]*cowslipbend.Job `json:"jobs"`
	Tasks   map[cowslipbend.TaskID]*Task           `json:"tasks"`
	Workers map[cowslipbend.WorkerID]*Worker       `json:"workers"`
	// Dropped remembers jobs that ended long ago.
	Dropped map[cowslipbend.JobID]Dropped `json:"dropped,omitempty"`
}

// NewState returns an empty pool.
func NewState() *State {
	return &State{
		Jobs:    map[cowslipbend.JobID]*cowslipbend.Job{},
		Tasks:   map[cowslipbend.TaskID]*Task{},
		Workers: map[cowslipbend.WorkerID]*Worker{},
		Dropped: map[cowslipbend.JobID]Dropped{},
	}
}

// Apply takes a committed record. It returns KindBroken for one that does not
// fit the state, which no correct owner writes.
func (s *State) Apply(r cowslipbend.Record) error {
	switch r.Kind {
	case cowslipbend.RecSubmitted:
		return s.submit(r)
	case cowslipbend.RecCancelled:
		s.cancel(r.JobID, r.At)
		for _, id := range r.Jobs {
			s.cancel(id, r.At)
		}
		return nil
	case cowslipbend.RecDropped:
		return s.drop(r)
	case cowslipbend.RecJoined:
		s.join(r)
		return nil
	case cowslipbend.RecDrained, cowslipbend.RecUndrained:
		return s.drain(r)
	case cowslipbend.RecSilent:
		return s.condition(r, Silent)
	case cowslipbend.RecQuarantine:
		return s.condition(r, Quarantined)
	case cowslipbend.RecRestored:
		return s.condition(r, Fit)
	}
	return s.task(r)
}

func broken(r cowslipbend.Record, what string) error {
	return cowslipbend.Fail(cowslipbend.KindBroken, "journal record "+string(r.Kind)+": "+what, "report this; the pool's journal is inconsistent")
}

func (s *State) submit(r cowslipbend.Record) error {
	if r.Job == nil {
		return broken(r, "names no job")
	}
	if known, _ := s.Known(r.Job); known {
		return broken(r, "job "+string(r.Job.ID)+" is known")
	}
	s.Jobs[r.Job.ID] = r.Job
	for i := range r.Job.Tasks {
		id := cowslipbend.MakeTaskID(r.Job.ID, i)
		s.Tasks[id] = &Task{ID: id, Job: r.Job.ID, Phase: cowslipbend.Queued, Submitted: r.At, Since: r.At}
	}
	return nil
}

// cancel ends the queued tasks of a job. Those on a worker end when the
// worker reports.
func (s *State) cancel(id cowslipbend.JobID, at cowslipbend.Time) {
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
			t.Phase, t.Since = cowslipbend.Cancelled, at
		}
	}
}

// join takes a worker in. One that was silent is fit again; quarantine and an
// operator's drain outlast a change of what the worker says of itself.
func (s *State) join(r cowslipbend.Record) {
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

func (s *State) drain(r cowslipbend.Record) error {
	w, ok := s.Workers[r.WorkerID]
	if !ok {
		return broken(r, "worker "+string(r.WorkerID)+" is unknown")
	}
	w.Drained = r.Kind == cowslipbend.RecDrained
	return nil
}

func (s *State) condition(r cowslipbend.Record, c Condition) error {
	w, ok := s.Workers[r.WorkerID]
	if !ok {
		return broken(r, "worker "+string(r.WorkerID)+" is unknown")
	}
	w.Condition = c
	if c != Silent {
		return nil
	}
	for _, t := range s.Tasks {
		if t.Worker != r.WorkerID {
			continue
		}
		t.release(r.At)
		if !s.Jobs[t.Job].Batch() {
			// A replica may still run there, so its id must not run elsewhere.
			t.Phase = cowslipbend.Cancelled
		}
	}
	return nil
}

// release puts a task back into the queue, or ends it if it was cancelled.
func (t *Task) release(at cowslipbend.Time) {
	t.Worker, t.Size, t.Since = "", cowslipbend.Resources{}, at
	t.Phase = cowslipbend.Queued
	if t.Cancelling() {
		t.Phase = cowslipbend.Cancelled
	}
}

// task takes a record about one attempt.
func (s *State) task(r cowslipbend.Record) error {
	t, ok := s.Tasks[r.Task]
	if !ok {
		return broken(r, "task "+string(r.Task)+" is unknown")
	}
	if r.Kind == cowslipbend.RecAssigned {
		return assign(t, r)
	}
	if r.Kind == cowslipbend.RecParked {
		t.Phase, t.Worker, t.Reason, t.Since = cowslipbend.Parked, "", r.Reason, r.At
		t.Size = cowslipbend.Resources{}
		return nil
	}
	if r.Attempt != t.Attempt || t.Worker == "" {
		return broken(r, "attempt of task "+string(r.Task)+" is not current")
	}
	switch r.Kind {
	case cowslipbend.RecStarted:
		t.Phase, t.Since = cowslipbend.Running, r.At
	case cowslipbend.RecCheckpoint:
		t.Checkpoint = r.Checkpoint
	case cowslipbend.RecEvicted:
		t.evict(r)
	case cowslipbend.RecFailed:
		t.Failed = append(t.Failed, t.Worker)
		t.CPU += r.CPU
		t.release(r.At)
	case cowslipbend.RecFinished:
		t.Phase, t.Worker, t.Since = cowslipbend.Finished, "", r.At
		t.Size = cowslipbend.Resources{}
		t.CPU += r.CPU
	default:
		return broken(r, "kind is unknown")
	}
	return nil
}

func assign(t *Task, r cowslipbend.Record) error {
	if t.Phase != cowslipbend.Queued || r.Attempt != t.Attempt+1 {
		return broken(r, "task "+string(r.Task)+" is not waiting for this attempt")
	}
	t.Phase, t.Attempt, t.Worker, t.Size, t.Since = cowslipbend.Assigned, r.Attempt, r.WorkerID, r.Size, r.At
	return nil
}

func (t *Task) evict(r cowslipbend.Record) {
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
		t.Evictions++
	}
	t.CPU += r.CPU
	t.release(r.At)
}
