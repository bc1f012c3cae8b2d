package cowslipbend

// RecordKind is the kind of state change that a journal record holds.
type RecordKind string

// The kinds of journal records.
const (
	RecSubmitted  RecordKind = "submitted"  // a job was accepted; Job is set
	RecAssigned   RecordKind = "assigned"   // an attempt was assigned to a worker
	RecStarted    RecordKind = "started"    // the worker reported its start
	RecCheckpoint RecordKind = "checkpoint" // a running attempt saved its state
	RecEvicted    RecordKind = "evicted"    // the attempt ended early; it resumes from Checkpoint
	RecFailed     RecordKind = "failed"     // the attempt ended in failure
	RecFinished   RecordKind = "finished"   // the task is complete
	RecCancelled  RecordKind = "cancelled"  // the job was cancelled
	RecParked     RecordKind = "parked"     // the task is set aside with a reason
	RecJoined     RecordKind = "joined"     // a worker joined the pool
	RecSilent     RecordKind = "silent"     // a worker sent no heartbeats until its lease had ended
	RecQuarantine RecordKind = "quarantine" // a worker gets only probe tasks
	RecRestored   RecordKind = "restored"   // a worker left quarantine
	RecDrained    RecordKind = "drained"    // an operator drains a worker
	RecUndrained  RecordKind = "undrained"  // an operator ended the draining of a worker
	RecDropped    RecordKind = "dropped"    // a job that ended long ago was removed from the state
)

// Record is one entry of a pool's journal. Fields that a kind does not use
// are empty.
type Record struct {
	Kind       RecordKind  `json:"k"`
	Job        *Job        `json:"j,omitempty"`
	Task       TaskID      `json:"t,omitempty"`
	JobID      JobID       `json:"i,omitempty"`
	Jobs       []JobID     `json:"m,omitempty"` // jobs cancelled together
	Attempt    Attempt     `json:"a,omitempty"`
	Worker     *WorkerSpec `json:"w,omitempty"`
	WorkerID   WorkerID    `json:"h,omitempty"`
	Size       Resources   `json:"s,omitzero"`
	Checkpoint string      `json:"c,omitempty"`
	Reason     string      `json:"r,omitempty"`
	CPU        CPUTime     `json:"u,omitempty"`
	// At is wall time, for reports only.
	At Time `json:"at,omitempty"`
}

// WorkerSpec describes a worker as its agent announced it.
type WorkerSpec struct {
	ID     WorkerID  `json:"id"`
	Pool   PoolID    `json:"pool"`
	Domain Domain    `json:"domain"`
	Rack   Rack      `json:"rack"`
	Size   Resources `json:"size"`
}
